package server_test

import (
	"expvar"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/forwarder"
	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/server"
	"trefoilspring.example/trefoilspring/target"
)

var counterRowPattern = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| [^|]+ \\| [^|]+ \\|$")

// TestCountersPageListsEachCounter compares the table of the counters page with the
// counters and events of all packages.
func TestCountersPageListsEachCounter(t *testing.T) {
	is := is.New(t)
	vars := new(expvar.Map)
	forwarder.NewCounters(vars)
	var counted []string
	vars.Do(func(kv expvar.KeyValue) { counted = append(counted, kv.Key) })
	counted = append(counted, coordinator.Events()...)
	counted = append(counted, peer.Events()...)
	counted = append(counted, server.Events()...)
	counted = append(counted, target.Events()...)
	page, err := os.ReadFile("../docs/COUNTERS.md")
	is.NoErr(err)
	var documented []string
	for _, m := range counterRowPattern.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1])
	}
	slices.Sort(counted)
	slices.Sort(documented)
	is.Equal(missingFrom(counted, documented), nil) // Counted, but not on the page.
	is.Equal(missingFrom(documented, counted), nil) // On the page, but not counted.
	is.Equal(len(documented), len(counted))         // Each once.
}

// TestEventsAreListed compares the Events function of each package with the string
// literals in its calls of Count and Add.
func TestEventsAreListed(t *testing.T) {
	for folder, listed := range map[string][]string{
		"../coordinator": coordinator.Events(),
		"../peer":        peer.Events(),
		".":              server.Events(),
		"../target":      target.Events(),
	} {
		t.Run(folder, func(t *testing.T) {
			is := is.New(t)
			counted := countedNames(t, folder)
			is.Equal(missingFrom(counted, listed), nil) // Counted, but not in Events.
			is.Equal(missingFrom(listed, counted), nil) // In Events, but not counted.
		})
	}
}

// missingFrom returns the names that match none of the others.
func missingFrom(names, others []string) []string {
	var missing []string
	for _, name := range names {
		if !slices.ContainsFunc(others, func(other string) bool { return sameCounter(name, other) }) {
			missing = append(missing, name)
		}
	}
	return missing
}

// sameCounter reports whether two names are equal, or one is a prefix that ends in a dash
// and the other begins with it, such as "probe-" and "probe-timed-out".
func sameCounter(a, b string) bool {
	return a == b ||
		strings.HasSuffix(a, "-") && strings.HasPrefix(b, a) ||
		strings.HasSuffix(b, "-") && strings.HasPrefix(a, b)
}

// countedNames returns the string literals that the files of a folder pass as event names
// to Count and Add.
func countedNames(t *testing.T, folder string) []string {
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".go") || strings.HasSuffix(entry.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), folder+"/"+entry.Name(), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok && isCountCall(call) {
				names = append(names, stringLiterals(call.Args[0])...)
			}
			return true
		})
	}
	return names
}

// isCountCall reports whether a call has two arguments and calls a Count function or the
// Add method of an expvar.Map.
func isCountCall(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) != 2 {
		return false
	}
	return selector.Sel.Name == "Count" || selector.Sel.Name == "Add"
}

// stringLiterals returns the values of all string literals in an expression.
func stringLiterals(e ast.Expr) []string {
	var names []string
	ast.Inspect(e, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			name, err := strconv.Unquote(literal.Value)
			if err == nil {
				names = append(names, name)
			}
		}
		return true
	})
	return names
}
