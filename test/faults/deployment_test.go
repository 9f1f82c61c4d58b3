package faults_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"trefoilspring.example/trefoilspring/explainer"
	"trefoilspring.example/trefoilspring/standin/router"
)

// The size of the deployment that each test runs. streams is the number of long-lived
// streams, and shortRequestRate the number of short requests per second, both summed over
// all callers. drainTime is how long a balancer goes on forwarding after SIGTERM.
const (
	streams            = 100
	shortRequestRate   = 30
	bookingDeskTargets = 6
	menuPressTargets   = 3
	drainTime          = 1500 * time.Millisecond
	seed               = 1
)

// The times that the balancers guarantee.
const (
	// maxActivationTime bounds the time from a revision's acceptance to its activation.
	maxActivationTime = 6 * time.Second
	// stopMargin is how long after drainTime a balancer's process may still run.
	stopMargin = 2 * time.Second
)

// The times that nothing guarantees: they only bound the waits of the tests.
const (
	// maxWait bounds the wait for a condition, such as that balancers have joined.
	maxWait = 15 * time.Second
	// attemptDeadline is the callers' deadline for one attempt of a short request. It is
	// long, so that a request that waits while openings are held back, or on a busy
	// machine, is not counted as a broken flow.
	attemptDeadline = 10 * time.Second
	// maxCallerShutdown is how long a caller may wait for its last answers after
	// SIGTERM: two attempts and the pause between them.
	maxCallerShutdown  = 2*attemptDeadline + time.Second
	maxStandinShutdown = 8 * time.Second
	// maxSendTime bounds how long callers send; each test ends its callers earlier.
	maxSendTime  = time.Minute
	pollInterval = 50 * time.Millisecond
)

// deployment is the set of processes that one test runs.
type deployment struct {
	t          *testing.T
	folder     string
	basePort   int
	balancers  []string
	processes  map[string]*process
	reapers    sync.WaitGroup
	revisions  *revisionMonitor
	reportArgs []string
}

// deploy starts a deployment, applies its first revision and puts load on it. The
// isolated balancers are given a platform address on which nothing listens.
func deploy(t *testing.T, balancers int, isolated ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, folder: testFolder(t), basePort: reservePorts(t), processes: make(map[string]*process)}
	t.Cleanup(d.killAll)
	d.run("standin", "layout", "--out", d.folder, "--streams", strconv.Itoa(streams), "--rate", strconv.Itoa(shortRequestRate),
		"--seed", strconv.Itoa(seed), "--base-port", strconv.Itoa(d.basePort), "--duration", maxSendTime.String(), "--deadline", attemptDeadline.String(),
		"--balancers", strconv.Itoa(balancers), "--booking-desk", strconv.Itoa(bookingDeskTargets),
		"--menu-press", strconv.Itoa(menuPressTargets), "--drain", drainTime.String())
	for _, name := range isolated {
		d.isolateFromPlatform(name)
	}
	d.start("platform", "standin", "platform")
	for _, name := range d.settingsNames("target-") {
		d.start("target-"+name, "standin", "target")
	}
	d.balancers = d.settingsNames("balancer-")
	for _, name := range d.balancers {
		d.startBalancer(name)
	}
	d.start("fabric", "standin", "fabric")
	d.await("the platform", maxWait, func() bool { return d.getJSON(d.basePort+1, "/calls", nil) == nil })
	d.apply()
	d.awaitBalancersInFabric(balancers)
	d.revisions = monitorRevisions(d)
	t.Cleanup(func() { d.revisions.finish() })
	for _, name := range d.settingsNames("caller-") {
		d.start("caller-"+name, "standin", "caller")
	}
	d.await("the streams", maxWait, func() bool { return d.recordedFlows() >= streams })
	return d
}

// testFolder returns the folder for the files of a test: a temporary one, or with the
// flag -keep an empty one that stays.
func testFolder(t *testing.T) string {
	t.Helper()
	if *keepFolder == "" {
		return t.TempDir()
	}
	folder, err := filepath.Abs(filepath.Join(*keepFolder, t.Name()))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	return folder
}

