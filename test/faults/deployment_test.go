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
	"trefoilspring.example/trefoilspring/standin/sprayer"
)

// The size of a session's deployment.
const (
	streams     = 100
	shortRate   = 30
	bookingDesk = 6
	menuPress   = 3
	drain       = 1500 * time.Millisecond
	seed        = 1
)

// The times that were promised.
const (
	// inForce is how long after its acceptance a revision may come in force.
	inForce = 6 * time.Second
	// stopMargin is how long after its drain a balancer may end.
	stopMargin = 2 * time.Second
)

// Bounds of what is no promise.
const (
	// readyTime is how long balancers may take to join.
	readyTime = 15 * time.Second
	// deadline is so long that a request which openings held back or a busy machine
	// made late is not taken for one whose flow has broken.
	deadline = 10 * time.Second
	// callerTime is how long callers may wait for the answers that are due: two
	// attempts and the pause between them.
	callerTime = 2*deadline + time.Second
	standinEnd = 8 * time.Second
	// sendTime bounds the callers; each session ends them itself before.
	sendTime = time.Minute
	look     = 50 * time.Millisecond
)

// deployment is the processes of one session.
type deployment struct {
	t         *testing.T
	folder    string
	base      int
	balancers []string
	processes map[string]*process
	waits     sync.WaitGroup
	watch     *revisionWatch
	report    []string
}

// deploy starts a deployment with load. The cut balancers know a platform address
// on which nobody listens.
func deploy(t *testing.T, balancers int, cut ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, folder: sessionFolder(t), base: claimPorts(t), processes: make(map[string]*process)}
	t.Cleanup(d.killAll)
	d.run("standin", "layout", "--out", d.folder, "--streams", strconv.Itoa(streams), "--rate", strconv.Itoa(shortRate),
		"--seed", strconv.Itoa(seed), "--base-port", strconv.Itoa(d.base), "--duration", sendTime.String(), "--deadline", deadline.String(),
		"--balancers", strconv.Itoa(balancers), "--booking-desk", strconv.Itoa(bookingDesk),
		"--menu-press", strconv.Itoa(menuPress), "--drain", drain.String())
	for _, name := range cut {
		d.cutPlatform(name)
	}
	d.start("platform", "standin", "platform")
	for _, name := range d.settings("target-") {
		d.start("target-"+name, "standin", "target")
	}
	d.balancers = d.settings("balancer-")
	for _, name := range d.balancers {
		d.startBalancer(name)
	}
	d.start("fabric", "standin", "fabric")
	d.await("the platform", readyTime, func() bool { return d.get(d.base+1, "/calls", nil) == nil })
	d.apply()
	d.awaitBalancersIn(balancers)
	d.watch = watchRevisions(d)
	t.Cleanup(func() { d.watch.end() })
	for _, name := range d.settings("caller-") {
		d.start("caller-"+name, "standin", "caller")
	}
	d.await("the streams", readyTime, func() bool { return d.arrivals() >= streams })
	return d
}

func sessionFolder(t *testing.T) string {
	t.Helper()
	if *keep == "" {
		return t.TempDir()
	}
	folder, err := filepath.Abs(filepath.Join(*keep, t.Name()))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	return folder
}

// settings returns the rests of the names of the settings files with the prefix.
func (d *deployment) settings(prefix string) []string {
	paths, err := filepath.Glob(filepath.Join(d.folder, "settings", prefix+"*.json"))
	d.check(err)
	names := make([]string, 0, len(paths))
	for _, path := range paths {
		names = append(names, strings.TrimSuffix(strings.TrimPrefix(filepath.Base(path), prefix), ".json"))
	}
	return names
}

func (d *deployment) settingsPath(name string) string {
	return filepath.Join(d.folder, "settings", name+".json")
}

func (d *deployment) cutPlatform(balancer string) {
	path := d.settingsPath("balancer-" + balancer)
	data, err := os.ReadFile(path)
	d.check(err)
	data = bytes.ReplaceAll(data, []byte(`"http://`+address(d.base)+`"`), []byte(`"http://`+address(d.base+unusedPort)+`"`))
	d.check(os.WriteFile(path, data, 0o600))
}

// start starts a process that takes its settings from the file of its name.
func (d *deployment) start(name, binary, command string) {
	p, err := start(d.folder, name, binary, command, "--settings", d.settingsPath(name))
	d.check(err)
	d.processes[name] = p
	d.waits.Go(p.reap)
}

func (d *deployment) startBalancer(name string) { d.start("balancer-"+name, "trefoilspring", "serve") }

// named returns the processes of balancers.
func (d *deployment) named(balancers []string) []*process {
	processes := make([]*process, 0, len(balancers))
	for _, name := range balancers {
		processes = append(processes, d.processes["balancer-"+name])
	}
	return processes
}

func (d *deployment) signal(balancer string, s syscall.Signal) {
	d.check(d.processes["balancer-"+balancer].signal(s))
}

// killAll ends what still runs, by process id.
func (d *deployment) killAll() {
	for _, p := range d.processes {
		if p.running() {
			_ = p.signal(syscall.SIGKILL)
		}
	}
	d.waits.Wait()
}

