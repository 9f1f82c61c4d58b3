//go:build race

package forwarder_test

// raceEnabled is set where the race detector slows the forwarder's own code, and
// not the kernel's, so that a ratio of rates says nothing.
const raceEnabled = true
