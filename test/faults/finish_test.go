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

// finalFlows is the number of flows that must open between a test's last step and the end
// of its load.
const finalFlows = 2 * shortRequestRate

// recordedFlows returns the number of flows in the journals of the targets.
func (d *deployment) recordedFlows() int {
	paths, err := filepath.Glob(filepath.Join(d.folder, "journals", "target-*.jsonl"))
	d.noError(err)
	n := 0
	for _, path := range paths {
		data, err := os.ReadFile(path)
		d.noError(err)
		n += bytes.Count(data, []byte(`{"arrival":`))
	}
	return n
}

// takeZoneOut applies a change that takes an availability zone out, and returns the time
// of its acceptance. The final report checks when the zone received its last packet.
func (d *deployment) takeZoneOut(zone string) time.Time {
	at := d.change("50-zone.json", `{"availability-zones": {"`+zone+`": {"state": "out"}}}`)
	d.reportArgs = append(d.reportArgs, "--zone", zone, "--out-at", strconv.FormatInt(at.UnixMilli(), 10))
	return at
}

// finish waits for finalFlows more flows, and terminates first the callers, then the
// balancers and then all other processes. It fails the test if a balancer returned to an
// earlier revision, or if `standin report` finds a broken guarantee in the journals.
func (d *deployment) finish() {
	d.t.Helper()
	opened := d.recordedFlows() + finalFlows
	d.await("flows after the last event", maxWait, func() bool { return d.recordedFlows() >= opened })
	d.terminate(d.runningProcesses("caller-"), maxCallerShutdown)
	regressions, samples := d.revisions.finish()
	if regressions > 0 || samples == 0 {
		d.t.Errorf("balancers returned to an earlier revision %d times in %d samples", regressions, samples)
	}
	d.terminate(d.runningProcesses("balancer-"), drainTime+stopMargin)
	d.terminate(d.runningProcesses(""), maxStandinShutdown)
	args := append([]string{"report", "--journals", filepath.Join(d.folder, "journals"), "--seed", strconv.Itoa(seed)}, d.reportArgs...)
	d.t.Logf("%s", bytes.TrimSpace(d.run("standin", args...)))
}

// runningProcesses returns the running processes whose names begin with the prefix.
func (d *deployment) runningProcesses(prefix string) []*process {
	var found []*process
	for name, p := range d.processes {
		if strings.HasPrefix(name, prefix) && p.running() {
			found = append(found, p)
		}
	}
	return found
}

// terminate sends SIGTERM to all processes, and then checks that each ends with exit code
// 0 within the timeout.
func (d *deployment) terminate(processes []*process, timeout time.Duration) {
	d.t.Helper()
	for _, p := range processes {
		d.noError(p.signal(syscall.SIGTERM))
	}
	deadline := time.Now().Add(timeout)
	for _, p := range processes {
		if err := p.awaitSuccess(time.Until(deadline)); err != nil {
			d.t.Error(err)
		}
	}
}
