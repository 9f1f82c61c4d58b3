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
	before := s.Since("", 0)
	s.Set("a/1", []byte("x"))
	<-before.More
	s.Set("b/1", []byte("y"))
	s.Set("a/1", nil)
	c := s.Since("a/", 0)
	is.Equal(len(c.Items), 2)
	is.Equal(c.Items[0].Created, uint64(1))
	is.True(c.Items[1].Removed)
	is.Equal(c.Revision, uint64(3))
	is.Equal(len(s.Since("a/", 2).Items), 1)
	s.Forget()
	is.True(s.Since("", 2).Lost)
	is.True(!s.Since("", 3).Lost)
	s.Set("none", nil) // removing what isn't there changes nothing
	is.Equal(s.Since("", 3).Revision, uint64(3))
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
	lease := s.Lease(time.Minute)
	_, ok := s.Put([]recorder.Item{{Key: "k", Value: []byte("v"), Lease: lease}, {Key: "l", Lease: lease + 1}})
	is.True(!ok) // all or nothing
	_, ok = s.Put([]recorder.Item{{Key: "k", Value: []byte("v"), Lease: lease}})
	is.True(ok)
	items, _, _ := s.List("", "", 9)
	is.Equal(string(items[0].Value), "v!")
	ttl, ok := s.Keep(lease)
	is.True(ok)
	is.Equal(ttl, time.Minute)
	s.Expire(time.Now().Add(time.Second))
	_, ok = s.Keep(lease)
	is.True(ok)
	s.Expire(time.Now().Add(2 * time.Minute))
	_, ok = s.Keep(lease)
	is.True(!ok)
	items, _, _ = s.List("", "", 9)
	is.Equal(len(items), 0)
	lease = s.Lease(time.Minute)
	s.Revoke()
	_, ok = s.Keep(lease)
	is.True(!ok)
}
