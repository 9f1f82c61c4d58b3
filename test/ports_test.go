package test_test

import (
	"errors"
	"fmt"
	"net"

	"github.com/rogpeppe/go-internal/testscript"
)

// The ranges of ports for layouts, below those that the kernel gives out.
const (
	firstBase = 28400
	bases     = 8
	baseEach  = 400
	// guardPort of a range is held by the script that uses it.
	guardPort = baseEach - 1
)

// claimBase names the first of a range of ports that is the script's until it
// ends, and the addresses that a layout from there has.
func claimBase(env *testscript.Env) error {
	for i := range bases {
		base := firstBase + i*baseEach
		guard, err := net.Listen("tcp", local(base+guardPort))
		if err != nil {
			continue
		}
		env.Defer(func() { _ = guard.Close() })
		env.Setenv("BASE", fmt.Sprint(base))
		env.Setenv("BASE_PLATFORM", "http://"+local(base))
		env.Setenv("BASE_PLATFORM_ADMIN", "http://"+local(base+1))
		env.Setenv("BASE_ADMIN", local(base+102))
		return nil
	}
	return errors.New("no free ports")
}

func local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
