package test_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/elector"
	"trefoilspring.example/trefoilspring/standin/kvserver"
)

const (
	// With candidateVariable set, the test binary runs as a candidate for a role, with
	// the variable's value as its name. platformVariable is the URL of the platform.
	candidateVariable = "TREFOILSPRING_TEST_CANDIDATE"
	platformVariable  = "TREFOILSPRING_TEST_PLATFORM"
	leaseTTL          = 500 * time.Millisecond
	pauseCount        = 6
)

// runCandidate campaigns for the role and writes the role's state in a loop while it
// holds the role. It returns the exit code.
func runCandidate(name string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	e := elector.New(consul.New(os.Getenv(platformVariable)), "planner", name)
	e.TTL = leaseTTL
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.Run(ctx) })
	for ctx.Err() == nil {
		if err := e.Write(ctx, []byte(name)); err != nil {
			time.Sleep(time.Millisecond)
		}
	}
	if err := group.Wait(); err != nil {
		return 1
	}
	return 0
}

// stateLog is a proxy in front of the platform that records, in order, the writes of
// the role's state that took effect.
type stateLog struct {
	next   http.Handler
	mu     sync.Mutex
	writes []stateWrite
}

// stateWrite is the part of a write request that the test checks.
type stateWrite struct {
	Fence uint64 `json:"fence"`
	Value []byte `json:"value"`
}

// ServeHTTP passes requests on to the platform. Writes of the role's state are
// serialised, so that the log has them in the order in which the store applied them.
func (l *stateLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut || !strings.Contains(r.URL.Path, "role-state") {
		l.next.ServeHTTP(w, r)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	l.next.ServeHTTP(answer, r)
	if answer.Body.String() == "true" {
		var entry stateWrite
		_ = json.Unmarshal(body, &entry)
		l.writes = append(l.writes, entry)
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// snapshot returns the writes so far.
func (l *stateLog) snapshot() []stateWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writes[:len(l.writes):len(l.writes)]
}

// lastWriter returns the name of the candidate whose write was the last to take effect.
func (l *stateLog) lastWriter() string {
	writes := l.snapshot()
	if len(writes) == 0 {
		return ""
	}
	return string(writes[len(writes)-1].Value)
}

// The holder of a role is stopped by SIGSTOP while it writes, for longer than its lease,
// and continues after another process has acquired the role. No write of an earlier
// holder may take effect after a write of a later holder.
func TestPausedHolderCannotOverwriteState(t *testing.T) {
	is := is.New(t)
	kv := kvserver.New()
	l := &stateLog{next: kv.API()}
	api := httptest.NewServer(l)
	defer api.Close()
	defer api.CloseClientConnections()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return kv.Run(ctx) })
	processes := map[string]*exec.Cmd{}
	for _, name := range []string{"one", "two"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), candidateVariable+"="+name, platformVariable+"="+api.URL)
		is.NoErr(cmd.Start())
		processes[name] = cmd
	}
	for range pauseCount {
		waitUntil(t, func() bool { return l.lastWriter() != "" })
		holder := l.lastWriter()
		process := processes[holder].Process
		is.NoErr(process.Signal(syscall.SIGSTOP))
		waitUntil(t, func() bool { return l.lastWriter() != holder })
		is.NoErr(process.Signal(syscall.SIGCONT))
		time.Sleep(leaseTTL / 4)
	}
	for _, cmd := range processes {
		is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
		is.NoErr(cmd.Wait())
	}
	cancel()
	is.NoErr(group.Wait())
	lastFence := uint64(0)
	author := ""
	for _, entry := range l.snapshot() {
		is.True(entry.Fence >= lastFence)
		if entry.Fence > lastFence {
			// The first write of a new holder repeats the value that it found in the store.
			lastFence = entry.Fence
			author = ""
			continue
		}
		if author == "" {
			author = string(entry.Value)
		}
		is.Equal(string(entry.Value), author)
	}
	is.True(lastFence >= pauseCount)
}

// waitUntil polls until done returns true, and fails the test after 30 s.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met in time")
		}
		time.Sleep(time.Millisecond)
	}
}
