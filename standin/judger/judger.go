// Package judger says which promises to callers and targets were broken, by what was
// done to whom and what they saw. A promise with a time bound is judged only for those
// that nothing harmed for a while.
//
// # Usage
//
//	j := judger.New(time.Now(), judger.Deployment{Service: "desk"})
//	j.Harm("balancer-1", time.Now().Add(time.Second))
//	j.Opened(arrival)
//	for _, b := range j.Breaks() {
//		fmt.Println(b)
//	}
package judger

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the promises, as the users' pages state them for today's sites.
const (
	contact       = 4 * time.Second
	drainBound    = 3 * time.Second
	configBound   = 3 * time.Second
	backBound     = 250 * time.Millisecond
	evacuateBound = 5 * time.Second
	RecoverBound  = 12 * time.Second
	// strayPackets of a flow at other servers and none at its own break it.
	strayPackets  = 3
	ColdPerSecond = 4
	coldMost      = ColdPerSecond*3/2 + 5
	// resetWindow is how far a reset's number may be from the caller's last.
	resetWindow = 76_800
)

// Break is one broken promise.
type Break struct {
	Promise string
	At      time.Duration
	Detail  string
}

func (b Break) String() string {
	return fmt.Sprintf("%8.3f s %s: %s", b.At.Seconds(), b.Promise, b.Detail)
}

// Judge knows what was done to whom and says which promises were broken. Its
// methods may be called from several goroutines.
type Judge struct {
	start      time.Time
	deployment Deployment

	mu sync.Mutex
	// harmed is until when somebody counts as out of touch, by name; Store
	// stands for the store.
	harmed map[string]time.Time
	// versions holds the accepted configurations, oldest first.
	versions []accepted
	// seen is the newest version whose effect a balancer's process has shown.
	seen   map[string]effect
	outAt  map[string]time.Time
	cold   map[string][]time.Time
	breaks []Break
}

type accepted struct {
	version int
	at      time.Time
}

type effect struct {
	version int
	at      time.Time
}

// Store is the name under which the store is harmed.
const Store = "store"

// Deployment is what a Judge must know of the services.
type Deployment struct {
	// Service gets the flows of all ports but MovingPort, whose flows go to
	// ServiceOf a configuration's version.
	Service    string
	MovingPort uint16
	ServiceOf  func(version int) string
}

// New returns a Judge that counts time from start.
func New(start time.Time, d Deployment) *Judge {
	return &Judge{
		start:      start,
		deployment: d,
		harmed:     make(map[string]time.Time),
		seen:       make(map[string]effect),
		outAt:      make(map[string]time.Time),
		cold:       make(map[string][]time.Time),
	}
}

func (j *Judge) broken(now time.Time, promise, format string, args ...any) {
	j.breaks = append(j.breaks, Break{Promise: promise, At: now.Sub(j.start), Detail: fmt.Sprintf(format, args...)})
}

// Harm notes that somebody is out of touch until a time, and for the time of
// contact after it.
func (j *Judge) Harm(name string, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if until = until.Add(contact); until.After(j.harmed[name]) {
		j.harmed[name] = until
	}
}

// Restarted notes that a balancer's process is a new one, which has shown nothing.
func (j *Judge) Restarted(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.seen, name)
}

// touch reports whether all of these are in touch.
func (j *Judge) touch(now time.Time, names ...string) bool {
	for _, name := range names {
		if now.Before(j.harmed[name]) {
			return false
		}
	}
	return true
}

// Accept notes that a configuration was accepted. Versions count up.
func (j *Judge) Accept(version int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versions = append(j.versions, accepted{version, at})
}

// SetOut notes when a zone was taken out; the zero time means that it is back.
func (j *Judge) SetOut(zone string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if at.IsZero() {
		delete(j.outAt, zone)
		return
	}
	j.outAt[zone] = at
}

// Arrival is an opening packet at a server.
type Arrival struct {
	Now time.Time
	// Sent is when the caller sent it.
	Sent             time.Time
	Balancer         string
	Target           string
	AvailabilityZone string
	Service          string
	Port             uint16
	// DrainingSince is zero for a target that doesn't drain.
	DrainingSince time.Time
	Cold          bool
}

