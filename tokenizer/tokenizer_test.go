package tokenizer_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/tokenizer"
)

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
	token := table.Add(7, "seven")
	is.Equal(token, tokenizer.Of(7))
	found, ok := table.Find(token)
	is.True(ok)
	is.Equal(found, "seven")
	table.Remove(7)
	_, ok = table.Find(token)
	is.True(!ok)
	is.Equal(table.Len(), 0)
}

// Of two identifiers with the same token, the lower one keeps it on every balancer, whichever
// is added first.
func TestSharedTokenBelongsToTheLowerIdentifier(t *testing.T) {
	is := is.New(t)
	low, high := sharedToken()
	for _, order := range [][]uint64{{low, high}, {high, low}} {
		table := tokenizer.New[uint64]()
		for _, id := range order {
			table.Add(id, id)
		}
		found, ok := table.Find(tokenizer.Of(low))
		is.True(ok)
		is.Equal(found, low)
		table.Remove(high)
		_, ok = table.Find(tokenizer.Of(low))
		is.True(ok) // removing the higher identifier must not remove the token
	}
}

// sharedToken searches for two identifiers with the same token.
func sharedToken() (low, high uint64) {
	seen := make(map[tokenizer.Token]uint64)
	for id := uint64(1); ; id++ {
		token := tokenizer.Of(id)
		if other, ok := seen[token]; ok {
			return other, id
		}
		seen[token] = id
	}
}
