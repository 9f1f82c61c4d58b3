// Package publisher puts the operators' document in force through the platform,
// and holds the record in which it lies there.
//
// The accepted root is one small value. It holds a small document itself; a large
// one lies beside it as a snapshot in chunks, which is written before the root,
// and the root carries the merge patches of the latest revisions. Reader turns a
// root into a whole record, by patches where it can.
//
// A change is accepted when the compare-and-swap of the root succeeded. Each
// change has an id of its own, so that a write whose answer was lost is settled
// by reading the record back; it is never repeated blindly.
//
// # Usage
//
//	p := publisher.New(consul.New(address), "ops@example")
//	result, err := p.Publish(ctx, publisher.Proposal{Document: document})
//	var race *publisher.RaceError
//	switch {
//	case errors.As(err, &race):
//		fmt.Println("lost to", race.Other().ChangeID)
//	case err == nil:
//		fmt.Println("accepted as revision", result.Record.Revision)
//	}
package publisher

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"trefoilspring.example/trefoilspring/operator"
)

// The platform's keys.
const (
	// DocumentKey holds the accepted root.
	DocumentKey = "trefoilspring/document"
	historyKey  = "trefoilspring/history/"
	snapshotKey = "trefoilspring/snapshot/"
)

// HistoryLength is how many earlier revisions are kept.
const HistoryLength = 100

// Record is an accepted document with its revision. Revisions count from 1.
type Record struct {
	Revision uint64 `json:"revision"`
	// ChangeID is unique to the change that made the revision.
	ChangeID string            `json:"change-id"`
	Author   string            `json:"author"`
	Time     time.Time         `json:"time"`
	Digest   string            `json:"digest"`
	Document operator.Document `json:"document"`
}

// Encode returns the whole record, for a peer.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r, json.Deterministic(true))
	return data, errors.Wrap(err, "encoding the record")
}

// Decode reads a record and checks its document against the digest and the rules
// of documents. Its error is a RecordError.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &RecordError{cause: err}
	}
	if r.Revision == 0 || r.ChangeID == "" {
		return Record{}, &RecordError{cause: errors.New("no revision or change id")}
	}
	if err := operator.Validate(r.Document); err != nil {
		return Record{}, &RecordError{revision: r.Revision, cause: err}
	}
	digest, err := operator.Digest(r.Document)
	if err != nil {
		return Record{}, &RecordError{revision: r.Revision, cause: err}
	}
	if digest != r.Digest {
		return Record{}, &RecordError{revision: r.Revision, cause: errors.New("the digest differs")}
	}
	return r, nil
}

func historyKeyOf(revision uint64) string {
	return historyKey + strconv.FormatUint(revision, 10)
}
