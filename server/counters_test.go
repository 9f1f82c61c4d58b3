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

var counterRow = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| [^|]+ \\| [^|]+ \\|$")

func TestCountersPageIsInStep(t *testing.T) {
	is := is.New(t)
	vars := new(expvar.Map)
	forwarder.NewCounters(vars)
	var wanted []string
	vars.Do(func(kv expvar.KeyValue) { wanted = append(wanted, kv.Key) })
	wanted = append(wanted, coordinator.Events()...)
	wanted = append(wanted, peer.Events()...)
	wanted = append(wanted, server.Events()...)
	wanted = append(wanted, target.Events()...)
	page, err := os.ReadFile("../docs/COUNTERS.md")
	is.NoErr(err)
	var written []string
	for _, m := range counterRow.FindAllStringSubmatch(string(page), -1) {
		written = append(written, m[1])
	}
	slices.Sort(wanted)
	slices.Sort(written)
	is.Equal(without(wanted, written), nil) // Counted, but not on the page.
	is.Equal(without(written, wanted), nil) // On the page, but not counted.
	is.Equal(len(written), len(wanted))     // Each once.
}

// TestEventsAreListed finds the calls that count by a literal name.
func TestEventsAreListed(t *testing.T) {
	for folder, listed := range map[string][]string{
		"../coordinator": coordinator.Events(),
		"../peer":        peer.Events(),
		".":              server.Events(),
		"../target":      target.Events(),
	} {
		t.Run(folder, func(t *testing.T) {
			is := is.New(t)
			counted := countedIn(t, folder)
			is.Equal(without(counted, listed), nil) // Counted, but not in Events.
			is.Equal(without(listed, counted), nil) // In Events, but not counted.
		})
	}
}

// without returns the names that no other name stands for.
func without(names, others []string) []string {
	var missing []string
	for _, name := range names {
		if !slices.ContainsFunc(others, func(other string) bool { return stands(name, other) }) {
			missing = append(missing, name)
		}
	}
	return missing
}

// stands reports whether two names are the same, or one ends in a dash and begins
// the other: then it goes on with a value.
func stands(a, b string) bool {
	return a == b ||
		strings.HasSuffix(a, "-") && strings.HasPrefix(b, a) ||
		strings.HasSuffix(b, "-") && strings.HasPrefix(a, b)
}

// countedIn returns the literal names that the files of a folder count.
func countedIn(t *testing.T, folder string) []string {
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
			if call, ok := n.(*ast.CallExpr); ok && counts(call) {
				names = append(names, literalsIn(call.Args[0])...)
			}
			return true
		})
	}
	return names
}

// counts reports whether a call is that of a Count function or of an expvar.Map.
func counts(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) != 2 {
		return false
	}
	return selector.Sel.Name == "Count" || selector.Sel.Name == "Add"
}

func literalsIn(e ast.Expr) []string {
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
