// Package tokenizer issues flow tokens. The token in a packet lets any balancer forward the
// packet without having seen the opening packet of the flow.
//
// A token names the target of a flow. It is a hash of the target's identifier, so
// balancers need not exchange anything to issue or read a token. Tokens are used on
// fabrics whose packets carry a mark that both ends echo; package tracker is for the
// other fabrics.
//
// # Usage
//
//	table := tokenizer.New[*Target]()
//	table.Add(now, id, target)
//	token := table.Issue(id)
//	target, ok := table.Find(now, token)
//	table.Leave(now, id)
//	table.Expire(now)
//
// # Shared tokens
//
// Two identifiers may have the same token: of a hundred sets of 9,800 targets, about one
// has such a pair. Each identifier therefore has a second token, and a balancer that knows
// both identifiers issues only their second tokens. Flows with the shared token exist only
// if a balancer opened them while it knew one of the two. They belong to the identifier
// that was known first. Find finds nothing if that is uncertain: if both became known at
// about the same time, or if one of them was missing, or the table was empty, within the
// lifetime of a flow. A packet is then dropped rather than sent to the wrong target.
//
// A balancer that starts while one of the two identifiers is missing can't know of the
// other one. It may then issue or read the shared token wrongly until that one is back.
package tokenizer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// FlowLifetime is the age up to which flows are kept. Our users' platform lets a
	// balancer discard older ones.
	FlowLifetime = 60 * time.Second
	// Retention is how long an identifier that has left keeps its tokens. It exceeds
	// FlowLifetime by more than the difference in age of the views of two balancers.
	Retention = 90 * time.Second
	// orderSlack is the difference in time up to which it is uncertain which of two
	// identifiers other balancers knew first. The pages of a listing are no snapshot, so
	// balancers may learn of changes in different orders while they read one.
	orderSlack = 3 * time.Second
)

// Token names the target of a flow. The zero Token names none.
type Token uint32

// Of returns the first token of the target with this identifier. It is never 0.
func Of(id uint64) Token { return TokensOf(id)[0] }

// TokensOf returns the two tokens of the target with this identifier. The second one is
// issued if another identifier has the same first token.
func TokensOf(id uint64) [2]Token {
	var data [9]byte
	binary.BigEndian.PutUint64(data[:], id)
	data[8] = 2
	return [2]Token{hash(data[:8]), hash(data[:])}
}

func hash(data []byte) Token {
	token := Token(xxhash.Sum64(data))
	if token == 0 {
		return 1
	}
	return token
}

// Table maps tokens to values. It is not safe for concurrent use.
type Table[V any] struct {
	claims  map[Token][]*claim[V]
	byID    map[uint64]*claim[V]
	started time.Time
}

// claim is an identifier's claim to its two tokens.
type claim[V any] struct {
	id    uint64
	value V
	// since is when the identifier became known. It is kept while the identifier is missing
	// for less than FlowLifetime.
	since time.Time
	// settledAt is the time from which no flow is left that was opened while the
	// identifier was missing, or before the table was filled.
	settledAt time.Time
	// leftAt is when the identifier left. It is zero for one that is present.
	leftAt time.Time
}

// flowsEnded reports whether the identifier left so long ago that it has no flows.
func (c *claim[V]) flowsEnded(now time.Time) bool {
	return !c.leftAt.IsZero() && now.Sub(c.leftAt) >= FlowLifetime
}

// New returns an empty Table.
func New[V any]() *Table[V] {
	return &Table[V]{claims: make(map[Token][]*claim[V]), byID: make(map[uint64]*claim[V])}
}

// Add stores the value of an identifier, in place of an earlier value.
func (t *Table[V]) Add(now time.Time, id uint64, value V) {
	if t.started.IsZero() {
		t.started = now
	}
	c := t.byID[id]
	switch {
	case c == nil:
		c = &claim[V]{id: id, since: now}
		if now.Sub(t.started) < FlowLifetime {
			c.settledAt = now.Add(FlowLifetime)
		}
		t.byID[id] = c
		for _, token := range TokensOf(id) {
			t.claims[token] = append(t.claims[token], c)
		}
	case !c.leftAt.IsZero():
		if c.flowsEnded(now) {
			c.since = now
		}
		c.settledAt = now.Add(FlowLifetime)
		c.leftAt = time.Time{}
	}
	c.value = value
}

// Issue returns the token for new flows of an identifier. It returns 0 if other identifiers
// have both of its tokens, or if the identifier is unknown.
func (t *Table[V]) Issue(id uint64) Token {
	for _, token := range TokensOf(id) {
		if claims := t.claims[token]; len(claims) == 1 && claims[0].id == id {
			return token
		}
	}
	return 0
}

// Find returns the value that a token names, and whether there is one. It also finds
// identifiers that have left.
func (t *Table[V]) Find(now time.Time, token Token) (V, bool) {
	claims := t.claims[token]
	if len(claims) == 1 {
		return claims[0].value, true
	}
	return findShared(now, claims)
}

// findShared returns the value of the identifier that flows with a shared token belong to,
// and false if that is uncertain.
func findShared[V any](now time.Time, claims []*claim[V]) (V, bool) {
	var none V
	var first *claim[V]
	certain := true
	for _, c := range claims {
		if c.flowsEnded(now) {
			continue
		}
		if !c.leftAt.IsZero() || now.Before(c.settledAt) {
			return none, false
		}
		if first != nil {
			certain = certain && c.since.Sub(first.since).Abs() >= orderSlack
		}
		if first == nil || c.since.Before(first.since) {
			first = c
		}
	}
	if first == nil || !certain {
		return none, false
	}
	return first.value, true
}

// Get returns the value of an identifier, and whether there is one.
func (t *Table[V]) Get(id uint64) (V, bool) {
	c := t.byID[id]
	if c == nil {
		var none V
		return none, false
	}
	return c.value, true
}

// Leave records that an identifier has left. Its tokens still name it until Expire is
// called after Retention.
func (t *Table[V]) Leave(now time.Time, id uint64) {
	if c := t.byID[id]; c != nil && c.leftAt.IsZero() {
		c.leftAt = now
	}
}

// Expire forgets the identifiers that left more than Retention ago.
func (t *Table[V]) Expire(now time.Time) {
	for id, c := range t.byID {
		if c.leftAt.IsZero() || now.Sub(c.leftAt) <= Retention {
			continue
		}
		delete(t.byID, id)
		for _, token := range TokensOf(id) {
			t.claims[token] = slices.DeleteFunc(t.claims[token], func(other *claim[V]) bool { return other == c })
			if len(t.claims[token]) == 0 {
				delete(t.claims, token)
			}
		}
	}
}

// Len returns the number of identifiers in the table, including those that have left.
func (t *Table[V]) Len() int { return len(t.byID) }
