package tokenizer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/tokenizer"
)

var start = time.Unix(1_700_000_000, 0)

// Tokens depend on the identifier alone, and balancers of different releases read each
// other's tokens.
func TestTokenOfAnIdentifierStaysTheSame(t *testing.T) {
	is := is.New(t)
	is.Equal(tokenizer.Of(0x7f3a91c2), tokenizer.Token(3582537287))
	is.True(tokenizer.Of(0) != 0)
}

func TestTableFindsWhatWasAdded(t *testing.T) {
	is := is.New(t)
	table := tokenizer.New[string]()
	is.Equal(table.Issue(7), tokenizer.Token(0))
	table.Add(start, 7, "seven")
	is.Equal(table.Issue(7), tokenizer.Of(7))
	for _, token := range tokenizer.TokensOf(7) {
		found, ok := table.Find(start, token)
		is.True(ok)
		is.Equal(found, "seven")
	}
	table.Leave(start, 7)
	table.Expire(start.Add(tokenizer.Retention))
	_, ok := table.Find(start, tokenizer.Of(7))
	is.True(ok) // its flows may still be answered with a reset
	table.Expire(start.Add(tokenizer.Retention + time.Second))
	_, ok = table.Find(start, tokenizer.Of(7))
	is.True(!ok)
	is.Equal(table.Len(), 0)
}

// These two identifiers have the same first token.
const idA, idB = 33514, 40170

// settled is a time at which a table that was filled at start holds no old flows.
var settled = start.Add(tokenizer.FlowLifetime)

func add(table *tokenizer.Table[uint64], at time.Time, id uint64) { table.Add(at, id, id) }

func TestSharedTokenIsNotIssued(t *testing.T) {
	is := is.New(t)
	is.Equal(tokenizer.Of(idA), tokenizer.Of(idB))
	table := tokenizer.New[uint64]()
	add(table, start, idA)
	is.Equal(table.Issue(idA), tokenizer.Of(idA))
	add(table, start, idB)
	for _, id := range []uint64{idA, idB} {
		token := table.Issue(id)
		is.Equal(token, tokenizer.TokensOf(id)[1])
		found, _ := table.Find(start, token)
		is.Equal(found, id)
	}
	// One that left may have flows on other balancers until Retention is over.
	table.Leave(settled, idA)
	is.Equal(table.Issue(idB), tokenizer.TokensOf(idB)[1])
	table.Expire(settled.Add(tokenizer.Retention + time.Second))
	is.Equal(table.Issue(idB), tokenizer.Of(idB))
}

// A flow with a shared token belongs to the identifier that was known first, in either order.
func TestSharedTokenBelongsToTheOneKnownFirst(t *testing.T) {
	for _, order := range [][2]uint64{{idA, idB}, {idB, idA}} {
		is := is.New(t)
		table := tokenizer.New[uint64]()
		add(table, start, 1)
		add(table, settled, order[0])
		add(table, settled.Add(5*time.Second), order[1])
		found, ok := table.Find(settled.Add(6*time.Second), tokenizer.Of(idA))
		is.True(ok)
		is.Equal(found, order[0])
	}
}

func TestSharedTokenNamesNoneWhileUncertain(t *testing.T) {
	shared := tokenizer.Of(idA)
	for name, fill := range map[string]func(*tokenizer.Table[uint64]) (at time.Time){
		"just started": func(table *tokenizer.Table[uint64]) time.Time {
			add(table, start, idA)
			add(table, start.Add(10*time.Second), idB)
			return settled.Add(-time.Second)
		},
		"known at the same time": func(table *tokenizer.Table[uint64]) time.Time {
			add(table, start, 1)
			add(table, settled, idA)
			add(table, settled.Add(2*time.Second), idB)
			return settled.Add(time.Hour)
		},
		"one is missing": func(table *tokenizer.Table[uint64]) time.Time {
			add(table, start, idA)
			add(table, settled, idB)
			table.Leave(settled.Add(time.Hour), idA)
			return settled.Add(time.Hour + time.Second)
		},
		"one came back": func(table *tokenizer.Table[uint64]) time.Time {
			add(table, start, idA)
			add(table, settled, idB)
			table.Leave(settled.Add(time.Hour), idA)
			add(table, settled.Add(time.Hour+time.Second), idA)
			return settled.Add(time.Hour + tokenizer.FlowLifetime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := tokenizer.New[uint64]()
			at := fill(table)
			_, ok := table.Find(at, shared)
			is.True(!ok)
		})
	}
}
