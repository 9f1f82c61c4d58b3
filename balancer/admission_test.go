package balancer_test

import (
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/explainer"
)

// overload offers flows of one request each to a balancer with a target of three slots, a few for
// two seconds and then far too many until the service turns flows away and some more.
func overload(n *node, target *targetServer, caller *net.UDPConn) {
	type answer struct {
		at     time.Time
		packet []byte
	}
	send := func(p []byte) { _, _ = caller.WriteToUDPAddrPort(p, n.settings.DataAddress) }
	var answers []answer
	buffer := make([]byte, 2048)
	begin, limitedAt, port := time.Now(), time.Time{}, uint16(1000)
	for now := begin; now.Sub(begin) < 12*time.Second; now = time.Now() {
		burst, took := 1, 20*time.Millisecond
		if now.Sub(begin) > 2500*time.Millisecond {
			burst, took = 30, 200*time.Millisecond
		}
		if limitedAt.IsZero() && n.log.contains("service turns new flows away") {
			limitedAt = now
		}
		if !limitedAt.IsZero() && now.Sub(limitedAt) > time.Second {
			return
		}
		for range burst {
			port++
			send(packet(port, flagSyn, 0, 7000, 0, ""))
		}
		_ = target.conn.SetReadDeadline(now.Add(30 * time.Millisecond))
		for {
			size, err := target.conn.Read(buffer)
			if err != nil {
				break
			}
			if p := buffer[8:size]; p[8] == flagSyn {
				port, token := binary.LittleEndian.Uint16(p[14:]), binary.LittleEndian.Uint32(p[28:])
				send(packet(port, flagAck, token, 7001, 1, "GET / HTTP/1.1\r\n"))
				answers = append(answers, answer{time.Now().Add(took), packet(port, flagAck, token, 7017, 2001, "")})
			}
		}
		for len(answers) > 0 && answers[0].at.Before(time.Now()) {
			send(answers[0].packet)
			answers = answers[1:]
		}
	}
}

// The log has the change of a service that turns flows away and some of the flows, the counter
// all of them by urgency, and status and explain tell why.
func TestTurnedAwayFlowsAreReported(t *testing.T) {
	is := is.New(t)
	n, target, caller := newReadyNode(t)
	overload(n, target, caller)
	n.log.mu.Lock()
	text := n.log.text.String()
	n.log.mu.Unlock()
	is.Equal(strings.Count(text, "service turns new flows away"), 1)
	for _, attribute := range []string{`"service":"s"`, `"waiting":`, `"bound":`, `"wanted":`, `"room":`} {
		_, line, _ := strings.Cut(text, "service turns new flows away")
		line, _, _ = strings.Cut(line, "\n")
		is.True(strings.Contains(line, attribute))
	}
	lines := strings.Count(text, `"reason":"turned-away"`)
	is.True(lines > 0)
	is.True(lines <= 40) // 10 per second and as many at once, for up to three seconds
	is.True(strings.Contains(text, `"urgency":0`))

	_, metrics := get(n.settings.MetricsAddress, "/metrics")
	is.True(strings.Contains(metrics, `trefoilspring_openings_turned_away_total{urgency="0"} `))
	var status explainer.Status
	getJSON(t, n, explainer.StatusPath, &status)
	is.Equal(status.View.LimitedServices, []string{"s"})
	var e explainer.Explanation
	getJSON(t, n, explainer.FlowPath+"?service=198.18.0.1:443&source=203.0.113.7:50123", &e)
	is.True(e.Admission != nil)
	is.True(e.Admission.Limited && e.Admission.Fraction < 1)
	is.True(e.Admission.Waiting > 0 && e.Admission.Bound > 0)
}
