// Package aggregator combines what the balancers of a platform observe of its load: how
// many requests callers begin, how many are answered, and how long targets take.
//
// A balancer sees a small part of its availability zone's packets. Recorder counts what
// one balancer sees, as a Report a second. Each reader of a zone (see package follower)
// combines the Reports of the balancers that ask it for the view, and those that the
// zone's other reader has, into one Summary of the zone. Readers of all zones exchange
// their Summaries, and hand them to the balancers of their zones as a Picture.
//
// All of this is soft state. It is held in memory only, lost on a restart, and never a
// condition for forwarding a packet. A balancer without a Picture decides by what it
// observes itself. docs/design/load-reports.md describes the messages.
//
// # Usage
//
//	recorder.RecordRequest(class, target) // for each packet that begins a request
//	report := recorder.Take(now)          // about once a second
//
// A reader adds the reports that arrive, and its own:
//
//	err := combiner.Add(now, age, report)
//	half := combiner.Round(now) // about once a second, for the zone's other reader
//	rater.Record(now, combiner.Samples())
//	summary, ok := combiner.Summary(now, zone, balancers)
//	atlas.Set(now, 0, summary)
//	picture := atlas.Picture(now)
//
// Nothing here has a clock or does input or output.
package aggregator

import "time"

// Class identifies the requests that compete with equal right: those for one service with
// one urgency. Urgency 0 is the most urgent.
type Class struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Urgency int
}

// Demand is what callers ask of a class.
type Demand struct {
	_ struct{} `cbor:",toarray"`
	// Openings is the rate of new flows, per second, including those that balancers turned
	// away. Rejected is the rate of those turned away.
	Openings float64
	Rejected float64
	// Requests is the rate of requests that began, per second, and Answered the rate of
	// requests that were answered.
	Requests float64
	Answered float64
	// Concurrency is the mean number of requests at a time that waited for their answers.
	Concurrency float64
}

// Summary is what the balancers of one availability zone observed.
type Summary struct {
	AvailabilityZone string
	// Balancers is the number of balancers whose reports it combines.
	Balancers int
	// Demand holds the demand of the zone's callers, as rates over the whole zone.
	Demand map[Class]Demand
	// Speeds holds the speeds of targets by their ID, relative to the other targets of
	// their service, for the targets that don't have speed 1. It is greater than 0 and
	// at most 1; see package rater.
	Speeds map[uint64]float64
	// Age is the time since the Summary was combined, at most. The reports that it combines
	// were at most ReportTTL old then.
	Age time.Duration
	// Distance is the round-trip time between the own zone and this one. It is 0 if it
	// isn't known.
	Distance time.Duration
}

// Picture holds the Summaries of all zones that are known, by zone. Those that are too old
// are left out. A nil Picture is one without any zone.
type Picture struct {
	Zones map[string]Summary
}