// run runs a command to its end and returns its standard output.
func (d *deployment) run(binary string, args ...string) []byte {
	cmd := exec.Command(filepath.Join(binaries, binary), args...)
	var failure bytes.Buffer
	cmd.Stderr = &failure
	out, err := cmd.Output()
	if err != nil {
		d.t.Fatalf("%s %s: %s %s %s", binary, strings.Join(args, " "), err, failure.String(), out)
	}
	return out
}

// apply puts the operators' folder in force and returns when it was accepted.
func (d *deployment) apply() time.Time {
	d.run("trefoilspring", "apply", "--folder", filepath.Join(d.folder, "operators"), "--platform", "http://"+address(d.base))
	return time.Now()
}

// change adds or replaces a file of the operators' folder and applies it.
func (d *deployment) change(file, content string) time.Time {
	d.check(os.WriteFile(filepath.Join(d.folder, "operators", file), []byte(content), 0o600))
	return d.apply()
}

// drainTarget has a target drain.
func (d *deployment) drainTarget(name string) time.Time {
	d.report = append(d.report, "--drained", name)
	return d.change("40-"+name+".json", fmt.Sprintf(`{"targets": {%q: {"state": "draining"}}}`, name))
}

func (d *deployment) check(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// await waits until the condition holds and returns how long that took.
func (d *deployment) await(what string, timeout time.Duration, condition func() bool) time.Duration {
	d.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > timeout {
			d.t.Fatalf("%s: not within %s", what, timeout)
		}
		time.Sleep(look)
	}
	return time.Since(began)
}

// get reads a JSON answer of an admin address, unless the value is nil.
func (d *deployment) get(port int, path string, value any) error {
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

func (d *deployment) post(port int, path string) {
	response, err := http.Post("http://"+address(port)+path, "", http.NoBody)
	d.check(err)
	d.check(response.Body.Close())
	if response.StatusCode >= http.StatusBadRequest {
		d.t.Fatalf("POST %s: %s", path, response.Status)
	}
}

// platformSwitch sets switches of the platform stand-in, such as outage=on.
func (d *deployment) platformSwitch(values string) { d.post(d.base+1, "/switch?"+values) }

func (d *deployment) fabric(path string) { d.post(d.base+3, path) }

// awaitBalancersIn waits until the fabric sends to so many balancers.
func (d *deployment) awaitBalancersIn(n int) {
	d.t.Helper()
	d.await(fmt.Sprintf("%d balancers in", n), readyTime, func() bool {
		var stats sprayer.Stats
		return d.get(d.base+3, "/stats", &stats) == nil && stats.BalancersIn == n
	})
}

// status asks a balancer for its status.
func (d *deployment) status(balancer string) (explainer.Status, error) {
	var status explainer.Status
	for i, name := range d.layoutOrder() {
		if name == balancer {
			return status, d.get(d.base+100+4*i+2, explainer.StatusPath, &status)
		}
	}
	return status, fmt.Errorf("no balancer %s", balancer)
}

// layoutOrder returns the balancers in the order of their ports.
func (d *deployment) layoutOrder() []string {
	zones := []string{"ne-a", "ne-b", "ne-c"}
	names := make([]string, 0, len(d.balancers))
	for i := range d.balancers {
		names = append(names, fmt.Sprintf("lb-%s-%d", zones[i%len(zones)], i/len(zones)+1))
	}
	return names
}

// awaitRevision waits until the balancers are ready with the revision in force.
func (d *deployment) awaitRevision(revision uint64, timeout time.Duration, balancers ...string) time.Duration {
	d.t.Helper()
	return d.await(fmt.Sprintf("revision %d on %v", revision, balancers), timeout, func() bool {
		for _, name := range balancers {
			status, err := d.status(name)
			if err != nil || status.Active != revision || status.State != "ready" {
				return false
			}
		}
		return true
	})
}

// others returns the balancers without the named ones.
func (d *deployment) others(without ...string) []string {
	var names []string
	for _, name := range d.balancers {
		if !strings.Contains(strings.Join(without, " "), name) {
			names = append(names, name)
		}
	}
	return names
}

// awaitLog waits until the log of one of the balancers has the text.
func (d *deployment) awaitLog(text string, balancers ...string) {
	d.t.Helper()
	d.await(fmt.Sprintf("%s in the logs of %v", text, balancers), readyTime, func() bool {
		for _, name := range balancers {
			data, err := os.ReadFile(filepath.Join(d.folder, "logs", "balancer-"+name+".log"))
			if err == nil && bytes.Contains(data, []byte(text)) {
				return true
			}
		}
		return false
	})
}

// awaitCut waits until the fabric has lost so many packets on purpose.
func (d *deployment) awaitCut(packets int64) {
	d.t.Helper()
	d.await("packets cut", readyTime, func() bool {
		var stats sprayer.Stats
		return d.get(d.base+3, "/stats", &stats) == nil && stats.Cut >= packets
	})
}
