package director_test

import (
	"testing"
	"time"

	"trefoilspring.example/trefoilspring/director"
)

// newLargeDirector returns a director among 300 balancers of three zones, with 600 targets.
func newLargeDirector() *director.Director {
	d := newDirectorIn("a", 600)
	d.SetBalancerCounts(300, 100)
	return d
}

// BenchmarkDecideOpening measures the decision on the opening packet of a new flow.
func BenchmarkDecideOpening(b *testing.B) {
	d := newLargeDirector()
	now := start
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%1000 == 0 {
			now = now.Add(5 * time.Second) // earlier flows expire
			d.Tick(now)
		}
		d.Decide(now, opening(n%60000, 0))
	}
}

// BenchmarkDecideRequest measures the decisions on the two packets of a request on an open flow:
// the request and the acknowledgement of its answer.
func BenchmarkDecideRequest(b *testing.B) {
	d := newLargeDirector()
	var request *director.Packet
	now, sent := start, uint32(0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%100_000 == 0 { // sequence numbers of a flow grow by a few megabytes at most
			flow := n / 100_000
			request, sent = data(flow, board, d.Decide(now, opening(flow, 0)).Token, 1, 1), 0
		}
		sent++
		request.Sequence, request.Acknowledged, request.Data = 16*sent, 2000*sent, requestData
		d.Decide(now, request)
		now = now.Add(time.Millisecond)
		request.Sequence, request.Acknowledged, request.Data = 16*(sent+1), 2000*(sent+1), nil
		d.Decide(now, request)
	}
}

var requestData = []byte("GET /board HTTP/1.1\r\n\r\n")
