package operator

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"trefoilspring.example/trefoilspring/loader"
)

// Encode returns the canonical JSON encoding of d. Equal documents have equal
// encodings on every machine.
func Encode(d Document) ([]byte, error) {
	data, err := json.Marshal(d, json.Deterministic(true))
	return data, errors.Wrap(err, "encoding the document")
}

// Decode decodes and validates a document. Its errors are a loader.SyntaxError or
// a DocumentError.
func Decode(data []byte) (Document, error) {
	var d Document
	if err := loader.Unmarshal("document", data, &d); err != nil {
		return Document{}, err
	}
	if err := Validate(d); err != nil {
		return Document{}, err
	}
	return d, nil
}

// Digest returns the SHA-256 hash of the canonical encoding of d, in hexadecimal.
func Digest(d Document) (string, error) {
	sum := sha256.New()
	if err := json.MarshalWrite(sum, d, json.Deterministic(true)); err != nil {
		return "", errors.Wrap(err, "encoding the document")
	}
	return hex.EncodeToString(sum.Sum(nil)), nil
}
