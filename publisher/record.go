// Package publisher stores revisions of the operators' document in the platform's
// key-value service, and reads them back.
//
// A Root is the small value, at DocumentKey, that describes the accepted revision.
// It contains the document if the document is small. A larger document is written
// as a snapshot, compressed and split into chunks under other keys, before the
// root that refers to it; the root then also contains the merge patches of the
// latest revisions. ReadRecord returns the Record of a root, which has the whole
// document. It applies the patches to a record that the caller already has, if it
// can, and otherwise reads the snapshot.
//
// A change is accepted when the compare-and-swap of the root succeeds. Each change
// has a unique id, so the outcome of a write whose response was lost is determined
// by reading the root back. Such a write is never repeated blindly.
//
// # Usage
//
//	p := publisher.New(consul.New(address), "ops@example")
//	result, err := p.Publish(ctx, publisher.Proposal{Document: document})
//	var race *publisher.RaceError
//	switch {
//	case errors.As(err, &race):
//		fmt.Println("conflicts with change", race.Accepted().ChangeID)
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
	// DocumentKey is the key of the accepted root.
	DocumentKey    = "trefoilspring/document"
	historyPrefix  = "trefoilspring/history/"
	snapshotPrefix = "trefoilspring/snapshot/"
)

// HistoryLength is the number of revisions before the accepted one that are kept.
const HistoryLength = 100

// Record holds one revision with its whole document.
type Record struct {
	// Revision counts from 1; 0 means that there is no record.
	Revision uint64 `json:"revision"`
	// ChangeID is unique to the change that made the revision.
	ChangeID string `json:"change-id"`
	Author   string `json:"author"`
	// Time is when the change was made, in UTC and whole seconds.
	Time time.Time `json:"time"`
	// Digest is the operator.Digest of Document.
	Digest   string            `json:"digest"`
	Document operator.Document `json:"document"`
}

// Encode returns the record with its whole document as uncompressed JSON.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r, json.Deterministic(true))
	return data, errors.Wrap(err, "encoding the record")
}

// Decode decodes a record, validates its document and checks the document against
// its digest. Its error is a RecordError.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &RecordError{cause: err}
	}
	if r.Revision == 0 || r.ChangeID == "" {
		return Record{}, &RecordError{cause: errors.New("it has no revision or no change id")}
	}
	if err := operator.Validate(r.Document); err != nil {
		return Record{}, &RecordError{revision: r.Revision, cause: err}
	}
	digest, err := operator.Digest(r.Document)
	if err != nil {
		return Record{}, &RecordError{revision: r.Revision, cause: err}
	}
	if digest != r.Digest {
		return Record{}, &RecordError{revision: r.Revision, cause: errors.New("the document does not match its digest")}
	}
	return r, nil
}

// historyKey returns the key of an archived root.
func historyKey(revision uint64) string {
	return historyPrefix + strconv.FormatUint(revision, 10)
}
