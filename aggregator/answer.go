package aggregator

import (
	"maps"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/rater"
)

// Half is what the balancers that report to one reader of a zone observed.
type Half struct {
	_ struct{} `cbor:",toarray"`
	// Number counts the reader's halves, one for each round.
	Number uint64
	// Reports holds the last report of each balancer, without its targets, and Ages the time
	// since the end of its window.
	Reports []Report
	Ages    []time.Duration
	// Samples holds what the reports that arrived in this round say of targets. Targets of a
	// service have its index in Services.
	Services []string
	Samples  []TargetCount
}

// Answer is what a reader tells another reader.
type Answer struct {
	// Summary is the Summary of the answering reader's zone, if it has one.
	Summary *Summary
	// Half is the answering reader's half, for a reader of the same zone.
	Half *Half
}

type wireAnswer struct {
	_       struct{} `cbor:",toarray"`
	Summary *wireSummary
	Half    *Half
}

// Encode returns the encoded Answer.
func (a Answer) Encode() ([]byte, error) {
	w := wireAnswer{Half: a.Half}
	if a.Summary != nil {
		s := newWireSummary(*a.Summary, maxPictureEntries)
		w.Summary = &s
	}
	return encode(w)
}

// DecodeAnswer decodes an Answer. It returns an *InvalidError if data holds none or its numbers
// are impossible.
func DecodeAnswer(data []byte) (Answer, error) {
	var w wireAnswer
	if err := decode(data, MaxAnswerBytes, &w); err != nil {
		return Answer{}, err
	}
	var a Answer
	if w.Summary != nil {
		s, err := w.Summary.summary()
		if err != nil {
			return Answer{}, err
		}
		a.Summary = &s
	}
	if w.Half == nil {
		return a, nil
	}
	a.Half = w.Half
	return a, w.Half.validate()
}

// validate returns an *InvalidError if a number of the half is impossible.
func (h *Half) validate() error {
	if len(h.Ages) != len(h.Reports) || len(h.Reports) > maxReporters {
		return &InvalidError{ReasonImpossible}
	}
	for i := range h.Reports {
		if err := h.Reports[i].Validate(); err != nil {
			return err
		}
		if h.Ages[i] < 0 || h.Ages[i] > time.Hour {
			return &InvalidError{ReasonImpossible}
		}
	}
	for i := range h.Samples {
		t := &h.Samples[i]
		if int(t.Service) >= len(h.Services) || !validTimes(t.Answered, t.Timed, t.Time) {
			return &InvalidError{ReasonImpossible}
		}
	}
	return nil
}

// newHalfSamples returns the samples of targets for a message.
func newHalfSamples(samples []rater.Sample) (services []string, counts []TargetCount) {
	samples = samples[:min(len(samples), maxElements)]
	counts = make([]TargetCount, 0, len(samples))
	for _, s := range samples {
		i := slices.Index(services, s.Service)
		if i < 0 {
			i = len(services)
			services = append(services, s.Service)
		}
		counts = append(counts, TargetCount{
			Target: s.Target, Service: uint32(i), Begun: uint32(s.Begun),
			Answered: uint32(s.Answered), Timed: uint32(s.Timed), Time: s.Time,
		})
	}
	return services, counts
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// largest returns the first entries in an order, up to a limit.
func largest[T any](entries []T, limit int, before func(a, b T) bool) []T {
	slices.SortFunc(entries, func(a, b T) int {
		switch {
		case before(a, b):
			return -1
		case before(b, a):
			return 1
		}
		return 0
	})
	return entries[:min(len(entries), limit)]
}
