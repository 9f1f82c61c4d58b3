// Package test_test runs the built commands as separate processes and compares
// what they print.
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

// binaries is the folder of the built commands.
var binaries string

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
	binaries = dir
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

// setup names the addresses of the platform stand-in and writes its settings.
func setup(env *testscript.Env) error {
	api, admin := freeAddress(), freeAddress()
	env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Setenv("PLATFORM", "http://"+api)
	env.Setenv("ADMIN", "http://"+admin)
	for _, name := range []string{"BALANCER_ADMIN", "PEER", "DATA", "OTHER_ADMIN", "OTHER_PEER", "OTHER_DATA"} {
		env.Setenv(name, freeAddress())
	}
	if err := claimBase(env); err != nil {
		return err
	}
	return writeSettings(filepath.Join(env.WorkDir, "platform.json"), api, admin)
}

func writeSettings(path, api, admin string) error {
	settings := fmt.Sprintf(`{"address": %q, "admin-address": %q}`, api, admin)
	return os.WriteFile(path, []byte(settings), 0o600)
}

// Ports of a test process, below those that the kernel gives to connections (32768
// and up), at an address that nothing else uses.
const (
	firstScriptPort = 10000
	portsOfProcess  = 200
	processesAtOnce = 80
	scriptAddress   = "127.0.0.5"
)

var portsUsed atomic.Int32

func freeAddress() string {
	n := int(portsUsed.Add(1))
	if n > portsOfProcess {
		panic("out of ports")
	}
	return net.JoinHostPort(scriptAddress, strconv.Itoa(firstScriptPort+os.Getpid()%processesAtOnce*portsOfProcess+n-1))
}

// ready waits until the platform stand-in serves.
func ready(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Check(awaitPlatform(ts.Getenv("ADMIN")))
}

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

// setSwitch sets switches of the platform stand-in, such as outage=on.
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

// expand replaces the variables of the environment that a file names as ${NAME}.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// await waits until a URL answers with status 200.
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
	changeIDs = regexp.MustCompile(`\b[A-Z2-7]{26}\b`)
	times     = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	counted   = regexp.MustCompile(`"(requests|answered|refused-not-run|imbalance-max-over-mean)":[0-9.]+`)
	ports     = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// mask replaces what varies in the last standard output, or with the argument
// stderr in the last error output, and writes it to the named file.
func mask(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: mask stdout|stderr FILE")
	}
	text := ts.ReadFile(args[0])
	text = changeIDs.ReplaceAllString(text, "CHANGE")
	text = times.ReplaceAllString(text, "TIME")
	text = ports.ReplaceAllString(text, "ADDRESS")
	text = counted.ReplaceAllString(text, `"$1":N`)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}
