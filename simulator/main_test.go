package simulator_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a small number of traces for each property test, unless
// -rapid.checks is given.
func TestMain(m *testing.M) {
	const checks = "5"
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(checks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
