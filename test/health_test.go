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
	// Deployments use ranges of ports, as the sessions of test/faults do; the last
	// port of a range is held by the test that uses it.
	firstPort  = 12000
	portsEach  = 400
	portRanges = 40
	// avoidTime is how long new flows may go to a dead target.
	avoidTime = 5 * time.Second
	// coldTime is how long the target that turns cold takes to bear 100 times
	// coldBears flows: more by 1.65 each second.
	coldTime  = 1800 * time.Second
	coldBears = 30
	// calmTime is how long the first callers run undisturbed.
	calmTime = 4 * time.Second
	// callerTime is how long the second callers send.
	callerTime = 6 * time.Second
)

// deployment is the whole system as processes, in one folder.
type deployment struct {
	t         *testing.T
	out       string
	base      int
	processes map[string]*exec.Cmd
	collected []journal.Entry
}

// start runs a command with the settings of that name.
func (d *deployment) start(binary, command, settings string) {
	d.t.Helper()
	cmd := exec.CommandContext(d.t.Context(), filepath.Join(binaries, binary), command,
		"--settings", filepath.Join(d.out, "settings", settings+".json"))
	log, err := os.Create(filepath.Join(d.out, "logs", settings+".log"))
	is.New(d.t).NoErr(err)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 10 * time.Second
	is.New(d.t).NoErr(cmd.Start())
	d.processes[settings] = cmd
}

func (d *deployment) run(binary string, args ...string) {
	d.t.Helper()
	out, err := exec.CommandContext(d.t.Context(), filepath.Join(binaries, binary), args...).CombinedOutput()
	if err != nil {
		d.t.Fatalf("%s %v: %v: %s", binary, args, err, out)
	}
}

// names returns the settings that match a pattern, without their suffix.
func (d *deployment) names(pattern string) []string {
	paths, err := filepath.Glob(filepath.Join(d.out, "settings", pattern+".json"))
	is.New(d.t).NoErr(err)
	for i, path := range paths {
		paths[i] = strings.TrimSuffix(filepath.Base(path), ".json")
	}
	return paths
}

// edit changes a JSON file of the deployment.
func (d *deployment) edit(path string, change func(v map[string]any)) {
	d.t.Helper()
	is := is.New(d.t)
	path = filepath.Join(d.out, path)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	var v map[string]any
	is.NoErr(json.Unmarshal(data, &v))
	change(v)
	data, err = json.Marshal(v)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, data, 0o600))
}

// deploy starts everything but the callers. The operators' ramp keeps 20 flows
// below what the target bears that turns cold; all others are warm at once.
func deploy(t *testing.T) *deployment {
	d := &deployment{t: t, out: t.TempDir(), base: claimPorts(t), processes: make(map[string]*exec.Cmd)}
	d.run("standin", "layout", "--out", d.out, "--base-port", fmt.Sprint(d.base),
		"--streams", "1600", "--rate", "60", "--duration", "14s")
	d.edit("operators/20-services.json", func(v map[string]any) {
		desk := v["services"].(map[string]any)["booking-desk"].(map[string]any)
		desk["cold-start"] = map[string]any{"flows": 10, "ramp": "600s"}
	})
	for _, name := range d.names("target-*") {
		d.edit("settings/"+name+".json", func(v map[string]any) {
			v["cold"], v["cold-flows"] = "0s", 0
			if v["name"] == coldTarget {
				v["cold"], v["cold-flows"] = coldTime.String(), coldBears
			}
		})
	}
	d.start("standin", "platform", "platform")
	for _, name := range d.names("target-*") {
		d.start("standin", "target", name)
	}
	for _, name := range d.names("balancer-*") {
		d.start("trefoilspring", "serve", name)
	}
	d.start("standin", "fabric", "fabric")
	time.Sleep(500 * time.Millisecond)
	d.apply()
	d.run("standin", "wait", "--settings", filepath.Join(d.out, "settings", "fabric.json"), "--timeout", "20s")
	return d
}

// claimPorts returns the first of portsEach ports that are this test's until it ends.
func claimPorts(t *testing.T) int {
	t.Helper()
	for i := range portRanges {
		base := firstPort + (os.Getpid()+i)%portRanges*portsEach
		guard, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+portsEach-1))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = guard.Close() })
		return base
	}
	t.Fatal("no free ports")
	return 0
}

