package aggregator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/rater"
)

const (
	// targetTimeFactor is how many times the service's usual time the mean time of a target's
	// answers counts at most. Callers give up before a target that is slower answers.
	targetTimeFactor = 16
	// smallCount is a number of requests of one target that counts in any case.
	smallCount = 5
)

// boundSamples returns the sums of what reports say of targets. Of each service, a report counts
// as many requests as its classes are bounded to. The reports are named in order.
func boundSamples(reports map[string]*received, names []string, limits map[Class]bounds) []rater.Sample {
	usual := targetMedians(reports, names)
	sums := make(map[uint64]int, len(usual))
	samples := make([]rater.Sample, 0, len(usual))
	for _, name := range names {
		r := &reports[name].report
		shares := serviceShares(r, limits)
		for _, t := range r.Targets {
			s := boundSample(t, r.Services[t.Service], shares[t.Service], usual[t.Target], len(names))
			i, known := sums[s.Target]
			switch {
			case !known:
				sums[s.Target] = len(samples)
				samples = append(samples, s)
			case samples[i].Service == s.Service:
				samples[i].Begun += s.Begun
				samples[i].Answered += s.Answered
				samples[i].Timed += s.Timed
				samples[i].Time += s.Time
			}
		}
	}
	return samples
}

// serviceShare is how much of a report's counts for the targets of a service counts.
type serviceShare struct {
	begun, answered float64
	meanTime        time.Duration
}

// serviceShares returns the shares of a report's services.
func serviceShares(r *Report, limits map[Class]bounds) []serviceShare {
	shares := make([]serviceShare, len(r.Services))
	seconds := r.Window.Seconds()
	for i, service := range r.Services {
		var begun, answered, claimedBegun, claimedAnswered float64
		var usualTime time.Duration
		for _, k := range r.Classes {
			if k.Class.Service == service {
				b := limits[k.Class]
				begun += min(float64(k.Requests), b.requests*seconds)
				answered += min(float64(k.Answered), b.answered*seconds)
				usualTime = max(usualTime, b.usualTime)
			}
		}
		for _, t := range r.Targets {
			if int(t.Service) == i {
				claimedBegun += float64(t.Begun)
				claimedAnswered += float64(t.Answered)
			}
		}
		shares[i] = serviceShare{begun: share(begun, claimedBegun), answered: share(answered, claimedAnswered), meanTime: maxAnswerTime}
		if usualTime > 0 {
			shares[i].meanTime = targetTimeFactor * usualTime
		}
	}
	return shares
}

func share(allowed, claimed float64) float64 {
	if claimed <= allowed {
		return 1
	}
	return allowed / claimed
}

// targetMedian holds the median over reports of a target's requests, and of the mean time of its
// answers, which is 0 if too few reports have any.
type targetMedian struct {
	begun    float64
	meanTime time.Duration
}

func targetMedians(reports map[string]*received, names []string) map[uint64]targetMedian {
	total := 0
	for _, name := range names {
		total += len(reports[name].report.Targets)
	}
	counts := make([]TargetCount, 0, total)
	for _, name := range names {
		counts = append(counts, reports[name].report.Targets...)
	}
	slices.SortFunc(counts, func(a, b TargetCount) int { return cmp.Compare(a.Target, b.Target) })
	medians := make(map[uint64]targetMedian)
	var begun, means []float64
	for len(counts) > 0 {
		id := counts[0].Target
		begun, means = begun[:0], means[:0]
		for len(counts) > 0 && counts[0].Target == id {
			t := &counts[0]
			begun = append(begun, float64(t.Begun))
			if t.Timed > 0 {
				means = append(means, float64(t.Time)/float64(t.Timed))
			}
			counts = counts[1:]
		}
		m := targetMedian{begun: median(begun, len(names))}
		if len(means) >= minReporters {
			m.meanTime = time.Duration(median(means, len(means)))
		}
		medians[id] = m
	}
	return medians
}

// boundSample returns how much of a report's counts for a target counts, beside a number of
// reports in all.
func boundSample(t TargetCount, service string, s serviceShare, usual targetMedian, reports int) rater.Sample {
	most := math.Inf(1)
	if reports >= minReporters {
		most = max(boundFactor*usual.begun, smallCount)
	}
	meanTime := min(t.Time/time.Duration(max(t.Timed, 1)), s.meanTime)
	if usual.meanTime > 0 {
		meanTime = min(meanTime, boundFactor*usual.meanTime)
	}
	count := func(n uint32, share float64) int { return int(math.Round(min(float64(n)*share, most))) }
	timed := count(t.Timed, s.answered)
	return rater.Sample{
		Target: t.Target, Service: service, Begun: count(t.Begun, s.begun),
		Answered: count(t.Answered, s.answered), Timed: timed, Time: time.Duration(timed) * meanTime,
	}
}
