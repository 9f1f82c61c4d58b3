package balancer

import (
	"fmt"
	"time"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/explainer"
)

// reportSpreads logs which services began or ended to send new flows to other zones, and sets
// their gauges. Balancer.mu must be held.
func (b *Balancer) reportSpreads(now time.Time) {
	for _, c := range b.director.TakeSpreadChanges(now) {
		switch {
		case len(c.Away) == 0 && c.Planned:
			b.log.Info("service keeps its new flows in the zone again", "service", c.Service)
			continue
		case len(c.Away) == 0:
			b.log.Info("service has no plan for zones any more", "service", c.Service, "crowded", c.Crowded)
			continue
		}
		parts := make(map[string]float64, len(c.Away))
		sum := 0.0
		for _, p := range c.Away {
			parts[p.Zone] = p.Part
			sum += p.Part
		}
		b.log.Info("service sends new flows to other zones", "service", c.Service, "part", sum, "parts-by-zone", parts)
	}
	for service, part := range b.director.AwayParts(now) {
		b.metrics.setAwayPart(service, part)
	}
}

// explainSpreads converts the loads of services in zones to those that are reported.
func explainSpreads(spreads []director.Spread) []explainer.Spread {
	var all []explainer.Spread
	for _, s := range spreads {
		e := explainer.Spread{Service: s.Service, AvailabilityZone: s.AvailabilityZone, Slots: s.Slots}
		if s.Reported {
			e.Demand = &s.Demand
		}
		if s.Planned {
			e.Part = &s.Part
		}
		all = append(all, e)
	}
	return all
}

// explainPlacement describes the zone of a flow in words.
func explainPlacement(p director.Placement) string {
	rule := "by the demand that this balancer sees"
	switch {
	case p.Planned:
		rule = "by the plan for all zones"
	case p.Crowded:
		rule += ", since too many requests wait in all zones for a plan"
	}
	switch p.Reason {
	case director.PlacementHome:
		return fmt.Sprintf("%s: %.2f of new flows stay in this zone %s, and this one is among them", p.Zone, p.Home, rule)
	case director.PlacementPlanned:
		return fmt.Sprintf("%s: %.2f of new flows stay in this zone %s, and this one goes to another", p.Zone, p.Home, rule)
	case director.PlacementCrowded:
		return fmt.Sprintf("any: %.2f of new flows stay in this zone %s, and this one isn't among them", p.Home, rule)
	case director.PlacementUnready:
		return "any: no target of the flow's zone is ready"
	}
	return ""
}
