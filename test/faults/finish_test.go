package faults_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// lastFlows is the number of flows that must open after the last event.
const lastFlows = 2 * shortRate

// arrivals returns the number of flows that targets have recorded.
func (d *deployment) arrivals() int {
	paths, err := filepath.Glob(filepath.Join(d.folder, "journals", "target-*.jsonl"))
	d.check(err)
	n := 0
	for _, path := range paths {
		data, err := os.ReadFile(path)
		d.check(err)
		n += bytes.Count(data, []byte(`{"arrival":`))
	}
	return n
}

// takeOut takes a zone out and returns when that was accepted.
func (d *deployment) takeOut(zone string) time.Time {
	at := d.change("50-zone.json", `{"availability-zones": {"`+zone+`": {"state": "out"}}}`)
	d.report = append(d.report, "--zone", zone, "--out-at", strconv.FormatInt(at.UnixMilli(), 10))
	return at
}

// finish ends the load and all processes in order, and judges the session: the
// report fails on each broken promise.
func (d *deployment) finish() {
	d.t.Helper()
	opened := d.arrivals() + lastFlows
	d.await("flows after the last event", readyTime, func() bool { return d.arrivals() >= opened })
	d.endAll(d.with("caller-"), callerTime)
	reverts, looks := d.watch.end()
	if reverts > 0 || looks == 0 {
		d.t.Errorf("revisions went back %d times in %d looks", reverts, looks)
	}
	d.endAll(d.with("balancer-"), drain+stopMargin)
	d.endAll(d.with(""), standinEnd)
	args := append([]string{"report", "--journals", filepath.Join(d.folder, "journals"), "--seed", strconv.Itoa(seed)}, d.report...)
	d.t.Logf("%s", bytes.TrimSpace(d.run("standin", args...)))
}

// with returns the running processes whose names begin with the prefix.
func (d *deployment) with(prefix string) []*process {
	var found []*process
	for name, p := range d.processes {
		if strings.HasPrefix(name, prefix) && p.running() {
			found = append(found, p)
		}
	}
	return found
}

// endAll tells processes to end, all at once, and checks that each does in time.
func (d *deployment) endAll(processes []*process, timeout time.Duration) {
	d.t.Helper()
	for _, p := range processes {
		d.check(p.signal(syscall.SIGTERM))
	}
	deadline := time.Now().Add(timeout)
	for _, p := range processes {
		if err := p.end(time.Until(deadline)); err != nil {
			d.t.Error(err)
		}
	}
}
