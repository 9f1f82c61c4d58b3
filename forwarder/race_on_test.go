//go:build race

package forwarder_test

// raceEnabled turns off the check of the throughput ratio. The race detector slows the
// forwarder's code but not the kernel's, so the ratio is meaningless under it.
const raceEnabled = true