// apply sends the operators' folder to the platform.
func (d *deployment) apply() {
	d.t.Helper()
	d.run("trefoilspring", "apply", "--folder", filepath.Join(d.out, "operators"),
		"--platform", fmt.Sprintf("http://127.0.0.1:%d", d.base))
}

// finish waits for the callers, ends all other processes and reads the journals.
func (d *deployment) finish() {
	is := is.New(d.t)
	for _, name := range d.names("caller-*") {
		is.NoErr(d.processes[name].Wait())
		delete(d.processes, name)
	}
	for _, cmd := range d.processes {
		_ = cmd.Process.Signal(syscall.SIGTERM) // One of them was killed before.
	}
	for _, cmd := range d.processes {
		_ = cmd.Wait()
	}
	paths, err := filepath.Glob(filepath.Join(d.out, "journals", "*.jsonl"))
	is.NoErr(err)
	for _, path := range paths {
		entries, err := journal.Read(path)
		is.NoErr(err)
		d.collected = append(d.collected, entries...)
	}
}

// chill makes a target cold without any warning.
func (d *deployment) chill(name string) {
	is := is.New(d.t)
	var settings struct {
		HealthAddress string `json:"health-address"`
	}
	data, err := os.ReadFile(filepath.Join(d.out, "settings", "target-"+name+".json"))
	is.NoErr(err)
	is.NoErr(json.Unmarshal(data, &settings))
	request, err := http.NewRequestWithContext(context.WithoutCancel(d.t.Context()), http.MethodPost,
		"http://"+settings.HealthAddress+"/switch?cold=1", http.NoBody)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}

// outcomes counts what the callers saw, after the time in which new flows may
// still go to the killed target.
type outcomes struct {
	answered, unanswered, broken, brokenElsewhere, collapses int
}

func (d *deployment) judge(killed time.Time) outcomes {
	var o outcomes
	for _, e := range d.collected {
		switch {
		case e.Collapse != nil:
			o.collapses++
		case e.Request == nil:
		case e.Request.Outcome == journal.Broken:
			o.broken++
			if e.Request.Target != killedTarget {
				o.brokenElsewhere++
			}
		case e.Request.Outcome == journal.Answered:
			o.answered++
		case e.Request.StartUnixMs >= killed.Add(avoidTime).UnixMilli():
			o.unanswered++
		}
	}
	d.t.Logf("%+v", o)
	return o
}

// disturb kills a target and turns another one cold without warning, under load,
// and then lets callers open some 80 flows for each target.
func disturb(d *deployment) outcomes {
	d.edit("settings/caller-1.json", func(v map[string]any) {
		for _, load := range v["loads"].([]any) {
			load.(map[string]any)["streams"] = 100
		}
	})
	d.edit("settings/caller-2.json", func(v map[string]any) {
		v["duration"] = callerTime.String()
		v["loads"].([]any)[0].(map[string]any)["streams"] = 1100
	})
	d.start("standin", "caller", "caller-1")
	time.Sleep(calmTime)
	d.chill(coldTarget)
	is.New(d.t).NoErr(d.processes["target-"+killedTarget].Process.Kill())
	killed := time.Now()
	time.Sleep(avoidTime)
	d.start("standin", "caller", "caller-2")
	d.finish()
	return d.judge(killed)
}

func TestDeadAndColdTargets(t *testing.T) {
	is := is.New(t)
	o := disturb(deploy(t))
	is.True(o.answered > 800)
	is.True(o.broken > 0) // The flows of the killed target end.
	is.Equal(o.brokenElsewhere, 0)
	is.Equal(o.unanswered, 0) // No new flow goes to the killed target.
	is.Equal(o.collapses, 0)
}

func TestDeadAndColdTargetsWithoutProbes(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.edit("operators/30-targets.json", func(v map[string]any) {
		for _, target := range v["targets"].(map[string]any) {
			delete(target.(map[string]any), "health")
		}
	})
	d.apply()
	o := disturb(d)
	is.True(o.unanswered > 0)
	is.True(o.collapses > 0)
}
