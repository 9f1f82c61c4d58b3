package recorder_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/standin/recorder"
)

func TestReturnGivesOutRevisionsAgain(t *testing.T) {
	is := is.New(t)
	s := recorder.New()
	s.Set("a", []byte("1"))
	s.Set("b", []byte("2"))
	c := s.Copy()
	s.Set("b", nil)
	s.Set("c", []byte("3"))
	lost := c.Lost(s.Return(c))
	is.Equal(s.Era(), uint64(2))
	is.Equal(lost, map[string][]byte{"b": nil, "c": []byte("3")})
	is.True(s.ChangesSince("", 4).Compacted)
	is.True(!s.ChangesSince("", 2).Compacted)
	s.Set("b", []byte("4"))
	s.SetUnlessChanged(c, "b", nil)
	s.SetUnlessChanged(c, "c", []byte("3"))
	items, _, revision := s.List("", "", math.MaxInt)
	is.Equal(len(items), 3)
	is.Equal(string(items[1].Value), "4")
	is.Equal(revision, uint64(4))
}
