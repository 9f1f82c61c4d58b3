// Package tokenizer issues flow tokens, the marks by which any balancer forwards a
// packet without having seen its flow open.
//
// A token names the target of a flow. It follows from the target's identifier
// alone, so balancers need not agree on anything to issue or read one. It serves
// fabrics whose packets carry a mark that both ends send back; package tracker
// serves the others.
//
// # Usage
//
//	table := tokenizer.New[*Target]()
//	token := table.Add(id, target)
//	target, ok := table.Find(token)
//
// Two identifiers may share a token, which happens to one pair of 9,800 targets in
// a hundred such sets. The one with the lower identifier keeps it; the other gets
// no token as long as both are known.
package tokenizer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token names the target of a flow. The zero Token names none.
type Token uint32

// Of returns the token of the target with this identifier.
func Of(id uint64) Token {
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], id)
	token := Token(xxhash.Sum64(data[:]))
	if token == 0 {
		return 1
	}
	return token
}

// Table maps tokens to values. It is not safe for use from several goroutines.
type Table[V any] struct {
	rows map[Token]row[V]
}

type row[V any] struct {
	id    uint64
	value V
}

// New returns an empty Table.
func New[V any]() *Table[V] { return &Table[V]{rows: make(map[Token]row[V])} }

// Add stores the value of an identifier and returns its token. It returns 0 if
// the token belongs to a lower identifier.
func (t *Table[V]) Add(id uint64, value V) Token {
	token := Of(id)
	if r, taken := t.rows[token]; taken && r.id < id {
		return 0
	}
	t.rows[token] = row[V]{id: id, value: value}
	return token
}

// Find returns the value that a token names.
func (t *Table[V]) Find(token Token) (V, bool) {
	r, ok := t.rows[token]
	return r.value, ok
}

// Remove forgets an identifier.
func (t *Table[V]) Remove(id uint64) {
	if r, ok := t.rows[Of(id)]; ok && r.id == id {
		delete(t.rows, Of(id))
	}
}

// Len returns the number of tokens in the table.
func (t *Table[V]) Len() int { return len(t.rows) }
