package publisher_test

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/publisher"
)

// The size of the deployment that the load balancer is designed for.
const (
	designTargets  = 9800
	designServices = 2800
	designZones    = 17
)

// newDesignDocument returns a document of the design size. Each service has one
// address.
func newDesignDocument() operator.Document {
	return newLargeDocument(designTargets, designServices)
}

// newLargeDocument returns a document with the given number of targets and
// services, in designZones availability zones.
func newLargeDocument(targets, services int) operator.Document {
	d := operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{},
		Services:          map[string]operator.Service{},
		Targets:           map[string]operator.Target{},
	}
	for i := range designZones {
		d.AvailabilityZones[fmt.Sprintf("zone-%02d", i)] = operator.AvailabilityZone{State: operator.ZoneIn}
	}
	for i := range services {
		address := netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)})
		d.Services[fmt.Sprintf("service-%04d", i)] = operator.Service{
			Addresses: []netip.AddrPort{netip.AddrPortFrom(address, 443)},
			Protocol:  operator.ProtocolQUIC,
			ColdStart: operator.ColdStart{Flows: 40, Ramp: 30_000_000_000},
		}
	}
	for i := range targets {
		address := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		d.Targets[fmt.Sprintf("target-%05d", i)] = operator.Target{
			Service:          fmt.Sprintf("service-%04d", i%services),
			AvailabilityZone: fmt.Sprintf("zone-%02d", i%designZones),
			Address:          netip.AddrPortFrom(address, 7001),
			Health:           netip.AddrPortFrom(address, 7101),
			State:            operator.TargetActive,
			Weight:           1,
		}
	}
	return d
}

// withWeight returns a copy of d in which target number i has the weight.
func withWeight(d operator.Document, i, weight int) operator.Document {
	targets := make(map[string]operator.Target, len(d.Targets))
	for name, target := range d.Targets {
		targets[name] = target
	}
	name := fmt.Sprintf("target-%05d", i)
	target := targets[name]
	target.Weight = weight
	targets[name] = target
	d.Targets = targets
	return d
}

// At the design size, a small change is published as a small root. A reader that
// has one of the latest revisions needs only the root, and no other call to the
// platform.
func TestLargeDocumentIsReadByPatches(t *testing.T) {
	is := is.New(t)
	store, kv := newStore(t)
	p := publisher.New(store, "ops")
	d := newDesignDocument()
	first, err := p.Publish(t.Context(), publisher.Proposal{Document: d})
	is.NoErr(err)
	held := first.Record
	for n := range 3 {
		d = withWeight(d, n, 2+n)
		_, err := p.Publish(t.Context(), publisher.Proposal{Document: d})
		is.NoErr(err)
	}
	entry, err := store.Get(t.Context(), publisher.DocumentKey)
	is.NoErr(err)
	is.True(len(entry.Value()) < 2048)
	root, err := publisher.DecodeRoot(entry.Value())
	is.NoErr(err)
	is.Equal(root.Snapshot.Revision, uint64(1))
	before := kv.Calls()
	record, source, err := publisher.ReadRecord(t.Context(), store, root, held)
	is.NoErr(err)
	is.Equal(source, publisher.FromPatches)
	is.Equal(kv.Calls(), before)
	is.Equal(record.Document.Targets["target-00002"].Weight, 4)

	// Without a record, ReadRecord reads the snapshot. It does so too with a record whose
	// document is not the one that the patches were made for.
	fresh, source, err := publisher.ReadRecord(t.Context(), store, root, publisher.Record{})
	is.NoErr(err)
	is.Equal(source, publisher.FromSnapshot)
	is.Equal(fresh.Digest, record.Digest)
	held.Document = withWeight(held.Document, 77, 77)
	_, source, err = publisher.ReadRecord(t.Context(), store, root, held)
	is.NoErr(err)
	is.Equal(source, publisher.FromSnapshot)
}

// The size of the root does not grow with the number of changes.
func TestRootSizeIsBounded(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	d := newLargeDocument(200, 20)
	largest := 0
	for n := range 200 {
		d = withWeight(d, n, 2+n%90)
		_, err := p.Publish(t.Context(), publisher.Proposal{Document: d})
		is.NoErr(err)
		entry, err := store.Get(t.Context(), publisher.DocumentKey)
		is.NoErr(err)
		largest = max(largest, len(entry.Value()))
	}
	t.Logf("largest root: %d bytes", largest)
	is.True(largest < 12<<10)
}

