package balancer

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/replicator"
)

// Balancers exchange the era of the store (see package replicator) beside their updates, since
// earlier releases decode an update without it.
const (
	eraParameter = "era"
	// eraHeader names the header that holds the era, and eraAgeHeader the one that holds the
	// time in milliseconds since the sender learned of it.
	eraHeader    = "View-Era"
	eraAgeHeader = "Era-Age-Ms"
)

// errEarlierEra reports an answer from before the store came back from an older copy.
var errEarlierEra = errors.New("the answer is of an earlier era of the store")

// position is the era and the revision of a peer's view. A release that doesn't know the era
// sends none.
type position struct {
	era, revision uint64
	eraKnown      bool
}

// after returns the revision after which the peer needs the changes of a replica.
func (p position) after(r *replicator.Replica) uint64 {
	if !p.eraKnown || p.revision == 0 {
		return p.revision
	}
	return r.AfterFor(p.era, p.revision)
}

// parsePosition reads the position of a peer from its query.
func parsePosition(query url.Values) (p position, err error) {
	if p.revision, err = strconv.ParseUint(query.Get(afterParameter), 10, 64); err != nil {
		return p, errors.Newf("%s must be a revision", afterParameter)
	}
	if text := query.Get(eraParameter); text != "" {
		p.eraKnown = true
		if p.era, err = strconv.ParseUint(text, 10, 64); err != nil {
			return p, errors.Newf("%s must be a number", eraParameter)
		}
	}
	return p, nil
}

// writeEra adds an era and the time since the sender learned of it to a response.
func writeEra(h http.Header, era uint64, age time.Duration) {
	if era == 0 {
		return
	}
	h.Set(eraHeader, strconv.FormatUint(era, 10))
	h.Set(eraAgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
}

// readEra reads the era of an update from a response. It is 0 if the response has none.
func readEra(h http.Header, u *replicator.Update) error {
	text := h.Get(eraHeader)
	if text == "" {
		return nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errors.Wrapf(err, "header %s", eraHeader)
	}
	ageMs, err := strconv.ParseUint(h.Get(eraAgeHeader), 10, 32)
	if err != nil {
		return errors.Wrapf(err, "header %s", eraAgeHeader)
	}
	u.Era, u.EraAge = era, time.Duration(ageMs)*time.Millisecond
	return nil
}

// eraSnapshot is what a view knew of the era before an update.
type eraSnapshot struct {
	era     uint64
	inGrace bool
	givenUp int
}

func (v *view) eraBefore() eraSnapshot {
	return eraSnapshot{era: v.replica.Era(), inGrace: v.replica.InGrace(), givenUp: v.replica.GivenUp()}
}

// beginEra acts on a new era that an update brought. b.mu must be held.
func (b *Balancer) beginEra(now, viewNow time.Time, before eraSnapshot) {
	r := &b.view.replica
	if r.Era() == before.era {
		return
	}
	graceEnd := now.Add(r.GraceEnd().Sub(viewNow))
	b.director.SetReturn(graceEnd)
	if b.view.mergingFirst {
		return
	}
	b.director.SetOutage(graceEnd)
	b.log.Warn("new era of the store: it may have come back from an older copy", "era", r.Era(),
		"era-before", before.era, "revision", r.Revision(), "keys-retained", r.Retained())
	b.suspectRegistration()
}

// endGrace logs the end of the time in which what the store lost may be written again. b.mu
// must be held.
func (b *Balancer) endGrace(before eraSnapshot) {
	r := &b.view.replica
	if r.InGrace() || !before.inGrace && r.Era() == before.era || b.view.mergingFirst {
		return
	}
	b.log.Info("what the store lost has had its time to be written again", "era", r.Era(),
		"keys-given-up", r.GivenUp()-before.givenUp)
}
