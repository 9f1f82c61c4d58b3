package relayer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/relayer"
)

// members returns n members, of which none fails.
func members(n int) []relayer.Member {
	list := make([]relayer.Member, n)
	for i := range list {
		list[i].ID = fmt.Sprintf("balancer-%02d", i)
	}
	return list
}

// watchers returns the IDs of the members of list that should watch the platform.
func watchers(list []relayer.Member) map[string]bool {
	found := map[string]bool{}
	for _, member := range list {
		if relayer.ShouldWatch(member.ID, list) {
			found[member.ID] = true
		}
	}
	return found
}

// At any zone size, WatchersPerZone members watch the platform, whether members fail or
// not.
func TestWatchersAreLimitedPerZone(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 13, 76} {
		is.Equal(len(watchers(members(n))), min(n, relayer.WatchersPerZone))
	}
	// If one watcher fails, another member replaces it, and the second watcher stays.
	list := members(13)
	before := watchers(list)
	for i := range list {
		if before[list[i].ID] {
			list[i].Failing = true
			delete(before, list[i].ID)
			break
		}
	}
	after := watchers(list)
	is.Equal(len(after), relayer.WatchersPerZone)
	for id := range before {
		is.True(after[id])
	}
	// If all members fail, as many go on trying.
	for i := range list {
		list[i].Failing = true
	}
	is.Equal(len(watchers(list)), relayer.WatchersPerZone)
}

// Of several peers with a later revision, one at a time is sent a request. If it doesn't
// answer in time, the next one is.
func TestOneRequestIsOpenAtATime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	c := relayer.NewCore("self")
	c.AddPeer("a")
	c.AddPeer("b")
	c.ObserveRevision("a", 7)
	c.ObserveRevision("b", 7)
	first := c.Tick(now)
	is.Equal(len(first), 1)
	is.Equal(*first[0].Message().Request, relayer.Request{HeldRevision: 0})
	is.Equal(len(c.Tick(now.Add(time.Millisecond))), 0)
	// The first peer has not answered in time, so the other peer gets a request.
	second := c.Tick(now.Add(2 * time.Second))
	is.Equal(len(second), 1)
	is.True(second[0].Peer() != first[0].Peer())
	c.Advance(7)
	is.Equal(len(c.Tick(now.Add(9*time.Second))), 0)
	c.AdvanceAndAnnounce(8)
	announcements := c.Tick(now.Add(9 * time.Second))
	is.Equal(len(announcements), 2)
	is.Equal(announcements[0].Message().Announcement.Revision, uint64(8))
}

// A message is the same after encoding and decoding. A message without a part is invalid.
func TestMessageCodec(t *testing.T) {
	is := is.New(t)
	root := publisher.Root{
		Revision: 3, ChangeID: "X", Digest: "d", Time: time.Unix(1_000, 0).UTC(),
		Patches: []publisher.Patch{{Revision: 3, ChangeID: "X", Merge: []byte(`{"targets":{}}`)}},
	}
	data, err := relayer.Encode(relayer.Message{Update: &relayer.Update{Root: root}})
	is.NoErr(err)
	m, err := relayer.Decode(data)
	is.NoErr(err)
	m.Update.Root.Time = m.Update.Root.Time.UTC()
	is.Equal(m.Update.Root, root)
	_, err = relayer.Decode([]byte{0xa0})
	var bad *relayer.MessageError
	is.True(errors.As(err, &bad))
}

// Every message that Decode accepts can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []relayer.Message{
		{Announcement: &relayer.Announcement{Revision: 7}},
		{Request: &relayer.Request{HeldRevision: 7, Full: true}},
		{Full: &relayer.FullRecord{Compressed: []byte("x")}},
	} {
		data, err := relayer.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := relayer.Decode(data)
		if err != nil {
			return
		}
		if _, err := relayer.Encode(m); err != nil {
			t.Fatal(err)
		}
	})
}