// A change whose patch is larger than a root may contain writes a new snapshot,
// from which readers get it.
func TestLargeChangeWritesSnapshot(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	d := newLargeDocument(1000, 100)
	first, err := p.Publish(t.Context(), publisher.Proposal{Document: d})
	is.NoErr(err)
	d = withWeight(d, 0, 2)
	for i := range 500 {
		d.Targets[fmt.Sprintf("target-%05d", i)] = operator.Target{
			Service:          d.Targets[fmt.Sprintf("target-%05d", i)].Service,
			AvailabilityZone: "zone-03",
			Address:          d.Targets[fmt.Sprintf("target-%05d", i)].Address,
		}
	}
	_, err = p.Publish(t.Context(), publisher.Proposal{Document: d})
	is.NoErr(err)
	entry, err := store.Get(t.Context(), publisher.DocumentKey)
	is.NoErr(err)
	root, err := publisher.DecodeRoot(entry.Value())
	is.NoErr(err)
	is.Equal(root.Snapshot.Revision, uint64(2))
	record, source, err := publisher.ReadRecord(t.Context(), store, root, first.Record)
	is.NoErr(err)
	is.Equal(source, publisher.FromSnapshot)
	is.Equal(len(operator.Diff(record.Document, d)), 0)
	back, err := p.Rollback(t.Context(), 1, publisher.Proposal{})
	is.NoErr(err)
	is.Equal(back.Record.Digest, first.Record.Digest)
}

// Snapshots that no revision in the history needs are deleted.
func TestUnusedSnapshotsArePruned(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	first, err := p.Publish(t.Context(), publisher.Proposal{Document: newDocument(100)})
	is.NoErr(err)
	key := "trefoilspring/snapshot/" + first.Record.ChangeID + "/0"
	entry, err := store.Get(t.Context(), key)
	is.NoErr(err)
	is.True(entry.Found())
	for n := range 2 * publisher.HistoryLength {
		_, err := p.Publish(t.Context(), publisher.Proposal{Document: newDocument(100 + 1 + n%2)})
		is.NoErr(err)
	}
	entry, err = store.Get(t.Context(), key)
	is.NoErr(err)
	is.True(!entry.Found())
	oldest, err := p.RecordAt(t.Context(), 1+publisher.HistoryLength)
	is.NoErr(err)
	is.True(len(oldest.Document.Targets) > 100)
}

// A snapshot that does not match the root's digest is refused, and an outage while
// it is read is reported as such.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	store, kv := newStore(t)
	p := publisher.New(store, "ops")
	first, err := p.Publish(t.Context(), publisher.Proposal{Document: newDocument(100)})
	is.NoErr(err)
	other, err := p.Publish(t.Context(), publisher.Proposal{Document: newDocument(170), AllowLargeChange: true})
	is.NoErr(err)
	is.Equal(other.Record.Revision, uint64(2))
	entry, err := store.Get(t.Context(), publisher.DocumentKey)
	is.NoErr(err)
	changed := strings.ReplaceAll(string(entry.Value()), other.Record.Digest, first.Record.Digest)
	root, err := publisher.DecodeRoot([]byte(changed))
	is.NoErr(err)
	_, _, err = publisher.ReadRecord(t.Context(), store, root, publisher.Record{})
	var invalid *publisher.RecordError
	is.True(errors.As(err, &invalid))
	is.NoErr(kv.SetSwitches(url.Values{"outage": {"on"}}))
	_, _, err = publisher.ReadRecord(t.Context(), store, root, publisher.Record{})
	var unavailable *consul.UnavailableError
	is.True(errors.As(err, &unavailable))
}

func BenchmarkAdvance(b *testing.B) {
	d := newDesignDocument()
	held := publisher.Record{Revision: 1, ChangeID: "one", Document: d}
	next := withWeight(d, 7, 9)
	before, _ := operator.Encode(d)
	after, _ := operator.Encode(next)
	merge, err := operator.Patch(before, after)
	if err != nil {
		b.Fatal(err)
	}
	digest, _ := operator.Digest(next)
	root := publisher.Root{
		Revision: 2, ChangeID: "two", Digest: digest,
		Patches: []publisher.Patch{{Revision: 2, ChangeID: "two", Merge: merge}},
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := publisher.Advance(root, held); err != nil {
			b.Fatal(err)
		}
	}
}
