package test_test

import (
	"errors"
	"fmt"
	"net"

	"github.com/rogpeppe/go-internal/testscript"
)

// The ranges of ports for the layouts of scripts are below the ephemeral ports of the kernel.
const (
	firstLayoutPort = 28400
	layoutRanges    = 8
	portsPerLayout  = 400
	// guardPortOffset is the port of each range on which the script that uses the range
	// listens, so that no other script takes the same range.
	guardPortOffset = portsPerLayout - 1
)

// reserveLayoutPorts reserves a range of ports until the script ends. It sets BASE to the
// first port, and the other BASE_ variables to the addresses that `standin layout
// --base-port` gives to the platform, its admin endpoint and the first balancer's admin
// endpoint.
func reserveLayoutPorts(env *testscript.Env) error {
	for i := range layoutRanges {
		base := firstLayoutPort + i*portsPerLayout
		guard, err := net.Listen("tcp", localAddress(base+guardPortOffset))
		if err != nil {
			continue
		}
		env.Defer(func() { _ = guard.Close() })
		env.Setenv("BASE", fmt.Sprint(base))
		env.Setenv("BASE_PLATFORM", "http://"+localAddress(base))
		env.Setenv("BASE_PLATFORM_ADMIN", "http://"+localAddress(base+1))
		env.Setenv("BASE_ADMIN", localAddress(base+102))
		return nil
	}
	return errors.New("no free ports")
}

func localAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
