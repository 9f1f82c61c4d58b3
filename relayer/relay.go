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
	// tickInterval is how often open questions are looked at.
	tickInterval = 100 * time.Millisecond
	// inboxLength is how many events wait; more are dropped, and asked for again.
	inboxLength = 1024
)

// event is what the loop of a Relay handles.
type event struct {
	peer    string
	message Message
	members []Member
	took    uint64
}

// Relay is the loop around Core and a watcher: it watches the platform while
// Watches says so, and otherwise learns from peers. Its fields are set before
// Run is called; its methods may be called from several goroutines.
type Relay struct {
	self    string
	watcher *watcher.Watcher
	core    *Core
	inbox   chan event
	// watching says that this balancer's watch runs; stop ends it.
	watching bool
	stop     context.CancelFunc

	// Send sends an encoded message to a peer; it may lose it, and must not wait.
	Send func(peer string, data []byte)
	// Log gets one line for each change of state.
	Log *slog.Logger
}

// New returns the relay of the balancer self. It takes over OnRoot of w, and
// runs w itself.
func New(self string, w *watcher.Watcher) *Relay {
	r := &Relay{
		self:    self,
		watcher: w,
		core:    NewCore(self),
		inbox:   make(chan event, inboxLength),
		Send:    func(string, []byte) {},
		Log:     slog.New(slog.DiscardHandler),
	}
	w.OnRoot = func(root publisher.Root) { r.put(event{took: root.Revision}) }
	return r
}

// SetMembers says which balancers of the availability zone are live, the own one
// included.
func (r *Relay) SetMembers(members []Member) { r.put(event{members: members}) }

// Receive takes an encoded message from a peer. Its error is a MessageError.
func (r *Relay) Receive(peer string, data []byte) error {
	message, err := Decode(data)
	if err != nil {
		return err
	}
	r.put(event{peer: peer, message: message})
	return nil
}

// Heard notes the revision in a peer's heartbeat.
func (r *Relay) Heard(peer string, revision uint64) {
	r.put(event{peer: peer, message: Message{Announcement: &Announcement{Revision: revision}}})
}

func (r *Relay) put(e event) {
	select {
	case r.inbox <- e:
	default:
	}
}

// Run relays until ctx is done.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.loop(ctx, group) })
	return group.Wait()
}

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
		for _, action := range r.core.Tick(time.Now()) {
			r.send(action.Peer(), action.Message())
		}
	}
}

func (r *Relay) handle(ctx context.Context, group *errgroup.Group, e event) {
	m := e.message
	switch {
	case e.members != nil:
		r.setMembers(ctx, group, e.members)
	case e.took > 0 && r.watching:
		r.core.Took(e.took)
	case e.took > 0:
		r.core.Learned(e.took)
	case m.Announcement != nil:
		r.core.Heard(e.peer, m.Announcement.Revision)
	case m.Request != nil:
		r.answer(e.peer, *m.Request)
	case m.Update != nil:
		r.update(ctx, m.Update.Root)
	case m.Whole != nil:
		r.whole(m.Whole.Packed)
	}
}

func (r *Relay) setMembers(ctx context.Context, group *errgroup.Group, members []Member) {
	live := map[string]bool{}
	for _, member := range members {
		live[member.ID] = true
		if member.ID != r.self {
			r.core.Join(member.ID)
		}
	}
	for _, peer := range r.core.Peers() {
		if !live[peer] {
			r.core.Leave(peer)
		}
	}
	watch := Watches(r.self, members)
	if watch == r.watching {
		return
	}
	r.Log.Info("watch of the platform changes", "watching", watch)
	r.watching = watch
	if !watch {
		r.stop()
		return
	}
	watchCtx, stop := context.WithCancel(ctx)
	r.stop = stop
	group.Go(func() error {
		defer stop()
		return r.watcher.Run(watchCtx)
	})
}

func (r *Relay) answer(peer string, request Request) {
	message, newer, err := Answer(request, r.watcher.Root(), r.watcher.Record())
	if err != nil {
		r.Log.Error("document not encoded", "error", err)
		return
	}
	if newer {
		r.send(peer, message)
	}
}

// update takes up a root that a peer told. If no patches lead to it, its
// snapshot is read from the platform, or else the peer is asked for all of it.
func (r *Relay) update(ctx context.Context, root publisher.Root) {
	_, err := r.watcher.OfferPatches(root)
	var gap *publisher.GapError
	if errors.As(err, &gap) {
		_, err = r.watcher.OfferRoot(ctx, root)
	}
	if err != nil {
		r.Log.Warn("update of a peer not taken", "revision", root.Revision, "error", err)
		r.core.NeedWhole()
	}
}

func (r *Relay) whole(packed []byte) {
	record, err := publisher.Unpack(packed)
	if err != nil {
		r.Log.Warn("document of a peer not taken", "error", err)
		return
	}
	r.watcher.Offer(record)
	r.core.Learned(record.Revision)
}

func (r *Relay) send(peer string, m Message) {
	data, err := Encode(m)
	if err != nil {
		r.Log.Error("message not encoded", "error", err)
		return
	}
	r.Send(peer, data)
}
