package assessor

import (
	"cmp"
	"slices"

	"trefoilspring.example/trefoilspring/detector"
)

const (
	// ejectedDivisor says which part of a service's targets may be held back.
	ejectedDivisor = 3
	// panicDivisor says above which part of unhealthy targets none is held back:
	// so many at once point to the evidence, and the rest could not carry the load.
	panicDivisor = 2
)

// Effective returns the notes of one service that hold new flows back, where the
// service has that many targets which take flows: cold ones first, at most a
// third (rounded up), at least one target left, and none at all where more than
// half are noted. It depends on its arguments alone, not on their order.
func Effective(targets int, notes []detector.Note) []detector.Note {
	if len(notes)*panicDivisor > targets {
		return nil
	}
	sorted := slices.Clone(notes)
	slices.SortFunc(sorted, func(a, b detector.Note) int {
		return cmp.Or(-cmp.Compare(a.Condition, b.Condition), cmp.Compare(a.Target, b.Target))
	})
	allowed := min((targets+ejectedDivisor-1)/ejectedDivisor, targets-1)
	return sorted[:min(len(sorted), allowed)]
}
