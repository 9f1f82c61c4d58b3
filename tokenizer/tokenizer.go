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
//	token := table.Add(id, target)
//	target, ok := table.Find(token)
//
// Two identifiers may have the same token: of a hundred sets of 9,800 targets, about one
// has such a pair. The lower identifier keeps the token. The higher one gets no token if the
// lower one is in the table, and loses its token when the lower one is added.
package tokenizer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token names the target of a flow. The zero Token names none.
type Token uint32

// Of returns the token of the target with this identifier. It is never 0.
func Of(id uint64) Token {
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], id)
	token := Token(xxhash.Sum64(data[:]))
	if token == 0 {
		return 1
	}
	return token
}

// Table maps tokens to values. It is not safe for concurrent use.
type Table[V any] struct {
	entries map[Token]entry[V]
}

type entry[V any] struct {
	id    uint64
	value V
}

// New returns an empty Table.
func New[V any]() *Table[V] { return &Table[V]{entries: make(map[Token]entry[V])} }

// Add stores the value of an identifier and returns the identifier's token. If the token
// belongs to a lower identifier, Add stores nothing and returns 0.
func (t *Table[V]) Add(id uint64, value V) Token {
	token := Of(id)
	if r, taken := t.entries[token]; taken && r.id < id {
		return 0
	}
	t.entries[token] = entry[V]{id: id, value: value}
	return token
}

// Find returns the value that a token names, and whether there is one.
func (t *Table[V]) Find(token Token) (V, bool) {
	r, ok := t.entries[token]
	return r.value, ok
}

// Remove removes an identifier with its value, unless its token belongs to another one.
func (t *Table[V]) Remove(id uint64) {
	if r, ok := t.entries[Of(id)]; ok && r.id == id {
		delete(t.entries, Of(id))
	}
}

// Len returns the number of tokens in the table.
func (t *Table[V]) Len() int { return len(t.entries) }
