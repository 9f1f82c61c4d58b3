package operator

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"trefoilspring.example/trefoilspring/loader"
)

// Encode returns the canonical encoding of d: the same document is the same
// bytes on every machine.
func Encode(d Document) ([]byte, error) {
	data, err := json.Marshal(d, json.Deterministic(true))
	return data, errors.Wrap(err, "encoding the document")
}

// Decode reads and checks an encoded document.
func Decode(data []byte) (Document, error) {
	var d Document
	if err := loader.Strict("document", data, &d); err != nil {
		return Document{}, err
	}
	if err := Validate(d); err != nil {
		return Document{}, err
	}
	return d, nil
}

// Digest returns the SHA-256 of the canonical encoding of d in hexadecimal.
func Digest(d Document) (string, error) {
	sum := sha256.New()
	if err := json.MarshalWrite(sum, d, json.Deterministic(true)); err != nil {
		return "", errors.Wrap(err, "encoding the document")
	}
	return hex.EncodeToString(sum.Sum(nil)), nil
}
