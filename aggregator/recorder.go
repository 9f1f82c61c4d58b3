package aggregator

import (
	"cmp"
	"slices"
	"time"
)

// maxIdleWindows is the number of windows after which a Recorder forgets a class or a target
// without requests.
const maxIdleWindows = 30

// Recorder counts what one balancer observes. Its methods don't allocate memory for a class or
// a target that is known. The zero Recorder has observed nothing. It is not safe for concurrent
// use.
type Recorder struct {
	start   time.Time
	classes map[Class]*classEntry
	targets map[uint64]*targetEntry
	// last is the class that was counted last. Most packets in a row are of one class.
	last *classEntry
}

type classEntry struct {
	ClassCount
	idle int
}

type targetEntry struct {
	TargetCount
	service string
	idle    int
}

// RecordOpening counts a new flow that a caller offers, whether it is forwarded or not.
func (r *Recorder) RecordOpening(c Class) { r.class(c).Openings++ }

// RecordRejection counts a new flow that this balancer turned away. RecordOpening counts it
// too.
func (r *Recorder) RecordRejection(c Class) { r.class(c).Rejected++ }

// RecordRequest counts a request that began at a target of the class's service.
func (r *Recorder) RecordRequest(c Class, target uint64) {
	r.class(c).Requests++
	r.target(c, target).Begun++
}

// RecordAnswer counts a request that a target answered. took is its time, or 0 if that is
// unknown.
func (r *Recorder) RecordAnswer(c Class, target uint64, took time.Duration) {
	class, t := r.class(c), r.target(c, target)
	class.Answered++
	t.Answered++
	if took <= 0 {
		return
	}
	took = min(took, maxAnswerTime)
	class.Timed++
	class.Time += took
	t.Timed++
	t.Time += took
}

func (r *Recorder) class(c Class) *classEntry {
	if r.last != nil && r.last.Class == c {
		return r.last
	}
	if e := r.classes[c]; e != nil {
		r.last = e
		return e
	}
	if r.classes == nil {
		r.classes = make(map[Class]*classEntry)
	}
	e := &classEntry{ClassCount: ClassCount{Class: c}}
	r.classes[c] = e
	return e
}

func (r *Recorder) target(c Class, id uint64) *targetEntry {
	if e := r.targets[id]; e != nil && e.service == c.Service {
		return e
	}
	if r.targets == nil {
		r.targets = make(map[uint64]*targetEntry)
	}
	e := &targetEntry{TargetCount: TargetCount{Target: id}, service: c.Service}
	r.targets[id] = e
	return e
}

// Take returns the Report of the window that ends at now, and begins the next window. The
// caller sets the Report's names and clock. The first call only begins a window; its Report has
// no length and isn't valid, like that of a window in which the balancer stood still. If there are too many entries, those with the fewest requests are
// left out.
func (r *Recorder) Take(now time.Time) Report {
	var report Report
	if window := now.Sub(r.start); !r.start.IsZero() && window <= maxWindow {
		report.Window = window
	}
	r.start = now
	r.takeClasses(&report)
	r.takeTargets(&report)
	return report
}

func (r *Recorder) takeClasses(report *Report) {
	r.last = nil
	for class, e := range r.classes {
		if (e.ClassCount == ClassCount{Class: class}) {
			if e.idle++; e.idle > maxIdleWindows {
				delete(r.classes, class)
			}
			continue
		}
		report.Classes = append(report.Classes, e.ClassCount)
		*e = classEntry{ClassCount: ClassCount{Class: class}}
	}
	slices.SortFunc(report.Classes, func(a, b ClassCount) int {
		return cmp.Or(cmp.Compare(b.Openings+b.Requests, a.Openings+a.Requests),
			cmp.Compare(a.Class.Service, b.Class.Service), cmp.Compare(a.Class.Urgency, b.Class.Urgency))
	})
	report.Classes = report.Classes[:min(len(report.Classes), MaxReportClasses)]
}

func (r *Recorder) takeTargets(report *Report) {
	var taken []targetEntry
	for id, e := range r.targets {
		if (e.TargetCount == TargetCount{Target: id}) {
			if e.idle++; e.idle > maxIdleWindows {
				delete(r.targets, id)
			}
			continue
		}
		taken = append(taken, *e)
		*e = targetEntry{TargetCount: TargetCount{Target: id}, service: e.service}
	}
	slices.SortFunc(taken, func(a, b targetEntry) int {
		return cmp.Or(cmp.Compare(b.Begun, a.Begun), cmp.Compare(a.Target, b.Target))
	})
	for _, e := range taken[:min(len(taken), MaxReportTargets)] {
		i := slices.Index(report.Services, e.service)
		if i < 0 {
			i = len(report.Services)
			report.Services = append(report.Services, e.service)
		}
		e.Service = uint32(i)
		report.Targets = append(report.Targets, e.TargetCount)
	}
}
