package assessor

import (
	"cmp"
	"slices"

	"trefoilspring.example/trefoilspring/detector"
)

const (
	// enforcedDivisor bounds the health reports that are enforced at once:
	// 1/enforcedDivisor of a service's targets, rounded up.
	enforcedDivisor = 3
	// panicDivisor sets the panic threshold. If more than 1/panicDivisor of the
	// targets have health reports, none is enforced: so many unhealthy targets at once
	// suggest that the probes are wrong, and the remaining targets could not
	// carry the load.
	panicDivisor = 2
)

// Enforced returns those health reports of one service that are enforced, which means that
// they restrict new flows to their targets. The argument targets is the number of
// the service's targets that accept new flows. Reports of cold targets are chosen
// before those of down targets. At most a third of the targets (rounded up) are
// restricted, and at least one is left unrestricted. The result is empty if more
// than half of the targets have reports. It depends only on the arguments and not
// on the order of the reports, so that balancers with the same reports enforce the
// same ones.
func Enforced(targets int, reports []detector.HealthReport) []detector.HealthReport {
	if len(reports)*panicDivisor > targets {
		return nil
	}
	sorted := slices.Clone(reports)
	slices.SortFunc(sorted, func(a, b detector.HealthReport) int {
		return cmp.Or(-cmp.Compare(a.Condition, b.Condition), cmp.Compare(a.Target, b.Target))
	})
	allowed := min((targets+enforcedDivisor-1)/enforcedDivisor, targets-1)
	return sorted[:min(len(sorted), allowed)]
}
