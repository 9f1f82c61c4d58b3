package simulator

import (
	"encoding/binary"
	"time"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// VersionedBuckets is the strategy of the product: a coordinator with bucket tables
// that have a history, and a resolver for flows of changed buckets.
var VersionedBuckets = Strategy{Name: "versioned buckets", New: newVersionedDecider}

// versionedDecider carries out the actions of a coordinator in a run.
type versionedDecider struct {
	*coordinator.Coordinator
	env Environment
}

// peerRequest carries a request of a coordinator to a peer, and peerReply the
// answer.
type peerRequest struct {
	_           struct{} `cbor:",toarray"`
	Request     coordinator.Request
	peerRequest coordinator.PeerRequest
}

type peerReply struct {
	_           struct{} `cbor:",toarray"`
	Reply       coordinator.Reply
	peerRequest coordinator.PeerRequest
}

// encodeRevision returns the encoded form of a record in a run: its revision,
// padded to the size of its document. The receiver looks the document up, so that
// runs need no codec.
func encodeRevision(revision uint64, size int) []byte {
	data := make([]byte, max(size, 8))
	binary.BigEndian.PutUint64(data, revision)
	return data
}

func newVersionedDecider(env Environment) Decider {
	v := &versionedDecider{env: env, Coordinator: coordinator.New(coordinator.Config{
		Self: env.Self, Incarnation: env.Incarnation,
	})}
	v.Decode = func(data []byte) (coordinator.Record, error) {
		return env.Record(binary.BigEndian.Uint64(data)), nil
	}
	return v
}

func (v *versionedDecider) Tick(now time.Time) {
	v.performActions(v.Coordinator.Tick(now))
}

// performActions sends the messages that the coordinator asks for.
func (v *versionedDecider) performActions(actions []coordinator.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case coordinator.SendHeartbeat:
			v.env.Send(a.To(), a.Heartbeat(), false)
		case coordinator.SendRecords:
			if !v.env.Disabled.RecordCopies {
				v.env.Send(a.To(), a.Records(), true)
			}
		case coordinator.SendRequest:
			v.sendRequest(a)
		}
	}
}

// sendRequest sends a coordinator's request to a peer.
func (v *versionedDecider) sendRequest(a coordinator.Action) {
	v.env.Send(a.To(), peerRequest{Request: a.PeerRequest().Request(), peerRequest: a.PeerRequest()}, true)
}

func (v *versionedDecider) Offer(now time.Time, record coordinator.Record) {
	v.Coordinator.Offer(now, record)
	v.activateWithoutWaiting(now)
	v.performActions(v.Actions())
}

// activateWithoutWaiting activates a prepared revision at once if
// Mechanisms.ActivationWait is disabled.
func (v *versionedDecider) activateWithoutWaiting(now time.Time) {
	if v.env.Disabled.ActivationWait {
		v.Tracker().Activate(now)
	}
}

func (v *versionedDecider) Receive(now time.Time, from tracker.MemberID, body any) {
	switch m := body.(type) {
	case detector.Message:
		v.HandleHeartbeat(now, m)
	case []tracker.Record:
		if !v.env.Disabled.JoinRecords || v.State() != detector.Joining {
			v.HandleRecords(now, m)
		}
	case peerRequest:
		v.env.Send(from, peerReply{Reply: v.HandleRequest(now, from, m.Request), peerRequest: m.peerRequest}, true)
	case peerReply:
		v.HandleReply(now, m.peerRequest, v.removeRecords(m.Reply), true)
		v.activateWithoutWaiting(now)
	}
	v.performActions(v.Actions())
}

// removeRecords returns a reply without flow records if Mechanisms.JoinRecords is
// disabled.
func (v *versionedDecider) removeRecords(r coordinator.Reply) coordinator.Reply {
	if v.env.Disabled.JoinRecords && r.Snapshot != nil {
		without := *r.Snapshot
		without.Services = append([]tracker.ServiceState(nil), without.Services...)
		for i := range without.Services {
			without.Services[i].Records = nil
		}
		r.Snapshot = &without
	}
	return r
}

func (v *versionedDecider) Failed(now time.Time, to tracker.MemberID, body any) {
	switch m := body.(type) {
	case []tracker.Record:
		v.HandleRecordsLost(to)
	case peerRequest:
		v.HandleReply(now, m.peerRequest, coordinator.Reply{}, false)
	}
	v.performActions(v.Actions())
}

func (v *versionedDecider) Decide(now time.Time, q Query) Decision {
	v.Refresh(now)
	if v.env.Disabled.PermissionCheck {
		// The balancer goes on with the state that it had before it was frozen.
		v.Tracker().SetStale(false)
	}
	d := v.Coordinator.Decide(now, q.Query)
	v.performActions(v.Actions())
	return Decision{Action: d.Action(), Target: d.Target(), Member: d.Member(), Hops: d.Hops()}
}

func (v *versionedDecider) Records() int { return v.Tracker().Records() }
