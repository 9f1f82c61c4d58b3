package relayer

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/publisher"
)

// MaxMessageBytes is the maximum size of an encoded message that Decode accepts.
const MaxMessageBytes = 4 << 20

// Message is a message between balancers. Exactly one of its fields is set.
type Message struct {
	Announcement *Announcement `cbor:"1,keyasint,omitempty"`
	Request      *Request      `cbor:"2,keyasint,omitempty"`
	Update       *Update       `cbor:"3,keyasint,omitempty"`
	Full         *FullRecord   `cbor:"4,keyasint,omitempty"`
}

// Announcement contains the revision in force in the sender.
type Announcement struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Request asks for the revisions after HeldRevision.
type Request struct {
	// HeldRevision is the revision in force in the sender.
	HeldRevision uint64 `cbor:"1,keyasint"`
	// Full asks for the whole document in place of patches.
	Full bool `cbor:"2,keyasint,omitempty"`
}

// Update answers a Request with a root and the patches that lead to its revision.
type Update struct {
	Root publisher.Root `cbor:"1,keyasint"`
}

// FullRecord answers a Request with the whole document.
type FullRecord struct {
	// Compressed is the record as encoded by publisher.CompressRecord.
	Compressed []byte `cbor:"1,keyasint"`
}

// MessageError reports that bytes from a peer are not a valid message.
type MessageError struct {
	size  int
	cause error
}

// Size returns the size of the invalid message in bytes.
func (e *MessageError) Size() int { return e.size }

// Unwrap returns the reason why the message is invalid.
func (e *MessageError) Unwrap() error { return e.cause }

func (e *MessageError) Error() string {
	return fmt.Sprintf("invalid message of %d bytes: %v", e.size, e.cause)
}

// Encode returns the CBOR encoding of m. It doesn't validate m.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Wrap(err, "encoding the message")
}

// Decode decodes and validates a message. Its error is a MessageError.
func Decode(data []byte) (Message, error) {
	var m Message
	err := errors.New("longer than the maximum")
	if len(data) <= MaxMessageBytes {
		err = cbor.Unmarshal(data, &m)
	}
	if err == nil {
		err = m.validate()
	}
	if err != nil {
		return Message{}, &MessageError{size: len(data), cause: err}
	}
	return m, nil
}

// validate checks that exactly one field is set, and that the root of an update is valid.
func (m Message) validate() error {
	count := 0
	for _, present := range []bool{m.Announcement != nil, m.Request != nil, m.Update != nil, m.Full != nil} {
		if present {
			count++
		}
	}
	if count != 1 {
		return errors.Newf("has %d parts, want one", count)
	}
	if m.Update != nil {
		return m.Update.Root.Validate()
	}
	return nil
}

// Answer returns the answer to a peer's request: an update with the patches of root, or a
// full record if the peer asks for one or root does not belong to record, the record in
// force. The second result is false if the peer already has the revision of record. The
// error is that of publisher.CompressRecord.
func Answer(request Request, root publisher.Root, record publisher.Record) (Message, bool, error) {
	if record.Revision <= request.HeldRevision {
		return Message{}, false, nil
	}
	if !request.Full && root.Revision == record.Revision {
		return Message{Update: &Update{Root: root.WithPatchesAfter(request.HeldRevision)}}, true, nil
	}
	compressed, err := publisher.CompressRecord(record)
	return Message{Full: &FullRecord{Compressed: compressed}}, true, err
}
