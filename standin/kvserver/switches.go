package kvserver

import (
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// switches holds the faults that the stand-in injects into calls. The faults of its
// data (stale, save, restore, lapse-sessions) are in the store.
type switches struct {
	mu sync.Mutex
	// outage closes connections without a response.
	outage bool
	// requestDelay delays each call before it runs.
	requestDelay time.Duration
	// answersToLose is how many of the next writes run without a response.
	answersToLose int
	// readLimit and writeLimit limit the calls a second; nil sets no limit.
	readLimit  *rate.Limiter
	writeLimit *rate.Limiter
}

// inOutage reports whether connections are closed without a response.
func (w *switches) inOutage() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outage
}

// delay returns how long each call waits before it runs.
func (w *switches) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requestDelay
}

// takeLostAnswer reports whether the response of the write that has just run is to
// be lost, and counts it off answersToLose.
func (w *switches) takeLostAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answersToLose == 0 {
		return false
	}
	w.answersToLose--
	return true
}

// allowCall reports whether the rate limit allows one more call now.
func (w *switches) allowCall(writes bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.readLimit
	if writes {
		limit = w.writeLimit
	}
	return limit == nil || limit.Allow()
}

// SetSwitches sets the switches named in values, as POST /switch does, in no fixed order.
// Switches that were set before an error stay set.
func (s *Server) SetSwitches(values url.Values) error {
	for name := range values {
		set, ok := switchSetters[name]
		if !ok {
			return errors.Newf("unknown switch %q", name)
		}
		if err := set(s, values.Get(name)); err != nil {
			return errors.Wrapf(err, "setting %s", name)
		}
	}
	return nil
}

// switchSetters maps the name of each switch to the function that sets it.
var switchSetters = map[string]func(*Server, string) error{
	"outage":         setOutage,
	"slow":           setSlow,
	"lose-answers":   setLoseAnswers,
	"stale":          setStale,
	"lapse-sessions": func(s *Server, _ string) error { s.store.endAllSessions(); return nil },
	"save":           func(s *Server, _ string) error { s.store.takeSnapshot(&s.store.saved); return nil },
	"restore":        setRestore,
	"read-rate":      func(s *Server, v string) error { return s.setRate(&s.switches.readLimit, v) },
	"write-rate":     func(s *Server, v string) error { return s.setRate(&s.switches.writeLimit, v) },
}

// parseOnOff parses the value of a switch that is either on or off.
func parseOnOff(value string) (bool, error) {
	switch value {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, errors.Newf("want on or off, not %q", value)
}

// setOutage starts or ends an outage. It also ends all blocking queries, so that
// their connections close during an outage.
func setOutage(s *Server, value string) error {
	on, err := parseOnOff(value)
	if err != nil {
		return err
	}
	s.switches.mu.Lock()
	s.switches.outage = on
	s.switches.mu.Unlock()
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.wakeAllWaiters()
	return nil
}

func setSlow(s *Server, value string) error {
	slow, err := time.ParseDuration(value)
	if err != nil {
		return errors.Wrap(err, "parsing the delay")
	}
	s.switches.mu.Lock()
	defer s.switches.mu.Unlock()
	s.switches.requestDelay = slow
	return nil
}

func setLoseAnswers(s *Server, value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return errors.Newf("want a count of 0 or more, not %q", value)
	}
	s.switches.mu.Lock()
	defer s.switches.mu.Unlock()
	s.switches.answersToLose = n
	return nil
}

func setStale(s *Server, value string) error {
	on, err := parseOnOff(value)
	if err != nil {
		return err
	}
	if on {
		s.store.takeSnapshot(&s.store.stale)
	} else {
		s.store.discardSnapshot(&s.store.stale)
	}
	return nil
}

func setRestore(s *Server, _ string) error {
	if !s.store.restore() {
		return errors.New("no snapshot was saved")
	}
	return nil
}

// setRate sets limit to value calls a second, with bursts of the same size; 0 sets
// no limit.
func (s *Server) setRate(limit **rate.Limiter, value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return errors.Newf("want a rate of 0 or more calls a second, not %q", value)
	}
	s.switches.mu.Lock()
	defer s.switches.mu.Unlock()
	*limit = nil
	if n > 0 {
		*limit = rate.NewLimiter(rate.Limit(n), n)
	}
	return nil
}
