package publisher_test

import (
	"testing"

	"trefoilspring.example/trefoilspring/publisher"
)

// The platform's response may be any data. DecodeRoot and Advance must either
// refuse it or return a record whose digest is the root's.
func FuzzDecodeRoot(f *testing.F) {
	f.Add([]byte(`{"revision":7,"change-id":"X","digest":"0","document":{"targets":{}}}`))
	f.Add([]byte(`{"revision":2,"change-id":"X","patches":[{"revision":2,"change-id":"X","merge":{"targets":{"a":null}}}]}`))
	f.Add([]byte(`{"revision":1,"change-id":"X","snapshot":{"revision":1,"id":"X","chunks":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		root, err := publisher.DecodeRoot(data)
		if err != nil {
			return
		}
		if root.Revision == 0 {
			t.Fatal("DecodeRoot accepted a root without a revision")
		}
		held := publisher.Record{Revision: root.Revision - 1, ChangeID: "Y", Document: newDocument(2)}
		record, err := publisher.Advance(root, held)
		if err == nil && record.Digest != root.Digest {
			t.Fatal("Advance returned a record whose digest is not the root's")
		}
	})
}
