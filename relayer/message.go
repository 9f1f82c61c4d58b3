package relayer

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/publisher"
)

// MaxMessageBytes bounds an encoded message.
const MaxMessageBytes = 4 << 20

// Message is one of its fields; the others are nil.
type Message struct {
	Announcement *Announcement `cbor:"1,keyasint,omitempty"`
	Request      *Request      `cbor:"2,keyasint,omitempty"`
	Update       *Update       `cbor:"3,keyasint,omitempty"`
	Whole        *Whole        `cbor:"4,keyasint,omitempty"`
}

// Announcement says which revision the sender holds.
type Announcement struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Request asks for the revisions after Held.
type Request struct {
	Held uint64 `cbor:"1,keyasint"`
	// Whole asks for the whole document, since no patches lead to it.
	Whole bool `cbor:"2,keyasint,omitempty"`
}

// Update answers a Request with a root and its patches.
type Update struct {
	Root publisher.Root `cbor:"1,keyasint"`
}

// Whole answers a Request for the whole document.
type Whole struct {
	// Packed is the record as publisher.Pack makes it.
	Packed []byte `cbor:"1,keyasint"`
}

// MessageError reports bytes that are no message.
type MessageError struct {
	size  int
	cause error
}

// Size returns the number of bytes.
func (e *MessageError) Size() int { return e.size }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.cause }

func (e *MessageError) Error() string {
	return fmt.Sprintf("message of %d bytes: %v", e.size, e.cause)
}

// Encode returns the CBOR encoding of m.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Wrap(err, "encoding the message")
}

// Decode reads a message. Its error is a MessageError.
func Decode(data []byte) (Message, error) {
	var m Message
	err := errors.New("too long")
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

func (m Message) validate() error {
	count := 0
	for _, present := range []bool{m.Announcement != nil, m.Request != nil, m.Update != nil, m.Whole != nil} {
		if present {
			count++
		}
	}
	if count != 1 {
		return errors.Newf("%d parts in place of one", count)
	}
	if m.Update != nil {
		return m.Update.Root.Validate()
	}
	return nil
}

// Answer returns the answer to a request of a peer, given what is in force here;
// the second result is false if there is nothing newer to tell.
func Answer(request Request, root publisher.Root, record publisher.Record) (Message, bool, error) {
	if record.Revision <= request.Held {
		return Message{}, false, nil
	}
	if !request.Whole && root.Revision == record.Revision {
		return Message{Update: &Update{Root: root.Since(request.Held)}}, true, nil
	}
	packed, err := publisher.Pack(record)
	return Message{Whole: &Whole{Packed: packed}}, true, err
}
