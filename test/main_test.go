// Package test_test runs the built commands as separate processes and checks their
// output, exit codes and journals.
//
// # Usage
//
//	go test ./test                                # all tests of this package
//	go test -run 'TestScripts/operator$' ./test   # one script
package test_test

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaryFolder is the folder that TestMain builds the commands into.
var binaryFolder string

// TestMain builds the commands and runs the tests. With candidateVariable set it runs
// a candidate for a role instead, for the tests that pause such a process.
func TestMain(m *testing.M) {
	if name := os.Getenv(candidateVariable); name != "" {
		os.Exit(runCandidate(name))
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "trefoilspring")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryFolder = dir
	for _, pkg := range []string{"trefoilspring", "standin"} {
		path := "trefoilspring.example/" + strings.TrimSuffix("trefoilspring/"+pkg, "/trefoilspring")
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, pkg), path).CombinedOutput()
		if err != nil {
			panic(fmt.Sprintf("building %s: %s", path, out))
		}
	}
	return m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ready":  ready,
			"switch": setSwitch,
			"mask":   mask,
			"expand": expand,
			"await":  await,
		},
	})
}

// setup sets the environment variables that scripts use for addresses, and writes the
// settings of the platform stand-in.
func setup(env *testscript.Env) error {
	api, admin := nextAddress(), nextAddress()
	env.Setenv("PATH", binaryFolder+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Setenv("PLATFORM", "http://"+api)
	env.Setenv("ADMIN", "http://"+admin)
	for _, name := range []string{"BALANCER_ADMIN", "PEER", "DATA", "OTHER_ADMIN", "OTHER_PEER", "OTHER_DATA"} {
		env.Setenv(name, nextAddress())
	}
	if err := reserveLayoutPorts(env); err != nil {
		return err
	}
	return writeSettings(filepath.Join(env.WorkDir, "platform.json"), api, admin)
}

// writeSettings writes the settings of the platform stand-in.
func writeSettings(path, api, admin string) error {
	settings := fmt.Sprintf(`{"address": %q, "admin-address": %q}`, api, admin)
	return os.WriteFile(path, []byte(settings), 0o600)
}

// Each test process uses its own range of ports, chosen by its process id. The ranges
// are below the ephemeral ports of the kernel (32768 and up), and on a loopback address
// that nothing else uses.
const (
	firstScriptPort = 10000
	portsPerProcess = 200
	processRanges   = 80
	scriptAddress   = "127.0.0.5"
)

var portsUsed atomic.Int32

// nextAddress returns an address that this process has not used yet.
func nextAddress() string {
	n := int(portsUsed.Add(1))
	if n > portsPerProcess {
		panic("out of ports")
	}
	return net.JoinHostPort(scriptAddress, strconv.Itoa(firstScriptPort+os.Getpid()%processRanges*portsPerProcess+n-1))
}

// ready is the script command that waits until the platform stand-in serves.
func ready(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Check(awaitPlatform(ts.Getenv("ADMIN")))
}

// awaitPlatform waits until the admin endpoint of the platform stand-in answers.
func awaitPlatform(admin string) error {
	deadline := time.Now().Add(10 * time.Second)
	for {
		res, err := http.Get(admin + "/calls")
		if err == nil {
			return res.Body.Close()
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// setSwitch is the script command switch: it sets switches of the platform stand-in,
// such as outage=on.
func setSwitch(ts *testscript.TestScript, _ bool, args []string) {
	values, err := url.ParseQuery(strings.Join(args, "&"))
	ts.Check(err)
	res, err := http.PostForm(ts.Getenv("ADMIN")+"/switch", values)
	ts.Check(err)
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusNoContent {
		ts.Fatalf("switch %v: %s", args, res.Status)
	}
}

// expand is the script command that replaces ${NAME} in the named files by the
// environment variable NAME.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// await is the script command that waits until a URL answers with status 200.
func await(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(20 * time.Second)
	for {
		res, err := http.Get(args[0])
		if err == nil {
			ts.Check(res.Body.Close())
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s does not answer 200: %v", args[0], err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

var (
	changeIDPattern = regexp.MustCompile(`\b[A-Z2-7]{26}\b`)
	timePattern     = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	figurePattern   = regexp.MustCompile(`"(requests|answered|refused-not-run|imbalance-max-over-mean)":[0-9.]+`)
	addressPattern  = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// mask is the script command that copies stdout or stderr of the last command to the
// named file. It replaces the values that differ between runs: change ids, times,
// addresses and measured figures.
func mask(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: mask stdout|stderr FILE")
	}
	text := ts.ReadFile(args[0])
	text = changeIDPattern.ReplaceAllString(text, "CHANGE")
	text = timePattern.ReplaceAllString(text, "TIME")
	text = addressPattern.ReplaceAllString(text, "ADDRESS")
	text = figurePattern.ReplaceAllString(text, `"$1":N`)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}
