package director

import (
	"time"

	"trefoilspring.example/trefoilspring/tokenizer"
)

const (
	// buryFor is how long flows of a removed target are answered by a reset. No
	// flow is older than a minute on the platform of our users.
	buryFor = 90 * time.Second
	// lapseGrace is waited before flows of a target are reset that had not said
	// that it leaves: its registration may have lapsed although it lives, and is
	// back within 2 s if it does.
	lapseGrace = 2500 * time.Millisecond
)

// graveyard holds the tokens of removed targets, so that callers of their flows
// are told at once instead of waiting until they time out.
type graveyard struct {
	graves map[tokenizer.Token]*grave
}

type grave struct {
	// provedAt is from when on the target is known to be gone.
	provedAt time.Time
	dugAt    time.Time
	member   *member
}

func newGraveyard() *graveyard { return &graveyard{graves: make(map[tokenizer.Token]*grave)} }

// bury notes that a target's registration was removed.
func (g *graveyard) bury(m *member, at time.Time) {
	proved := at
	if !m.Draining {
		proved = at.Add(lapseGrace)
	}
	g.graves[m.token] = &grave{provedAt: proved, dugAt: at, member: m}
}

func (g *graveyard) forget(token tokenizer.Token) { delete(g.graves, token) }

// postpone puts off all proofs, since registrations may have lapsed unjustly.
func (g *graveyard) postpone(until time.Time) {
	for _, x := range g.graves {
		x.provedAt = maxTime(x.provedAt, until)
	}
}

// find returns the removed target of a token and whether it is known to be gone.
func (g *graveyard) find(now time.Time, token tokenizer.Token) (m *member, proved bool) {
	x := g.graves[token]
	if x == nil {
		return nil, false
	}
	return x.member, !now.Before(x.provedAt)
}

func (g *graveyard) expire(now time.Time) {
	for token, x := range g.graves {
		if now.Sub(x.dugAt) > buryFor {
			delete(g.graves, token)
		}
	}
}
