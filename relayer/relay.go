package relayer

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/watcher"
)

const (
	// tickInterval is the time between two checks whether an open request timed out.
	tickInterval = 100 * time.Millisecond
	// inboxCapacity is the number of events that can be queued. Further ones are
	// dropped, and the revisions that they contain are requested again.
	inboxCapacity = 1024
)

// event is an input of the loop of a Relay: a message from peer, the live members, or a
// revision that came in force.
type event struct {
	peer     string
	message  Message
	members  []Member
	revision uint64
}

// Relay runs the watch of the platform while ShouldWatch returns true for this balancer,
// and otherwise gets revisions from peers. It answers the requests of peers. Its fields
// are set before Run is called; its methods may be called from several goroutines.
type Relay struct {
	self    string
	watcher *watcher.Watcher
	core    *Core
	inbox   chan event
	// watching is true while this balancer's watch runs. stopWatch ends it.
	watching  bool
	stopWatch context.CancelFunc

	// Send sends an encoded message to a peer. It may lose the message, and must not
	// block.
	Send func(peer string, data []byte)
	// Log gets a line when the watch starts or stops, and for each error.
	Log *slog.Logger
}

// New returns the relay of the balancer whose ID is self. The relay sets w.OnRoot and
// calls w.Run; the caller must do neither.
func New(self string, w *watcher.Watcher) *Relay {
	r := &Relay{
		self:    self,
		watcher: w,
		core:    NewCore(self),
		inbox:   make(chan event, inboxCapacity),
		Send:    func(string, []byte) {},
		Log:     slog.New(slog.DiscardHandler),
	}
	w.OnRoot = func(root publisher.Root) { r.enqueue(event{revision: root.Revision}) }
	return r
}

// SetMembers sets the live balancers of the availability zone, this one included.
func (r *Relay) SetMembers(members []Member) { r.enqueue(event{members: members}) }

// Receive decodes a message from a peer and queues it for the loop. Its error is a
// MessageError.
func (r *Relay) Receive(peer string, data []byte) error {
	message, err := Decode(data)
	if err != nil {
		return err
	}
	r.enqueue(event{peer: peer, message: message})
	return nil
}

// ObserveRevision queues the revision from a peer's heartbeat for the loop.
func (r *Relay) ObserveRevision(peer string, revision uint64) {
	r.enqueue(event{peer: peer, message: Message{Announcement: &Announcement{Revision: revision}}})
}

// enqueue queues an event for the loop, or drops it if the inbox is full.
func (r *Relay) enqueue(e event) {
	select {
	case r.inbox <- e:
	default:
	}
}

// Run handles events and runs the watch until ctx is done. It returns nil.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.loop(ctx, group) })
	return group.Wait()
}

// loop handles the queued events, and sends the messages of the core.
func (r *Relay) loop(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.inbox:
			r.handle(ctx, group, e)
		case <-ticker.C:
		}
		for _, envelope := range r.core.Tick(time.Now()) {
			r.send(envelope.Peer(), envelope.Message())
		}
	}
}

// handle passes an event to the core or the watcher. Revisions that come in force while
// this balancer watches the platform are announced to the peers.
func (r *Relay) handle(ctx context.Context, group *errgroup.Group, e event) {
	m := e.message
	switch {
	case e.members != nil:
		r.setMembers(ctx, group, e.members)
	case e.revision > 0 && r.watching:
		r.core.AdvanceAndAnnounce(e.revision)
	case e.revision > 0:
		r.core.Advance(e.revision)
	case m.Announcement != nil:
		r.core.ObserveRevision(e.peer, m.Announcement.Revision)
	case m.Request != nil:
		r.sendAnswer(e.peer, *m.Request)
	case m.Update != nil:
		r.applyUpdate(ctx, m.Update.Root)
	case m.Full != nil:
		r.applyFull(m.Full.Compressed)
	}
}

// setMembers updates the peers of the core, and starts or stops the watch.
func (r *Relay) setMembers(ctx context.Context, group *errgroup.Group, members []Member) {
	live := map[string]bool{}
	for _, member := range members {
		live[member.ID] = true
		if member.ID != r.self {
			r.core.AddPeer(member.ID)
		}
	}
	for _, peer := range r.core.Peers() {
		if !live[peer] {
			r.core.RemovePeer(peer)
		}
	}
	shouldWatch := ShouldWatch(r.self, members)
	if shouldWatch == r.watching {
		return
	}
	r.Log.Info("watch of the platform started or stopped", "watching", shouldWatch)
	r.watching = shouldWatch
	if !shouldWatch {
		r.stopWatch()
		return
	}
	watchCtx, stop := context.WithCancel(ctx)
	r.stopWatch = stop
	group.Go(func() error {
		defer stop()
		return r.watcher.Run(watchCtx)
	})
}

// sendAnswer answers a peer's request if this balancer has a later revision.
func (r *Relay) sendAnswer(peer string, request Request) {
	message, newer, err := Answer(request, r.watcher.Root(), r.watcher.Record())
	if err != nil {
		r.Log.Error("encoding the document failed", "error", err)
		return
	}
	if newer {
		r.send(peer, message)
	}
}

// applyUpdate applies the update of a peer. If its patches don't start at the revision in
// force, the snapshot is read from the platform. If that fails too, the next request asks
// for the whole document.
func (r *Relay) applyUpdate(ctx context.Context, root publisher.Root) {
	_, err := r.watcher.OfferPatches(root)
	var gap *publisher.GapError
	if errors.As(err, &gap) {
		_, err = r.watcher.OfferRoot(ctx, root)
	}
	if err != nil {
		r.Log.Warn("applying a peer's update failed", "revision", root.Revision, "error", err)
		r.core.RequestFull()
	}
}

// applyFull applies a full record from a peer.
func (r *Relay) applyFull(compressed []byte) {
	record, err := publisher.DecompressRecord(compressed)
	if err != nil {
		r.Log.Warn("decompressing a peer's document failed", "error", err)
		return
	}
	r.watcher.Offer(record)
	r.core.Advance(record.Revision)
}

// send encodes and sends a message to a peer.
func (r *Relay) send(peer string, m Message) {
	data, err := Encode(m)
	if err != nil {
		r.Log.Error("encoding a message failed", "error", err)
		return
	}
	r.Send(peer, data)
}
