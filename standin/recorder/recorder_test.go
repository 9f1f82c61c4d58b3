package recorder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/standin/recorder"
)

func TestHistory(t *testing.T) {
	is := is.New(t)
	s := recorder.New()
	before := s.ChangesSince("", 0)
	s.Set("a/1", []byte("x"))
	<-before.Changed
	s.Set("b/1", []byte("y"))
	s.Set("a/1", nil)
	c := s.ChangesSince("a/", 0)
	is.Equal(len(c.Items), 2)
	is.Equal(c.Items[0].Created, uint64(1))
	is.True(c.Items[1].Removed)
	is.Equal(c.Revision, uint64(3))
	is.Equal(len(s.ChangesSince("a/", 2).Items), 1)
	s.Compact()
	is.True(s.ChangesSince("", 2).Compacted)
	is.True(!s.ChangesSince("", 3).Compacted)
	s.Set("none", nil) // removing a missing key changes nothing
	is.Equal(s.ChangesSince("", 3).Revision, uint64(3))
}

func TestListInPages(t *testing.T) {
	is := is.New(t)
	s := recorder.New()
	for _, key := range []string{"a/3", "a/1", "b/1", "a/2"} {
		s.Set(key, []byte("x"))
	}
	items, more, revision := s.List("a/", "", 2)
	is.Equal(len(items), 2)
	is.Equal(items[1].Key, "a/2")
	is.True(more)
	is.Equal(revision, uint64(4))
	items, more, _ = s.List("a/", "a/2", 2)
	is.Equal(len(items), 1)
	is.True(!more)
	s.Hide("a/")
	items, _, _ = s.List("", "", 9)
	is.Equal(len(items), 1)
}

func TestLeases(t *testing.T) {
	is := is.New(t)
	s := recorder.New()
	s.Rewrite = func(value []byte) []byte { return append(value, '!') }
	lease := s.GrantLease(time.Minute)
	_, ok := s.Put([]recorder.Item{{Key: "k", Value: []byte("v"), Lease: lease}, {Key: "l", Lease: lease + 1}})
	is.True(!ok) // one of the leases doesn't exist, so nothing is written
	_, ok = s.Put([]recorder.Item{{Key: "k", Value: []byte("v"), Lease: lease}})
	is.True(ok)
	items, _, _ := s.List("", "", 9)
	is.Equal(string(items[0].Value), "v!")
	ttl, ok := s.RenewLease(lease)
	is.True(ok)
	is.Equal(ttl, time.Minute)
	s.ExpireLeases(time.Now().Add(time.Second))
	_, ok = s.RenewLease(lease)
	is.True(ok)
	s.ExpireLeases(time.Now().Add(2 * time.Minute))
	_, ok = s.RenewLease(lease)
	is.True(!ok)
	items, _, _ = s.List("", "", 9)
	is.Equal(len(items), 0)
	lease = s.GrantLease(time.Minute)
	s.RevokeAllLeases()
	_, ok = s.RenewLease(lease)
	is.True(!ok)
}