// settingsNames returns the names of the settings files that begin with the prefix,
// without the prefix and without .json.
func (d *deployment) settingsNames(prefix string) []string {
	paths, err := filepath.Glob(filepath.Join(d.folder, "settings", prefix+"*.json"))
	d.noError(err)
	names := make([]string, 0, len(paths))
	for _, path := range paths {
		names = append(names, strings.TrimSuffix(strings.TrimPrefix(filepath.Base(path), prefix), ".json"))
	}
	return names
}

func (d *deployment) settingsPath(name string) string {
	return filepath.Join(d.folder, "settings", name+".json")
}

// isolateFromPlatform replaces the platform address in a balancer's settings by one on
// which nothing listens.
func (d *deployment) isolateFromPlatform(balancer string) {
	path := d.settingsPath("balancer-" + balancer)
	data, err := os.ReadFile(path)
	d.noError(err)
	data = bytes.ReplaceAll(data, []byte(`"http://`+address(d.basePort)+`"`), []byte(`"http://`+address(d.basePort+unusedPortOffset)+`"`))
	d.noError(os.WriteFile(path, data, 0o600))
}

// start starts a process whose settings file has the same name as the process.
func (d *deployment) start(name, binary, command string) {
	p, err := start(d.folder, name, binary, command, "--settings", d.settingsPath(name))
	d.noError(err)
	d.processes[name] = p
	d.reapers.Go(p.reap)
}

// startBalancer starts the named balancer, for the first time or again.
func (d *deployment) startBalancer(name string) { d.start("balancer-"+name, "trefoilspring", "serve") }

// balancerProcesses returns the processes of the named balancers.
func (d *deployment) balancerProcesses(balancers []string) []*process {
	processes := make([]*process, 0, len(balancers))
	for _, name := range balancers {
		processes = append(processes, d.processes["balancer-"+name])
	}
	return processes
}

// signalBalancer sends a signal to the process of a balancer.
func (d *deployment) signalBalancer(balancer string, s syscall.Signal) {
	d.noError(d.processes["balancer-"+balancer].signal(s))
}

// killAll kills the processes that still run, by process id, and waits for them.
func (d *deployment) killAll() {
	for _, p := range d.processes {
		if p.running() {
			_ = p.signal(syscall.SIGKILL)
		}
	}
	d.reapers.Wait()
}

// run runs a command to its end and returns its standard output. A failure ends the
// test.
func (d *deployment) run(binary string, args ...string) []byte {
	cmd := exec.Command(filepath.Join(binaryFolder, binary), args...)
	var failure bytes.Buffer
	cmd.Stderr = &failure
	out, err := cmd.Output()
	if err != nil {
		d.t.Fatalf("%s %s: %s %s %s", binary, strings.Join(args, " "), err, failure.String(), out)
	}
	return out
}

// apply applies the operators' folder and returns the time of its acceptance.
func (d *deployment) apply() time.Time {
	d.run("trefoilspring", "apply", "--folder", filepath.Join(d.folder, "operators"), "--platform", "http://"+address(d.basePort))
	return time.Now()
}

// change adds or replaces a file of the operators' folder, applies the folder and returns
// the time of its acceptance.
func (d *deployment) change(file, content string) time.Time {
	d.noError(os.WriteFile(filepath.Join(d.folder, "operators", file), []byte(content), 0o600))
	return d.apply()
}

// drainTarget applies a change that drains a target, and returns the time of its
// acceptance. The final report checks the target as drained.
func (d *deployment) drainTarget(name string) time.Time {
	d.reportArgs = append(d.reportArgs, "--drained", name)
	return d.change("40-"+name+".json", fmt.Sprintf(`{"targets": {%q: {"state": "draining"}}}`, name))
}

