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
	"trefoilspring.example/trefoilspring/standin/keeper"
)

const (
	// candidateVariable makes the test binary a candidate for the role, by its
	// name; platformVariable names the platform.
	candidateVariable = "TREFOILSPRING_TEST_CANDIDATE"
	platformVariable  = "TREFOILSPRING_TEST_PLATFORM"
	leaseTTL          = 500 * time.Millisecond
	pauses            = 6
)

// runCandidate campaigns for the role and writes as often as it holds it.
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

// stateLog records the writes of the role's state that took effect, in order.
type stateLog struct {
	next   http.Handler
	mu     sync.Mutex
	writes []stateWrite
}

type stateWrite struct {
	Fence uint64 `json:"fence"`
	Value []byte `json:"value"`
}

// ServeHTTP serves writes of the state one at a time, so that the journal has
// the order of the store.
func (j *stateLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut || !strings.Contains(r.URL.Path, "role-state") {
		j.next.ServeHTTP(w, r)
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	j.next.ServeHTTP(answer, r)
	if answer.Body.String() == "true" {
		var entry stateWrite
		_ = json.Unmarshal(body, &entry)
		j.writes = append(j.writes, entry)
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func (j *stateLog) read() []stateWrite {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.writes[:len(j.writes):len(j.writes)]
}

// lastWriter returns who wrote last.
func (j *stateLog) lastWriter() string {
	writes := j.read()
	if len(writes) == 0 {
		return ""
	}
	return string(writes[len(writes)-1].Value)
}

// A holder is stopped by SIGSTOP in the middle of its writes for longer than its
// lease, and goes on after another process has taken the role over. No write of
// an earlier holder takes effect after one of a later holder.
func TestPausedProcessDoesNoHarm(t *testing.T) {
	is := is.New(t)
	k := keeper.New()
	j := &stateLog{next: k.API()}
	api := httptest.NewServer(j)
	defer api.Close()
	defer api.CloseClientConnections()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return k.Run(ctx) })
	processes := map[string]*exec.Cmd{}
	for _, name := range []string{"one", "two"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), candidateVariable+"="+name, platformVariable+"="+api.URL)
		is.NoErr(cmd.Start())
		processes[name] = cmd
	}
	for range pauses {
		waitUntil(t, func() bool { return j.lastWriter() != "" })
		holder := j.lastWriter()
		process := processes[holder].Process
		is.NoErr(process.Signal(syscall.SIGSTOP))
		waitUntil(t, func() bool { return j.lastWriter() != holder })
		is.NoErr(process.Signal(syscall.SIGCONT))
		time.Sleep(leaseTTL / 4)
	}
	for _, cmd := range processes {
		is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
		is.NoErr(cmd.Wait())
	}
	cancel()
	is.NoErr(group.Wait())
	last := uint64(0)
	author := ""
	for _, entry := range j.read() {
		is.True(entry.Fence >= last)
		if entry.Fence > last {
			// The claim of a new holder writes the value that it found.
			last = entry.Fence
			author = ""
			continue
		}
		if author == "" {
			author = string(entry.Value)
		}
		is.Equal(string(entry.Value), author)
	}
	is.True(last >= pauses)
}

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
