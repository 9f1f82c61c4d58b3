package auditor

import "slices"

// imbalance returns the flows of the busiest target over the mean of its
// service, the worst of all services. Targets that were draining and zones that
// were taken out do not count.
func imbalance(in Input) float64 {
	flows := map[string]map[string]int{}
	for _, e := range in.Entries {
		r := e.Request
		switch {
		case e.Packets != nil && e.Packets.Count > 0:
			// A target that packets reached counts even if no flow was set up.
			if !excluded(in, e.Packets.Target, e.Packets.Zone) {
				count(flows, e.Packets.Service, e.Packets.Target, 0)
			}
		case r != nil && r.Target != "" && !excluded(in, r.Target, r.Zone):
			count(flows, r.Service, r.Target, 1)
		}
	}
	worst := 0.0
	for _, targets := range flows {
		worst = max(worst, maxOverMean(targets))
	}
	return worst
}

func excluded(in Input, target, zone string) bool {
	return slices.Contains(in.Drained, target) ||
		slices.ContainsFunc(in.Outages, func(o Outage) bool { return o.Zone == zone })
}

func count(flows map[string]map[string]int, service, target string, n int) {
	if flows[service] == nil {
		flows[service] = map[string]int{}
	}
	flows[service][target] += n
}

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
