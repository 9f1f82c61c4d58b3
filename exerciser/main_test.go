package exerciser_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain bounds the traces of one run; more by -rapid.checks.
func TestMain(m *testing.M) {
	const checks = "5"
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(checks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
