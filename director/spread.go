package director

import (
	"cmp"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/spreader"
)

// spread is the plan for the new flows of one service (package spreader).
type spread struct {
	planner spreader.Planner
	load    spreader.Load
	share   spreader.Share
	// zones holds the zones of share.Away.
	zones []*zoneHealth
	// reportedAway is what TakeSpreadChanges last returned, and reportedAt when.
	reportedAway bool
	reportedAt   time.Time
}

// updateSpreads plans for each service which of its new flows leave the own zone.
func (d *Director) updateSpreads(now time.Time) {
	for service, p := range d.pools {
		s := &p.spread
		s.load = spreader.Load{Own: d.zone, Goal: d.goals[service], Path: p.path, Zones: d.zoneLoads(now, service, p)}
		s.share = s.planner.Update(now, s.load)
		s.zones = s.zones[:0]
		for _, part := range s.share.Away {
			s.zones = append(s.zones, d.zoneHealthOf(part.Zone))
		}
	}
}

// zoneLoads returns the load of a service in the zones that its flows may go to: those of the
// own region, or all if flows may leave it.
func (d *Director) zoneLoads(now time.Time, service string, p *pool) []spreader.Zone {
	inRegion := d.hasRegionalTarget(now, p)
	loads := map[string]*spreader.Zone{d.zone: {Name: d.zone}}
	loadOf := func(zone string) *spreader.Zone {
		if inRegion && !d.sameRegion(zone) {
			return nil
		}
		if loads[zone] == nil {
			loads[zone] = &spreader.Zone{Name: zone}
		}
		return loads[zone]
	}
	var picture aggregator.Picture
	if now.Sub(d.load.pictureAt) <= maxPictureAge {
		picture = d.picture
	}
	for zone, summary := range picture.Zones {
		z := loadOf(zone)
		if z == nil {
			continue
		}
		z.Reported, z.Distance = true, summary.Distance
		for class, demand := range summary.Demand {
			if class.Service == service {
				z.Requests += demand.Requests
				z.Answered += demand.Answered
				z.Concurrency += demand.Concurrency
			}
		}
	}
	for _, m := range p.members {
		if z := loadOf(m.AvailabilityZone); z != nil && d.isReadyIn(now, m, m.zone) {
			z.Slots += m.weight()
			z.Targets++
		}
	}
	all := make([]spreader.Zone, 0, len(loads))
	for _, z := range loads {
		all = append(all, *z)
	}
	slices.SortFunc(all, func(a, b spreader.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// hasRegionalTarget reports whether the own region has a target that accepts new flows and
// isn't suspect. New flows don't leave the region then.
func (d *Director) hasRegionalTarget(now time.Time, p *pool) bool {
	for _, m := range p.members {
		if d.sameRegion(m.AvailabilityZone) && d.acceptsNewFlows(m) && !m.isSuspect(now) {
			return true
		}
	}
	return false
}

// sameRegion reports whether a zone is in the region of the own zone.
func (d *Director) sameRegion(zone string) bool { return d.regions[zone] == d.regions[d.zone] }
