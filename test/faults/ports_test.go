package faults_test

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// Each test uses its own range of ports, below the ephemeral ports of the kernel.
const (
	firstPort     = 12000
	portRanges    = 40
	portsPerRange = 400
	// guardPortOffset is the port of each range on which the test that uses the range
	// listens, so that no other test takes the same range.
	guardPortOffset = portsPerRange - 1
	// unusedPortOffset is a port of each range on which nothing listens.
	unusedPortOffset = portsPerRange - 2
)

// reservePorts returns the first of portsPerRange ports. No other test uses them until
// this test ends.
func reservePorts(t *testing.T) int {
	t.Helper()
	for i := range portRanges {
		base := firstPort + (os.Getpid()+i)%portRanges*portsPerRange
		guard, err := net.Listen("tcp", address(base+guardPortOffset))
		if err != nil {
			continue
		}
		if !allFree(base, base+1, base+2, base+100, base+101, base+300, base+304) {
			_ = guard.Close()
			continue
		}
		t.Cleanup(func() { _ = guard.Close() })
		return base
	}
	t.Fatal("no free ports")
	return 0
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// allFree reports whether nothing listens on the ports, neither over TCP nor over UDP.
func allFree(ports ...int) bool {
	for _, port := range ports {
		stream, err := net.Listen("tcp", address(port))
		if err != nil {
			return false
		}
		_ = stream.Close()
		packets, err := net.ListenPacket("udp", address(port))
		if err != nil {
			return false
		}
		_ = packets.Close()
	}
	return true
}
