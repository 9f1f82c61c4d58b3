package director

import (
	"cmp"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/spreader"
)

// Spread is the load of a service in one availability zone, and the part of the own zone's
// new flows that goes there.
type Spread struct {
	Service          string
	AvailabilityZone string
	// Reported reports whether the demand of the zone's callers is known. Demand is the
	// number of slots that they need, Slots how many are ready for new flows.
	Reported bool
	Demand   float64
	Slots    float64
	// Planned reports whether there is a plan, and Part is the part by it, from 0 to 1.
	Planned bool
	Part    float64
}

// Spreads returns the load and the plan of each service and zone as of the last call of Tick,
// sorted by both.
func (d *Director) Spreads() []Spread {
	var all []Spread
	for service, p := range d.pools {
		for _, z := range p.spread.load.Zones {
			s := Spread{
				Service: service, AvailabilityZone: z.Name, Reported: z.Reported, Slots: z.Slots,
				Demand: z.Requests * p.spread.planner.ServiceTime().Seconds(), Planned: p.spread.share.Known,
			}
			if s.Planned {
				s.Part = p.spread.share.Part(d.zone, z.Name)
			}
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b Spread) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	return all
}

// AwayParts returns the part of each service's new flows that leaves the own zone, from 0 to
// 1, by the plan or by the own demand.
func (d *Director) AwayParts(now time.Time) map[string]float64 {
	parts := make(map[string]float64, len(d.pools))
	for service, p := range d.pools {
		parts[service] = 1 - d.localShare(now, p)
	}
	return parts
}

// minReportInterval is the least time between two changes of a service that
// TakeSpreadChanges returns.
const minReportInterval = 10 * time.Second

// SpreadChange says that a service began or ended to send new flows away from the own zone.
type SpreadChange struct {
	Service string
	// Away holds the parts that go to other zones; it is empty if the service ended. Planned
	// reports whether there is a plan still, and Crowded whether there is none because too
	// many requests wait in all zones.
	Away    []spreader.Part
	Planned bool
	Crowded bool
}

// TakeSpreadChanges returns the services that began or ended to send flows away by their
// plan, each at most once in 10 s.
func (d *Director) TakeSpreadChanges(now time.Time) []SpreadChange {
	var changes []SpreadChange
	for service, p := range d.pools {
		s := &p.spread
		away := len(s.share.Away) > 0
		if away != s.reportedAway && now.Sub(s.reportedAt) >= minReportInterval {
			s.reportedAway, s.reportedAt = away, now
			changes = append(changes, SpreadChange{
				Service: service, Away: slices.Clone(s.share.Away), Planned: s.share.Known, Crowded: s.planner.Crowded(),
			})
		}
	}
	slices.SortFunc(changes, func(a, b SpreadChange) int { return cmp.Compare(a.Service, b.Service) })
	return changes
}

// PlacementReason says why a new flow belongs in a zone.
type PlacementReason string

// Reasons for placements.
const (
	PlacementHome    PlacementReason = "home"    // the part of the flows that stays in the own zone
	PlacementPlanned PlacementReason = "planned" // the part that the plan gives to another zone
	PlacementCrowded PlacementReason = "crowded" // no plan, and the own zone lacks slots for the flow
	PlacementUnready PlacementReason = "unready" // no target of the flow's zone is ready, so it may go to any
)

// Placement says in which zone a new flow belongs, and why. The zone is empty if the flow may
// go to any. Home is the part of the service's new flows that stays in the own zone, from 0
// to 1. Crowded reports whether there is no plan because too many requests wait in all zones.
type Placement struct {
	Zone    string
	Reason  PlacementReason
	Planned bool
	Crowded bool
	Home    float64
}

// explainPlacement returns the placement of a flow of a service.
func (d *Director) explainPlacement(now time.Time, key uint64, service string) Placement {
	p := d.pools[service]
	if p == nil {
		return Placement{Reason: PlacementUnready}
	}
	placement := Placement{Planned: p.spread.share.Known, Crowded: p.spread.planner.Crowded(), Home: d.localShare(now, p)}
	zone := d.zoneFor(now, key, p)
	switch {
	case zone == nil:
		placement.Reason = PlacementCrowded
	case d.chooseLocal(now, key, p) == nil:
		placement.Reason = PlacementUnready
	case zone == d.ownZone:
		placement.Zone, placement.Reason = d.zone, PlacementHome
	default:
		placement.Zone, placement.Reason = d.zoneName(zone), PlacementPlanned
	}
	return placement
}

// zoneName returns the name of the zone with this health.
func (d *Director) zoneName(z *zoneHealth) string {
	for name, other := range d.zones {
		if other == z {
			return name
		}
	}
	return ""
}
