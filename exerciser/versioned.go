package exerciser

import (
	"encoding/binary"
	"time"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// Versioned is the way that is shipped: bucket tables with history and a
// resolver, decided by the coordinator.
var Versioned = Way{Name: "versioned buckets", New: newVersioned}

type versioned struct {
	*coordinator.Coordinator
	env Environment
}

// question and reply carry a request of a coordinator.
type question struct {
	_       struct{} `cbor:",toarray"`
	Request coordinator.Request
	ask     coordinator.Ask
}

type reply struct {
	_     struct{} `cbor:",toarray"`
	Reply coordinator.Reply
	ask   coordinator.Ask
}

// encoded returns a record as it travels; its document is looked up, so that
// tests need no codec, and padded to the size that it would have.
func encoded(revision uint64, size int) []byte {
	data := make([]byte, max(size, 8))
	binary.BigEndian.PutUint64(data, revision)
	return data
}

func newVersioned(env Environment) Decider {
	v := &versioned{env: env, Coordinator: coordinator.New(coordinator.Config{
		Self: env.Self, Incarnation: env.Incarnation,
	})}
	v.Decode = func(data []byte) (coordinator.Record, error) {
		return env.Record(binary.BigEndian.Uint64(data)), nil
	}
	return v
}

func (v *versioned) Tick(now time.Time) {
	v.perform(v.Coordinator.Tick(now))
}

func (v *versioned) perform(actions []coordinator.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case coordinator.SendHeartbeat:
			v.env.Send(a.To(), a.Heartbeat(), false)
		case coordinator.SendRecords:
			if !v.env.Break.Copies {
				v.env.Send(a.To(), a.Records(), true)
			}
		case coordinator.SendRequest:
			v.ask(a)
		}
	}
}

func (v *versioned) ask(a coordinator.Action) {
	v.env.Send(a.To(), question{Request: a.Ask().Request(), ask: a.Ask()}, true)
}

func (v *versioned) Offer(now time.Time, record coordinator.Record) {
	v.Coordinator.Offer(now, record)
	v.activateAtOnce(now)
	v.perform(v.Actions())
}

// activateAtOnce stands for a balancer that does not wait for the others.
func (v *versioned) activateAtOnce(now time.Time) {
	if v.env.Break.Waiting {
		v.Tracker().Activate(now)
	}
}

func (v *versioned) Receive(now time.Time, from tracker.MemberID, body any) {
	switch m := body.(type) {
	case detector.Message:
		v.Heartbeat(now, m)
	case []tracker.Record:
		if !v.env.Break.Records || v.State() != detector.Joining {
			v.Learn(now, m)
		}
	case question:
		v.env.Send(from, reply{Reply: v.Answer(now, from, m.Request), ask: m.ask}, true)
	case reply:
		v.Replied(now, m.ask, v.strip(m.Reply), true)
		v.activateAtOnce(now)
	}
	v.perform(v.Actions())
}

// strip takes the records out of a reply where the run goes without them.
func (v *versioned) strip(r coordinator.Reply) coordinator.Reply {
	if v.env.Break.Records && r.Snapshot != nil {
		without := *r.Snapshot
		without.Services = append([]tracker.ServiceState(nil), without.Services...)
		for i := range without.Services {
			without.Services[i].Records = nil
		}
		r.Snapshot = &without
	}
	return r
}

func (v *versioned) Failed(now time.Time, to tracker.MemberID, body any) {
	switch m := body.(type) {
	case []tracker.Record:
		v.Lost(to)
	case question:
		v.Replied(now, m.ask, coordinator.Reply{}, false)
	}
	v.perform(v.Actions())
}

func (v *versioned) Decide(now time.Time, q Query) Decision {
	v.Refresh(now)
	if v.env.Break.Permission {
		// It believes what it believed before the pause.
		v.Tracker().SetStale(false)
	}
	d := v.Coordinator.Decide(now, q.Query)
	v.perform(v.Actions())
	return Decision{Action: d.Action(), Target: d.Target(), Member: d.Member(), Hops: d.Hops()}
}

func (v *versioned) Records() int { return v.Tracker().Records() }
