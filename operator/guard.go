package operator

import (
	"fmt"
	"maps"
	"slices"
)

// MaxLossPercent is the share of a service's targets that one change may take
// out without an explicit flag.
const MaxLossPercent = 50

// LossError reports a change that takes out too much of a service.
type LossError struct {
	service string
	before  int
	after   int
}

// Service returns the name of the service.
func (e *LossError) Service() string { return e.service }

// Before returns how many targets took new flows before the change.
func (e *LossError) Before() int { return e.before }

// After returns how many of these targets would still take new flows.
func (e *LossError) After() int { return e.after }

func (e *LossError) Error() string {
	return fmt.Sprintf("service %q would keep %d of its %d targets; more than %d%% go at once, or the last",
		e.service, e.after, e.before, MaxLossPercent)
}

// CheckLoss returns a LossError if the change from before to after takes more
// than MaxLossPercent of a service's usable targets from it, or the last one. A
// target is usable when it is active and its availability zone is in.
func CheckLoss(before, after Document) error {
	had := usable(before)
	has := usable(after)
	for _, service := range slices.Sorted(maps.Keys(had)) {
		// A target replaced by another one is a loss too: the new one is cold.
		kept := 0
		for target := range had[service] {
			if has[service][target] {
				kept++
			}
		}
		total := len(had[service])
		if (total-kept)*100 > total*MaxLossPercent || len(has[service]) == 0 {
			return &LossError{service: service, before: total, after: kept}
		}
	}
	return nil
}

// usable returns, for each service, the names of the targets that take new
// flows.
func usable(d Document) map[string]map[string]bool {
	services := map[string]map[string]bool{}
	for name, target := range d.Targets {
		in := d.AvailabilityZones[target.AvailabilityZone].State == ZoneIn
		if !in || stateOf(target) != TargetActive {
			continue
		}
		if services[target.Service] == nil {
			services[target.Service] = map[string]bool{}
		}
		services[target.Service][name] = true
	}
	return services
}
