// Package publisher puts the operators' document in force through the platform,
// and holds the record in which it lies there.
//
// A change is accepted when the compare-and-swap of the record succeeded. Each
// change has an id of its own, so that a write whose answer was lost is settled
// by reading the record back; it is never repeated blindly.
//
// # Usage
//
//	p := publisher.New(platform.New(address), "ops@example")
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
	// DocumentKey holds the accepted record.
	DocumentKey = "trefoilspring/document"
	historyKey  = "trefoilspring/history/"
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

// Encode returns the record as it lies in the platform.
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
	digest, err := digestOf(r.Document)
	if err != nil {
		return Record{}, &RecordError{revision: r.Revision, cause: err}
	}
	if digest != r.Digest {
		return Record{}, &RecordError{revision: r.Revision, cause: errors.New("the digest differs")}
	}
	return r, nil
}

func digestOf(d operator.Document) (string, error) {
	encoded, err := operator.Encode(d)
	if err != nil {
		return "", err
	}
	return operator.Digest(encoded), nil
}

func historyKeyOf(revision uint64) string {
	return historyKey + strconv.FormatUint(revision, 10)
}
