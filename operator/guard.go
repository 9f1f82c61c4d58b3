package operator

import (
	"fmt"
	"maps"
	"slices"
)

// MaxRemovedPercent is the share of a service's usable targets, in percent, that one
// change may take out of use unless the operator allows a large change.
const MaxRemovedPercent = 50

// LargeChangeError reports a change that takes too many targets of a service out of use.
type LargeChangeError struct {
	service string
	before  int
	after   int
}

// Service returns the name of the service.
func (e *LargeChangeError) Service() string { return e.service }

// Before returns the number of targets that took new flows before the change.
func (e *LargeChangeError) Before() int { return e.before }

// After returns how many of the targets that Before counts would take new flows
// after the change.
func (e *LargeChangeError) After() int { return e.after }

func (e *LargeChangeError) Error() string {
	return fmt.Sprintf("service %q would keep %d of its %d targets; more than %d%% go at once, or the last",
		e.service, e.after, e.before, MaxRemovedPercent)
}

// CheckLargeChange returns a LargeChangeError if the change from before to after
// takes more than MaxRemovedPercent of a service's usable targets out of use, or leaves
// it without any. A target is usable if its state is active and that of its
// availability zone is in.
func CheckLargeChange(before, after Document) error {
	usableBefore := usableTargets(before)
	usableAfter := usableTargets(after)
	for _, service := range slices.Sorted(maps.Keys(usableBefore)) {
		// A target that is replaced by another counts as removed too, since the new one is
		// cold: ColdStart may limit it to a few flows.
		kept := 0
		for target := range usableBefore[service] {
			if usableAfter[service][target] {
				kept++
			}
		}
		total := len(usableBefore[service])
		if (total-kept)*100 > total*MaxRemovedPercent || len(usableAfter[service]) == 0 {
			return &LargeChangeError{service: service, before: total, after: kept}
		}
	}
	return nil
}

// usableTargets returns the names of the targets that take new flows, by service.
func usableTargets(d Document) map[string]map[string]bool {
	services := map[string]map[string]bool{}
	for name, target := range d.Targets {
		in := d.AvailabilityZones[target.AvailabilityZone].State == ZoneIn
		if !in || stateOrDefault(target) != TargetActive {
			continue
		}
		if services[target.Service] == nil {
			services[target.Service] = map[string]bool{}
		}
		services[target.Service][name] = true
	}
	return services
}
