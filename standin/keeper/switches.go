package keeper

import (
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// switches are the faults that the stand-in shows.
type switches struct {
	mu          sync.Mutex
	outage      bool
	slow        time.Duration
	loseAnswers int
	reads       *rate.Limiter
	writes      *rate.Limiter
}

func (w *switches) down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outage
}

func (w *switches) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slow
}

// takeLost reports whether the answer of a write that was just run is lost.
func (w *switches) takeLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loseAnswers == 0 {
		return false
	}
	w.loseAnswers--
	return true
}

// allow reports whether the rate limit leaves room for one more call.
func (w *switches) allow(writes bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.reads
	if writes {
		limit = w.writes
	}
	return limit == nil || limit.Allow()
}

// Switch sets the switches named in values, as POST /switch does.
func (s *Server) Switch(values url.Values) error {
	for name := range values {
		set, ok := setters[name]
		if !ok {
			return errors.Newf("no switch %q", name)
		}
		if err := set(s, values.Get(name)); err != nil {
			return errors.Wrapf(err, "setting %s", name)
		}
	}
	return nil
}

// setters holds the function for each switch.
var setters = map[string]func(*Server, string) error{
	"outage":         setOutage,
	"slow":           setSlow,
	"lose-answers":   setLoseAnswers,
	"stale":          setStale,
	"lapse-sessions": func(s *Server, _ string) error { s.store.lapseSessions(); return nil },
	"save":           func(s *Server, _ string) error { s.store.keep(&s.store.saved); return nil },
	"restore":        setRestore,
	"read-rate":      func(s *Server, v string) error { return s.setRate(&s.switches.reads, v) },
	"write-rate":     func(s *Server, v string) error { return s.setRate(&s.switches.writes, v) },
}

func onOff(value string) (bool, error) {
	switch value {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, errors.Newf("want on or off, not %q", value)
}

func setOutage(s *Server, value string) error {
	on, err := onOff(value)
	if err != nil {
		return err
	}
	s.switches.mu.Lock()
	s.switches.outage = on
	s.switches.mu.Unlock()
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.wakeAll()
	return nil
}

func setSlow(s *Server, value string) error {
	slow, err := time.ParseDuration(value)
	if err != nil {
		return errors.Wrap(err, "reading the delay")
	}
	s.switches.mu.Lock()
	defer s.switches.mu.Unlock()
	s.switches.slow = slow
	return nil
}

func setLoseAnswers(s *Server, value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return errors.Newf("want a count, not %q", value)
	}
	s.switches.mu.Lock()
	defer s.switches.mu.Unlock()
	s.switches.loseAnswers = n
	return nil
}

func setStale(s *Server, value string) error {
	on, err := onOff(value)
	if err != nil {
		return err
	}
	if on {
		s.store.keep(&s.store.stale)
	} else {
		s.store.forget(&s.store.stale)
	}
	return nil
}

func setRestore(s *Server, _ string) error {
	if !s.store.restore() {
		return errors.New("nothing was saved")
	}
	return nil
}

// setRate limits calls to value a second; 0 sets no limit.
func (s *Server) setRate(limit **rate.Limiter, value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return errors.Newf("want a rate, not %q", value)
	}
	s.switches.mu.Lock()
	defer s.switches.mu.Unlock()
	*limit = nil
	if n > 0 {
		*limit = rate.NewLimiter(rate.Limit(n), n)
	}
	return nil
}
