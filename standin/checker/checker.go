// Package checker checks the promises made to callers and targets, from the faults that
// were injected and from what callers and targets observed. A promise with a time bound
// is checked only for components that have been free of faults for a while.
//
// # Usage
//
//	c := checker.New(time.Now(), checker.Deployment{Service: "desk"})
//	c.MarkFaulty("balancer-1", time.Now().Add(time.Second))
//	c.CheckOpening(arrival)
//	for _, v := range c.Violations() {
//		fmt.Println(v)
//	}
package checker

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the promises, as the users' pages state them for the present sites.
const (
	// faultGrace is how long a component is excused after its fault has ended.
	faultGrace = 4 * time.Second
	// An opening may reach a draining target, show an outdated configuration, reach a zone
	// that is out, or show an older version than its balancer showed before, for at most
	// drainBound, configBound, evacuationBound or regressionBound.
	drainBound      = 3 * time.Second
	configBound     = 3 * time.Second
	regressionBound = 250 * time.Millisecond
	evacuationBound = 5 * time.Second
	// RecoveryBound is the time after the last fault in which service must recover.
	RecoveryBound = 12 * time.Second
	// misroutedLimit is the number of packets of an open flow at servers other than
	// its own from which on the flow counts as broken.
	misroutedLimit = 3
	// ColdOpeningsPerSecond is the configured rate of openings for a cold target.
	ColdOpeningsPerSecond = 4
	// maxColdOpenings is the highest allowed number of a cold target's openings in a second.
	maxColdOpenings = ColdOpeningsPerSecond*3/2 + 5
	// resetWindow is the highest allowed distance between the sequence number of a
	// reset and the number that the caller acknowledged last.
	resetWindow = 76_800
)

// Violation is one broken promise.
type Violation struct {
	Promise string
	// At is the time since the start of the run.
	At     time.Duration
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s %s: %s", v.At.Seconds(), v.Promise, v.Detail)
}

// Checker records faults, configuration changes and observations, and reports the promises
// that were broken. Its methods may be called from several goroutines.
type Checker struct {
	start      time.Time
	deployment Deployment

	mu sync.Mutex
	// faultyUntil maps a component's name, or Store, to the time until which it is excused.
	faultyUntil map[string]time.Time
	// versions holds the accepted configurations, oldest first.
	versions []acceptedVersion
	// newestShown maps a balancer's name to the newest version that its present process
	// is known to have applied.
	newestShown map[string]shownVersion
	// zoneOutSince maps a zone that is out to when it was taken out.
	zoneOutSince map[string]time.Time
	// coldOpenings maps a target's name to the times of its openings of the last second,
	// while it was cold.
	coldOpenings map[string][]time.Time
	violations   []Violation
}

// acceptedVersion is a version of the configuration and when the store accepted it.
type acceptedVersion struct {
	version int
	at      time.Time
}

// shownVersion is a version that a balancer applied and when this was first observed.
type shownVersion struct {
	version int
	at      time.Time
}

// Store is the name that stands for the store in MarkFaulty.
const Store = "store"

// Deployment describes the services that flows must reach.
type Deployment struct {
	// Service gets the flows of all ports but MovingPort. ServiceOf returns the service
	// that gets the flows of MovingPort under a version of the configuration.
	Service    string
	MovingPort uint16
	ServiceOf  func(version int) string
}

// New returns a Checker for a run that began at start.
func New(start time.Time, d Deployment) *Checker {
	return &Checker{
		start:        start,
		deployment:   d,
		faultyUntil:  make(map[string]time.Time),
		newestShown:  make(map[string]shownVersion),
		zoneOutSince: make(map[string]time.Time),
		coldOpenings: make(map[string][]time.Time),
	}
}

func (c *Checker) addViolation(now time.Time, promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, At: now.Sub(c.start), Detail: fmt.Sprintf(format, args...)})
}

// MarkFaulty records that a component, or the store, is faulty until a time. It is excused
// from promises with a time bound until faultGrace after that.
func (c *Checker) MarkFaulty(name string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until = until.Add(faultGrace); until.After(c.faultyUntil[name]) {
		c.faultyUntil[name] = until
	}
}

// MarkRestarted records that a balancer runs as a new process, which has shown no version.
func (c *Checker) MarkRestarted(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.newestShown, name)
}

// healthy reports whether none of the named components is excused.
func (c *Checker) healthy(now time.Time, names ...string) bool {
	for _, name := range names {
		if now.Before(c.faultyUntil[name]) {
			return false
		}
	}
	return true
}

// MarkAccepted records that the store accepted a version of the configuration. Versions
// must increase.
func (c *Checker) MarkAccepted(version int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = append(c.versions, acceptedVersion{version, at})
}

// SetZoneOut records when a zone was taken out; the zero time means that it is in again.
func (c *Checker) SetZoneOut(zone string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.IsZero() {
		delete(c.zoneOutSince, zone)
		return
	}
	c.zoneOutSince[zone] = at
}

// Arrival describes an opening packet that reached a server.
type Arrival struct {
	Now time.Time
	// Sent is when the caller last sent a packet of the flow.
	Sent             time.Time
	Balancer         string
	Target           string
	AvailabilityZone string
	Service          string
	Port             uint16
	// DrainingSince is the zero time for a target that doesn't drain.
	DrainingSince time.Time
	// Cold says that the target is still in its cold start.
	Cold bool
}