// noError ends the test if err is not nil.
func (d *deployment) noError(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// await waits until the condition holds and returns how long that took.
func (d *deployment) await(description string, timeout time.Duration, condition func() bool) time.Duration {
	d.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > timeout {
			d.t.Fatalf("%s: not within %s", description, timeout)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(started)
}

// getJSON decodes the JSON answer of an admin endpoint into value. If value is nil, any
// answer is a success.
func (d *deployment) getJSON(port int, path string, value any) error {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address(port) + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if value == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(value)
}

// post sends a POST request without a body to an admin endpoint. A failure ends the test.
func (d *deployment) post(port int, path string) {
	response, err := http.Post("http://"+address(port)+path, "", http.NoBody)
	d.noError(err)
	d.noError(response.Body.Close())
	if response.StatusCode >= http.StatusBadRequest {
		d.t.Fatalf("POST %s: %s", path, response.Status)
	}
}

// setPlatformSwitches sets switches of the platform stand-in, such as outage=on.
func (d *deployment) setPlatformSwitches(values string) { d.post(d.basePort+1, "/switch?"+values) }

// postFabric sends a request such as /cut?balancer=NAME to the fabric's admin endpoint.
func (d *deployment) postFabric(path string) { d.post(d.basePort+3, path) }

// awaitBalancersInFabric waits until the fabric sends packets to exactly n balancers.
func (d *deployment) awaitBalancersInFabric(n int) {
	d.t.Helper()
	d.await(fmt.Sprintf("%d balancers in", n), maxWait, func() bool {
		var stats router.Stats
		return d.getJSON(d.basePort+3, "/stats", &stats) == nil && stats.ReadyBalancers == n
	})
}

// status requests the status of a balancer from its admin endpoint.
func (d *deployment) status(balancer string) (explainer.Status, error) {
	var status explainer.Status
	for i, name := range d.balancersByPort() {
		if name == balancer {
			return status, d.getJSON(d.basePort+100+4*i+2, explainer.StatusPath, &status)
		}
	}
	return status, fmt.Errorf("no balancer %s", balancer)
}

// balancersByPort returns the names of the balancers in the order of their ports, in which
// `standin layout` goes through the availability zones in turn.
func (d *deployment) balancersByPort() []string {
	zones := []string{"ne-a", "ne-b", "ne-c"}
	names := make([]string, 0, len(d.balancers))
	for i := range d.balancers {
		names = append(names, fmt.Sprintf("lb-%s-%d", zones[i%len(zones)], i/len(zones)+1))
	}
	return names
}

// awaitRevision waits until all named balancers are ready and have the revision in force.
// It returns how long that took.
func (d *deployment) awaitRevision(revision uint64, timeout time.Duration, balancers ...string) time.Duration {
	d.t.Helper()
	return d.await(fmt.Sprintf("revision %d on %v", revision, balancers), timeout, func() bool {
		for _, name := range balancers {
			status, err := d.status(name)
			if err != nil || status.ActiveRevision != revision || status.State != "ready" {
				return false
			}
		}
		return true
	})
}

// balancersExcept returns all balancers but the excluded ones.
func (d *deployment) balancersExcept(excluded ...string) []string {
	var names []string
	for _, name := range d.balancers {
		if !strings.Contains(strings.Join(excluded, " "), name) {
			names = append(names, name)
		}
	}
	return names
}

// awaitLog waits until the log of at least one of the balancers contains the text.
func (d *deployment) awaitLog(text string, balancers ...string) {
	d.t.Helper()
	d.await(fmt.Sprintf("%s in the logs of %v", text, balancers), maxWait, func() bool {
		for _, name := range balancers {
			data, err := os.ReadFile(filepath.Join(d.folder, "logs", "balancer-"+name+".log"))
			if err == nil && bytes.Contains(data, []byte(text)) {
				return true
			}
		}
		return false
	})
}

// awaitPacketsCut waits until the fabric has dropped so many packets to balancers that
// are cut off.
func (d *deployment) awaitPacketsCut(packets int64) {
	d.t.Helper()
	d.await("packets cut", maxWait, func() bool {
		var stats router.Stats
		return d.getJSON(d.basePort+3, "/stats", &stats) == nil && stats.Cut >= packets
	})
}