// Opened judges an opening packet that a server took.
func (j *Judge) Opened(a Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	calm := j.touch(a.Now, Store, a.Balancer)
	if a.Port != j.deployment.MovingPort && a.Service != j.deployment.Service {
		j.broken(a.Now, "route", "port %d reached %s of %s through %s", a.Port, a.Target, a.Service, a.Balancer)
	}
	if calm && !a.DrainingSince.IsZero() && a.Sent.Sub(a.DrainingSince) > drainBound {
		j.broken(a.Now, "drain", "%s has drained for %v, opening through %s", a.Target, a.Sent.Sub(a.DrainingSince), a.Balancer)
	}
	if out, ok := j.outAt[a.AvailabilityZone]; ok && calm && a.Sent.Sub(out) > evacuateBound {
		j.broken(a.Now, "evacuation", "%s of %s has been out for %v, opening through %s", a.Target, a.AvailabilityZone, a.Sent.Sub(out), a.Balancer)
	}
	if a.Port == j.deployment.MovingPort {
		j.obeys(a, calm)
	}
	if a.Cold {
		j.coldOpening(a)
	}
}

// obeys judges which version an opening on the moving route shows.
func (j *Judge) obeys(a Arrival, calm bool) {
	shown := 0
	var shownAt time.Time
	for _, v := range j.versions {
		if j.deployment.ServiceOf(v.version) == a.Service && !v.at.After(a.Now) {
			shown, shownAt = v.version, v.at
		}
	}
	for _, v := range j.versions {
		if v.version > shown && a.Sent.Sub(v.at) > configBound && calm {
			j.broken(a.Now, "configuration", "%s shows version %d of %s, %d was accepted %v before", a.Balancer, shown, shownAt, v.version, a.Sent.Sub(v.at))
			break
		}
	}
	before := j.seen[a.Balancer]
	if shown < before.version && a.Sent.Sub(before.at) > backBound {
		j.broken(a.Now, "back", "%s shows version %d after %d", a.Balancer, shown, before.version)
	}
	if shown > before.version {
		// Only the newest accepted version is shown for sure; an older one of the
		// same service may be meant.
		if newest := j.versions[len(j.versions)-1]; shown == newest.version && j.alone(shown) {
			j.seen[a.Balancer] = effect{shown, a.Now}
		}
	}
}

// alone reports whether the version before this one had another service, and was
// in force long enough that nobody can show the one before that.
func (j *Judge) alone(version int) bool {
	n := len(j.versions)
	return n >= 2 && j.versions[n-1].version == version &&
		j.deployment.ServiceOf(j.versions[n-2].version) != j.deployment.ServiceOf(version) &&
		j.versions[n-1].at.Sub(j.versions[n-2].at) > configBound+contact
}

func (j *Judge) coldOpening(a Arrival) {
	times := j.cold[a.Target]
	times = append(times, a.Now)
	for len(times) > 0 && a.Now.Sub(times[0]) > time.Second {
		times = times[1:]
	}
	j.cold[a.Target] = times
	if len(times) > coldMost {
		j.broken(a.Now, "cold", "%s got %d openings in a second", a.Target, len(times))
	}
}

// Reset judges a reset of ours that a caller got on an open flow.
func (j *Judge) Reset(now time.Time, caller, server string, alive bool, distance uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if alive && j.touch(now, server) {
		j.broken(now, "flow", "%s was reset while %s serves", caller, server)
	}
	if distance > resetWindow {
		j.broken(now, "flow", "a reset of %s was %d away from what it acknowledged", caller, distance)
	}
}

// Stray judges packets of an open flow that reached another server.
func (j *Judge) Stray(now time.Time, caller, server string, alive bool, count int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if count == strayPackets && alive && j.touch(now, server) {
		j.broken(now, "flow", "%d packets of %s went past %s", count, caller, server)
	}
}

// Altered notes a packet that its sender didn't write so.
func (j *Judge) Altered(now time.Time, at string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken(now, "unaltered", "a packet at %s", at)
}

// Unserved notes that too little was served when it should have been.
func (j *Judge) Unserved(now time.Time, served, asked int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken(now, "recovery", "%d of %d requests served", served, asked)
}

// Ended notes a process that ended by itself.
func (j *Judge) Ended(now time.Time, name string, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken(now, "exit", "%s ended by itself: %v", name, err)
}

// Breaks returns the broken promises so far.
func (j *Judge) Breaks() []Break {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Break(nil), j.breaks...)
}
