package auditor

import "slices"

// imbalance returns the number of flows of the busiest target over the mean of its
// service, in the worst service. Targets that were draining and targets in zones
// that were taken out are left out.
func imbalance(in Input) float64 {
	flows := map[string]map[string]int{}
	for _, e := range in.Entries {
		r := e.Request
		switch {
		case e.Packets != nil && e.Packets.Count > 0:
			// A target that got packets counts in the mean, even if no flow to it was
			// set up.
			if !isExcluded(in, e.Packets.Target, e.Packets.Zone) {
				addFlows(flows, e.Packets.Service, e.Packets.Target, 0)
			}
		case r != nil && r.Target != "" && !isExcluded(in, r.Target, r.Zone):
			addFlows(flows, r.Service, r.Target, 1)
		}
	}
	worst := 0.0
	for _, targets := range flows {
		worst = max(worst, maxOverMean(targets))
	}
	return worst
}

// isExcluded reports whether a target was draining, or its zone was taken out.
func isExcluded(in Input, target, zone string) bool {
	return slices.Contains(in.DrainingTargets, target) ||
		slices.ContainsFunc(in.Outages, func(o ZoneOutage) bool { return o.Zone == zone })
}

// addFlows adds n to the flows of a target of a service.
func addFlows(flows map[string]map[string]int, service, target string, n int) {
	if flows[service] == nil {
		flows[service] = map[string]int{}
	}
	flows[service][target] += n
}

// maxOverMean returns the largest number of flows over the mean, or 0 without flows.
func maxOverMean(targets map[string]int) float64 {
	most, sum := 0, 0
	for _, n := range targets {
		most = max(most, n)
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(targets)) / float64(sum)
}
