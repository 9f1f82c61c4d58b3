//go:build !race

package forwarder_test

const raceEnabled = false
