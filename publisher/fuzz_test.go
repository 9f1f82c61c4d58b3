package publisher_test

import (
	"testing"

	"trefoilspring.example/trefoilspring/publisher"
)

// Whatever the platform answers, a root is either refused or turned into a
// record that matches its digest.
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
			t.Fatal("a root without a revision")
		}
		held := publisher.Record{Revision: root.Revision - 1, ChangeID: "Y", Document: document(2)}
		record, err := publisher.Advance(root, held)
		if err == nil && record.Digest != root.Digest {
			t.Fatal("a record that does not match its root")
		}
	})
}