// CheckOpening checks an opening packet that a server accepted: its route, the state of
// the target and of the zone, the version of the configuration and the cold start rate.
func (c *Checker) CheckOpening(a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	healthy := c.healthy(a.Now, Store, a.Balancer)
	if a.Port != c.deployment.MovingPort && a.Service != c.deployment.Service {
		c.addViolation(a.Now, "route", "an opening for port %d reached %s of service %s through %s", a.Port, a.Target, a.Service, a.Balancer)
	}
	if healthy && !a.DrainingSince.IsZero() && a.Sent.Sub(a.DrainingSince) > drainBound {
		c.addViolation(a.Now, "drain", "%s was draining for %v when it got an opening through %s", a.Target, a.Sent.Sub(a.DrainingSince), a.Balancer)
	}
	if out, ok := c.zoneOutSince[a.AvailabilityZone]; ok && healthy && a.Sent.Sub(out) > evacuationBound {
		c.addViolation(a.Now, "evacuation", "%s got an opening though zone %s was out for %v, through %s", a.Target, a.AvailabilityZone, a.Sent.Sub(out), a.Balancer)
	}
	if a.Port == c.deployment.MovingPort {
		c.checkVersion(a, healthy)
	}
	if a.Cold {
		c.checkColdRate(a)
	}
}

// checkVersion checks the version of the configuration that an opening on MovingPort
// shows: the newest accepted one whose service it reached.
func (c *Checker) checkVersion(a Arrival, healthy bool) {
	shown := 0
	var shownAt time.Time
	for _, v := range c.versions {
		if c.deployment.ServiceOf(v.version) == a.Service && !v.at.After(a.Now) {
			shown, shownAt = v.version, v.at
		}
	}
	for _, v := range c.versions {
		if v.version > shown && a.Sent.Sub(v.at) > configBound && healthy {
			c.addViolation(a.Now, "configuration", "%s applied version %d, accepted at %s, though version %d was accepted %v before the packet", a.Balancer, shown, shownAt, v.version, a.Sent.Sub(v.at))
			break
		}
	}
	previous := c.newestShown[a.Balancer]
	if shown < previous.version && a.Sent.Sub(previous.at) > regressionBound {
		c.addViolation(a.Now, "back", "%s applied version %d after version %d", a.Balancer, shown, previous.version)
	}
	if shown > previous.version {
		// An opening shows a service, and several versions may have the same one. So only the
		// newest accepted version is recorded, and only if it is distinguishable.
		if newest := c.versions[len(c.versions)-1]; shown == newest.version && c.distinguishable(shown) {
			c.newestShown[a.Balancer] = shownVersion{shown, a.Now}
		}
	}
}

// distinguishable reports whether an opening shows for certain that the newest version is
// applied: the version before it has another service, and was the newest for so long that
// no balancer can still apply an earlier one.
func (c *Checker) distinguishable(version int) bool {
	n := len(c.versions)
	return n >= 2 && c.versions[n-1].version == version &&
		c.deployment.ServiceOf(c.versions[n-2].version) != c.deployment.ServiceOf(version) &&
		c.versions[n-1].at.Sub(c.versions[n-2].at) > configBound+faultGrace
}

// checkColdRate checks the number of openings of a cold target in the last second.
func (c *Checker) checkColdRate(a Arrival) {
	times := c.coldOpenings[a.Target]
	times = append(times, a.Now)
	for len(times) > 0 && a.Now.Sub(times[0]) > time.Second {
		times = times[1:]
	}
	c.coldOpenings[a.Target] = times
	if len(times) > maxColdOpenings {
		c.addViolation(a.Now, "cold", "cold target %s got %d openings in a second", a.Target, len(times))
	}
}

// CheckReset checks a balancer's reset that a caller got on an open flow. distance is how
// far its sequence number is from what the caller acknowledged last.
func (c *Checker) CheckReset(now time.Time, caller, server string, alive bool, distance uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if alive && c.healthy(now, server) {
		c.addViolation(now, "flow", "the flow of %s was reset while its target %s serves", caller, server)
	}
	if distance > resetWindow {
		c.addViolation(now, "flow", "a reset of the flow of %s was %d bytes away from what the caller acknowledged", caller, distance)
	}
}

// CheckRejection checks a balancer's reset of an opening that a target had accepted. An
// opening may only be turned away if it reached no target.
func (c *Checker) CheckRejection(now time.Time, caller, server string, alive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if alive && c.healthy(now, server) {
		c.addViolation(now, "rejection", "the opening of %s was reset after it had reached %s", caller, server)
	}
}

// CheckMisrouted checks the count of packets of an open flow that reached servers other
// than the flow's own. It reports the flow once, when the count reaches misroutedLimit.
func (c *Checker) CheckMisrouted(now time.Time, caller, server string, alive bool, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if count == misroutedLimit && alive && c.healthy(now, server) {
		c.addViolation(now, "flow", "%d packets of the flow of %s reached targets other than its own, %s", count, caller, server)
	}
}

// ReportAltered reports a packet that arrived altered at a caller or target.
func (c *Checker) ReportAltered(now time.Time, at string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(now, "unaltered", "a packet was altered before it reached %s", at)
}

// ReportUnserved reports that too few requests were served after the time for recovery.
func (c *Checker) ReportUnserved(now time.Time, served, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(now, "recovery", "%d of %d requests served", served, requests)
}

// ReportExit reports a process that ended without being told to, or couldn't be started.
func (c *Checker) ReportExit(now time.Time, name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(now, "exit", "%s ended without being told to: %v", name, err)
}

// Violations returns the violations so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
