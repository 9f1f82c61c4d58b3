package faults_test

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// The ranges of ports that sessions use, below those that the kernel gives out.
const (
	firstPort  = 12000
	portRanges = 40
	portsEach  = 400
	// guardPort of a range is held by the session that uses it.
	guardPort = portsEach - 1
	// unusedPort is one on which nobody listens.
	unusedPort = portsEach - 2
)

// claimPorts returns the first of portsEach ports that are this test's until it ends.
func claimPorts(t *testing.T) int {
	t.Helper()
	for i := range portRanges {
		base := firstPort + (os.Getpid()+i)%portRanges*portsEach
		guard, err := net.Listen("tcp", address(base+guardPort))
		if err != nil {
			continue
		}
		if !free(base, base+1, base+2, base+100, base+101, base+300, base+304) {
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

// free reports whether nobody listens on the ports.
func free(ports ...int) bool {
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
