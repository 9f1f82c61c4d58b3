package director

import "time"

const (
	// SettleTime is the time after a balancer's own registration became visible until it
	// knows of all other balancers. After a loss of all registrations, the others may take
	// ReregistrationSpread, one failed call and its retry, and the lag of the view.
	SettleTime = 6 * time.Second
	// ReregistrationSpread is the time over which balancers register again that have lost
	// their registrations together. 300 of them make 600 writes, and the platform's store
	// takes 400 a second.
	ReregistrationSpread = 1500 * time.Millisecond
	// lapsedBalancerTTL is how long a balancer counts whose registration was removed. It
	// exceeds SettleTime, in which a balancer that runs registers again.
	lapsedBalancerTTL = 10 * time.Second
)

// Fleet counts the balancers that share the rates of new flows to cold targets, by their
// registrations. The registration of a balancer that runs may be missing: leases run out
// while the store is down, and a new balancer isn't registered yet. So a balancer counts for a
// while after its registration was removed, and the count is unknown to a balancer that has
// seen neither its own registration of an earlier run nor, for SettleTime, a new one.
type Fleet struct {
	self, zone string
	// zones holds the availability zones of the registered balancers by name, lapsed those
	// whose registrations were removed recently.
	zones  map[string]string
	lapsed map[string]lapsedBalancer
	// knownAt is the time from which the count is known. It is zero before the balancer's
	// own registration was seen.
	knownAt time.Time
}

type lapsedBalancer struct {
	zone string
	at   time.Time
}

// NewFleet returns the Fleet of a balancer and its availability zone, without any
// registrations.
func NewFleet(self, zone string) *Fleet {
	return &Fleet{self: self, zone: zone, zones: make(map[string]string), lapsed: make(map[string]lapsedBalancer)}
}

// Register notes the registration of a balancer in an availability zone. first reports
// whether it is part of the first view, so that an earlier run made it.
func (f *Fleet) Register(now time.Time, name, zone string, first bool) {
	f.zones[name] = zone
	delete(f.lapsed, name)
	if name != f.self || !f.knownAt.IsZero() {
		return
	}
	f.knownAt = now
	if !first {
		f.knownAt = now.Add(SettleTime)
	}
}

// Remove notes that the registration of a balancer was removed.
func (f *Fleet) Remove(now time.Time, name string) {
	if zone, registered := f.zones[name]; registered {
		f.lapsed[name] = lapsedBalancer{zone: zone, at: now}
		delete(f.zones, name)
	}
}

// Counts returns the number of balancers, those in the own availability zone, and whether
// these numbers are known to be complete.
func (f *Fleet) Counts(now time.Time) (all, inZone int, known bool) {
	for name, b := range f.lapsed {
		if now.Sub(b.at) > lapsedBalancerTTL {
			delete(f.lapsed, name)
			continue
		}
		all++
		if b.zone == f.zone {
			inZone++
		}
	}
	for _, zone := range f.zones {
		all++
		if zone == f.zone {
			inZone++
		}
	}
	return all, inZone, !f.knownAt.IsZero() && !now.Before(f.knownAt)
}

// SetFleet applies the counts of a Fleet.
func (d *Director) SetFleet(now time.Time, f *Fleet) {
	all, inZone, known := f.Counts(now)
	d.SetBalancerCounts(all, inZone)
	d.fleetUnknown = !known
}
