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
	is.Equal(written, wanted)
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
			for _, name := range counted {
				// A name that ends in a dash goes on with a value.
				is.True(slices.ContainsFunc(listed, func(event string) bool {
					return event == name || strings.HasSuffix(name, "-") && strings.HasPrefix(event, name)
				}))
			}
			for _, event := range listed {
				is.True(slices.ContainsFunc(counted, func(name string) bool {
					return event == name || strings.HasSuffix(name, "-") && strings.HasPrefix(event, name)
				}))
			}
		})
	}
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
