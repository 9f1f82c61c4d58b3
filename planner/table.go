package planner

import "github.com/cespare/xxhash/v2"

// preference walks the buckets in the order in which a target wants them. The
// step is odd and the number of buckets a power of two, so each walk meets each
// bucket once.
type preference struct {
	id     TargetID
	next   uint64
	step   uint64
	credit int
	weight int
}

func (p *preference) bucket() int {
	b := p.next % Buckets
	p.next += p.step
	return int(b)
}

// emptyTable is that of all services without a target.
var emptyTable = make([]TargetID, Buckets)

// fill gives each bucket a target. In each round every target earns its weight
// and takes one bucket for each full share that it has earned.
func fill(targets []share) []TargetID {
	if len(targets) == 0 {
		return emptyTable
	}
	table := make([]TargetID, Buckets)
	preferences := make([]preference, len(targets))
	heaviest := 0
	for i, t := range targets {
		preferences[i] = newPreference(t)
		heaviest = max(heaviest, t.weight)
	}
	free := Buckets
	for free > 0 {
		for i := range preferences {
			p := &preferences[i]
			p.credit += p.weight
			if p.credit < heaviest || free == 0 {
				continue
			}
			p.credit -= heaviest
			take(table, p)
			free--
		}
	}
	return table
}

func take(table []TargetID, p *preference) {
	b := p.bucket()
	for table[b] != 0 {
		b = p.bucket()
	}
	table[b] = p.id
}

func newPreference(t share) preference {
	return preference{
		id:     NewTargetID(t.name),
		next:   xxhash.Sum64String("offset/" + t.name),
		step:   xxhash.Sum64String("step/"+t.name) | 1,
		weight: t.weight,
	}
}
