package test_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/standin/journal"
)

const (
	killedTarget = "bd-03"
	coldTarget   = "bd-05"
	// Each deployment uses a range of ports. The last port of a range is not part of
	// the deployment: the test listens on it while it uses the range, so that no
	// other test takes the same range. test/faults reserves its ranges in the same way.
	firstDeploymentPort = 12000
	portsPerDeployment  = 400
	deploymentRanges    = 40
	// maxDetectionTime bounds the time after a target's death in which new flows may
	// still be forwarded to it.
	maxDetectionTime = 5 * time.Second
	// The target that turns cold can serve coldCapacity flows at first, and 100 times
	// as many after warmupTime: 1.65 more each second.
	warmupTime   = 1800 * time.Second
	coldCapacity = 30
	// faultFreeTime is how long the callers of caller-1 send before the faults begin.
	faultFreeTime = 4 * time.Second
	// secondLoadTime is how long the callers of caller-2 send.
	secondLoadTime = 6 * time.Second
)

// deployment is a platform, targets, balancers, a fabric and callers that run as
// separate processes on loopback. Their settings, logs and journals are in one folder.
type deployment struct {
	t         *testing.T
	folder    string
	basePort  int
	processes map[string]*exec.Cmd
	entries   []journal.Entry
}

// start starts a process that reads settings/<settings>.json and logs to
// logs/<settings>.log. It is stored in d.processes under the same name.
func (d *deployment) start(binary, command, settings string) {
	d.t.Helper()
	cmd := exec.CommandContext(d.t.Context(), filepath.Join(binaryFolder, binary), command,
		"--settings", filepath.Join(d.folder, "settings", settings+".json"))
	log, err := os.Create(filepath.Join(d.folder, "logs", settings+".log"))
	is.New(d.t).NoErr(err)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 10 * time.Second
	is.New(d.t).NoErr(cmd.Start())
	d.processes[settings] = cmd
}

// run runs a command to its end and fails the test unless the exit code is 0.
func (d *deployment) run(binary string, args ...string) {
	d.t.Helper()
	out, err := exec.CommandContext(d.t.Context(), filepath.Join(binaryFolder, binary), args...).CombinedOutput()
	if err != nil {
		d.t.Fatalf("%s %v: %v: %s", binary, args, err, out)
	}
}

// settingsNames returns the names, without .json, of the settings files that match
// the pattern.
func (d *deployment) settingsNames(pattern string) []string {
	paths, err := filepath.Glob(filepath.Join(d.folder, "settings", pattern+".json"))
	is.New(d.t).NoErr(err)
	for i, path := range paths {
		paths[i] = strings.TrimSuffix(filepath.Base(path), ".json")
	}
	return paths
}

// editJSON decodes a JSON file of the deployment, changes it and writes it back.
func (d *deployment) editJSON(path string, change func(v map[string]any)) {
	d.t.Helper()
	is := is.New(d.t)
	path = filepath.Join(d.folder, path)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	var v map[string]any
	is.NoErr(json.Unmarshal(data, &v))
	change(v)
	data, err = json.Marshal(v)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, data, 0o600))
}

// deploy starts the platform, the targets, the balancers and the fabric, applies the
// operators' folder and waits until the fabric is ready. The callers are not started.
// The cold-start ramp of booking-desk stays 20 flows below the capacity of the target
// that turns cold; all other targets are warm from the start.
func deploy(t *testing.T) *deployment {
	d := &deployment{t: t, folder: t.TempDir(), basePort: reservePorts(t), processes: make(map[string]*exec.Cmd)}
	d.run("standin", "layout", "--out", d.folder, "--base-port", fmt.Sprint(d.basePort),
		"--streams", "1600", "--rate", "60", "--duration", "14s")
	d.editJSON("operators/20-services.json", func(v map[string]any) {
		desk := v["services"].(map[string]any)["booking-desk"].(map[string]any)
		desk["cold-start"] = map[string]any{"flows": 10, "ramp": "600s"}
	})
	for _, name := range d.settingsNames("target-*") {
		d.editJSON("settings/"+name+".json", func(v map[string]any) {
			v["cold"], v["cold-flows"] = "0s", 0
			if v["name"] == coldTarget {
				v["cold"], v["cold-flows"] = warmupTime.String(), coldCapacity
			}
		})
	}
	d.start("standin", "platform", "platform")
	for _, name := range d.settingsNames("target-*") {
		d.start("standin", "target", name)
	}
	for _, name := range d.settingsNames("balancer-*") {
		d.start("trefoilspring", "serve", name)
	}
	d.start("standin", "fabric", "fabric")
	time.Sleep(500 * time.Millisecond)
	d.apply()
	d.run("standin", "wait", "--settings", filepath.Join(d.folder, "settings", "fabric.json"), "--timeout", "20s")
	return d
}

// reservePorts returns the first of portsPerDeployment ports. No other test uses them
// until this test ends.
func reservePorts(t *testing.T) int {
	t.Helper()
	for i := range deploymentRanges {
		base := firstDeploymentPort + (os.Getpid()+i)%deploymentRanges*portsPerDeployment
		guard, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+portsPerDeployment-1))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = guard.Close() })
		return base
	}
	t.Fatal("no free ports")
	return 0
}

