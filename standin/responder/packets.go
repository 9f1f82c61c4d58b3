package responder

import (
	"context"
	"sync"
	"time"

	"trefoilspring.example/trefoilspring/standin/journal"
)

// packetSummaryInterval is the time between two packet summaries in the journal.
const packetSummaryInterval = 200 * time.Millisecond

// packetCounter counts the packets that arrived since the last summary in the
// journal.
type packetCounter struct {
	mu                     sync.Mutex
	received, wrongService int64
	firstAt, lastAt        time.Time
}

// countReceived counts a packet that arrived at now, whatever its destination.
func (p *packetCounter) countReceived(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.received == 0 {
		p.firstAt = now
	}
	p.received++
	p.lastAt = now
}

// countWrongService counts a packet whose inner destination address is not one of
// the target's service addresses.
func (p *packetCounter) countWrongService() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wrongService++
}

// takeTotals returns the counts since the last call and resets them.
func (p *packetCounter) takeTotals() journal.Packets {
	p.mu.Lock()
	defer p.mu.Unlock()
	totals := journal.Packets{Count: p.received, WrongService: p.wrongService}
	if p.received > 0 {
		totals.FirstUnixMs = p.firstAt.UnixMilli()
		totals.LastUnixMs = p.lastAt.UnixMilli()
	}
	p.received, p.wrongService = 0, 0
	return totals
}

// runPacketSummaries writes a packet summary to the journal at each interval, and
// a last one when ctx ends.
func (t *Responder) runPacketSummaries(ctx context.Context) error {
	ticker := time.NewTicker(packetSummaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.recordPacketSummary()
			return nil
		case <-ticker.C:
			t.recordPacketSummary()
		}
	}
}

// recordPacketSummary writes the counts since the last summary to the journal,
// unless no packet arrived.
func (t *Responder) recordPacketSummary() {
	summary := t.packets.takeTotals()
	if summary.Count == 0 && summary.WrongService == 0 {
		return
	}
	summary.Target, summary.Zone, summary.Service = t.settings.Name, t.settings.AvailabilityZone, t.settings.Service
	t.record(journal.Entry{Packets: &summary})
}
