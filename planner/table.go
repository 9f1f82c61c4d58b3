package planner

import "github.com/cespare/xxhash/v2"

// permutation iterates over all buckets in the order in which a target prefers
// them, as in Maglev. Because step is odd and Buckets is a power of two, the
// iteration visits each bucket once before it repeats.
type permutation struct {
	id TargetID
	// next modulo Buckets is the bucket that the iteration visits next.
	next uint64
	step uint64
	// credit grows by weight in each round of newTable. Each assigned bucket
	// costs the highest weight of all targets.
	credit int
	weight int
}

// nextBucket returns the next bucket of the permutation and moves past it.
func (p *permutation) nextBucket() int {
	b := p.next % Buckets
	p.next += p.step
	return int(b)
}

// emptyTable assigns no target to any bucket. All services without a target that
// accepts new flows share it.
var emptyTable = make([]TargetID, Buckets)

// newTable returns a table that assigns a target to each bucket. In each round,
// the credit of every target grows by its weight. A target whose credit reaches
// the highest weight is assigned one bucket and pays the highest weight for it,
// so targets receive buckets in proportion to their weights.
func newTable(targets []weightedTarget) []TargetID {
	if len(targets) == 0 {
		return emptyTable
	}
	table := make([]TargetID, Buckets)
	permutations := make([]permutation, len(targets))
	maxWeight := 0
	for i, t := range targets {
		permutations[i] = newPermutation(t)
		maxWeight = max(maxWeight, t.weight)
	}
	unassigned := Buckets
	for unassigned > 0 {
		for i := range permutations {
			p := &permutations[i]
			p.credit += p.weight
			if p.credit < maxWeight || unassigned == 0 {
				continue
			}
			p.credit -= maxWeight
			assignNextFree(table, p)
			unassigned--
		}
	}
	return table
}

// assignNextFree assigns the first unassigned bucket of p's permutation to p's
// target. The table must have an unassigned bucket.
func assignNextFree(table []TargetID, p *permutation) {
	b := p.nextBucket()
	for table[b] != 0 {
		b = p.nextBucket()
	}
	table[b] = p.id
}

func newPermutation(t weightedTarget) permutation {
	return permutation{
		id:     NewTargetID(t.name),
		next:   xxhash.Sum64String("offset/" + t.name),
		step:   xxhash.Sum64String("step/"+t.name) | 1,
		weight: t.weight,
	}
}
