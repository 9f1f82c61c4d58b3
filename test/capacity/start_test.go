package capacity_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/compressor"
	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/platform"
	"trefoilspring.example/trefoilspring/replicator"
)

// newPagedStore returns a client of a server that answers with the registrations of so
// many targets, in pages as the users' platform does.
func newPagedStore(b *testing.B, targets int) *platform.Store {
	b.Helper()
	const perPage = 500
	type item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}
	var pages [][]byte
	for from := 0; from < targets; from += perPage {
		page := struct {
			Items         []item `json:"items"`
			HasMore       bool   `json:"hasMore"`
			StoreRevision uint64 `json:"storeRevision"`
		}{HasMore: from+perPage < targets, StoreRevision: uint64(targets)}
		for n := from; n < min(targets, from+perPage); n++ {
			value := fmt.Sprintf(`{"service":"nyba61a","address":"10.%d.%d.%d:8009","zone":"danang-%c","version":"v1","capacity":2,`+
				`"state":"ready","warmupLeftMs":0,"seq":17,"born":1790000000000}`, 1+n%4, n>>8, n&255, 'a'+n%4)
			page.Items = append(page.Items, item{Key: fmt.Sprintf("servers/i-%010x", n+1), Value: []byte(value), Revision: uint64(n + 1)})
		}
		data, err := json.Marshal(page)
		if err != nil {
			b.Fatal(err)
		}
		pages = append(pages, data)
	}
	next := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(pages[next%len(pages)])
		next++
	}))
	b.Cleanup(server.Close)
	return platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
}

// BenchmarkFirstView measures the start of a balancer: it reads all registrations from
// the store and applies them to its director. peer-B is the size of the same update as a
// message between balancers, and packed-B its size after compression.
func BenchmarkFirstView(b *testing.B) {
	for _, targets := range []int{300, 1000, 3000, 9800} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			store := newPagedStore(b, targets)
			directory := platform.Directory(store)
			var u replicator.Update
			for b.Loop() {
				var err error
				if u, err = directory.Fetch(b.Context(), 0, time.Second); err != nil {
					b.Fatal(err)
				}
				var replica replicator.Replica
				d := director.New(1, "danang-a")
				for _, i := range replica.Merge(u, time.Now()) {
					change, _, err := directory.Decode(i)
					if err != nil {
						b.Fatal(err)
					}
					d.Apply(time.Now(), change)
				}
			}
			answer, err := cbor.Marshal(u)
			if err != nil {
				b.Fatal(err)
			}
			compressed, err := compressor.Compress(answer)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(answer)), "peer-B")
			b.ReportMetric(float64(len(compressed)), "packed-B")
		})
	}
}