// apply applies the operators' folder to the platform.
func (d *deployment) apply() {
	d.t.Helper()
	d.run("trefoilspring", "apply", "--folder", filepath.Join(d.folder, "operators"),
		"--platform", fmt.Sprintf("http://127.0.0.1:%d", d.basePort))
}

// waitAndReadJournals waits until the callers have ended, terminates all other
// processes and reads the journals into d.entries.
func (d *deployment) waitAndReadJournals() {
	is := is.New(d.t)
	for _, name := range d.settingsNames("caller-*") {
		is.NoErr(d.processes[name].Wait())
		delete(d.processes, name)
	}
	for _, cmd := range d.processes {
		_ = cmd.Process.Signal(syscall.SIGTERM) // Fails for the target that the test has killed.
	}
	for _, cmd := range d.processes {
		_ = cmd.Wait()
	}
	paths, err := filepath.Glob(filepath.Join(d.folder, "journals", "*.jsonl"))
	is.NoErr(err)
	for _, path := range paths {
		entries, err := journal.Read(path)
		is.NoErr(err)
		d.entries = append(d.entries, entries...)
	}
}

// makeCold makes a running target cold at once, through the switches at its health
// address. Only health probes show the change.
func (d *deployment) makeCold(name string) {
	is := is.New(d.t)
	var settings struct {
		HealthAddress string `json:"health-address"`
	}
	data, err := os.ReadFile(filepath.Join(d.folder, "settings", "target-"+name+".json"))
	is.NoErr(err)
	is.NoErr(json.Unmarshal(data, &settings))
	request, err := http.NewRequestWithContext(context.WithoutCancel(d.t.Context()), http.MethodPost,
		"http://"+settings.HealthAddress+"/switch?cold=1", http.NoBody)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}

// outcomes counts the requests of the callers by their outcome, and the collapses of
// cold targets. unanswered leaves out requests that began less than maxDetectionTime
// after killedTarget was killed. brokenOnLiveTargets is the part of broken that had a
// connection to another target.
type outcomes struct {
	answered, unanswered, broken, brokenOnLiveTargets, collapses int
}

// countOutcomes counts the outcomes in the journals; killed is the time at which
// killedTarget was killed.
func (d *deployment) countOutcomes(killed time.Time) outcomes {
	var o outcomes
	for _, e := range d.entries {
		switch {
		case e.Collapse != nil:
			o.collapses++
		case e.Request == nil:
		case e.Request.Outcome == journal.Broken:
			o.broken++
			if e.Request.Target != killedTarget {
				o.brokenOnLiveTargets++
			}
		case e.Request.Outcome == journal.Answered:
			o.answered++
		case e.Request.StartUnixMs >= killed.Add(maxDetectionTime).UnixMilli():
			o.unanswered++
		}
	}
	d.t.Logf("%+v", o)
	return o
}

// injectFaults kills one target and makes another one cold while caller-1 sends. After
// maxDetectionTime it starts caller-2, which opens about 80 flows per target.
func injectFaults(d *deployment) outcomes {
	d.editJSON("settings/caller-1.json", func(v map[string]any) {
		for _, load := range v["loads"].([]any) {
			load.(map[string]any)["streams"] = 100
		}
	})
	d.editJSON("settings/caller-2.json", func(v map[string]any) {
		v["duration"] = secondLoadTime.String()
		v["loads"].([]any)[0].(map[string]any)["streams"] = 1100
	})
	d.start("standin", "caller", "caller-1")
	time.Sleep(faultFreeTime)
	d.makeCold(coldTarget)
	is.New(d.t).NoErr(d.processes["target-"+killedTarget].Process.Kill())
	killed := time.Now()
	time.Sleep(maxDetectionTime)
	d.start("standin", "caller", "caller-2")
	d.waitAndReadJournals()
	return d.countOutcomes(killed)
}

// With health probes, new flows avoid a killed target within maxDetectionTime, and a
// target that turns cold under load is not overloaded.
func TestDeadAndColdTargets(t *testing.T) {
	is := is.New(t)
	o := injectFaults(deploy(t))
	is.True(o.answered > 800)
	is.True(o.broken > 0) // Connections to the killed target break.
	is.Equal(o.brokenOnLiveTargets, 0)
	is.Equal(o.unanswered, 0) // No new flow is forwarded to the killed target.
	is.Equal(o.collapses, 0)
}

// Without health probes the same faults lead to unanswered requests and to a collapse of
// the cold target. This shows that TestDeadAndColdTargets would detect a failure.
func TestDeadAndColdTargetsWithoutProbes(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.editJSON("operators/30-targets.json", func(v map[string]any) {
		for _, target := range v["targets"].(map[string]any) {
			delete(target.(map[string]any), "health")
		}
	})
	d.apply()
	o := injectFaults(d)
	is.True(o.unanswered > 0)
	is.True(o.collapses > 0)
}
