package responder

import (
	"context"
	"sync"
	"time"

	"trefoilspring.example/trefoilspring/standin/journal"
)

// packetsInterval is the time between two entries that sum packets.
const packetsInterval = 200 * time.Millisecond

// packets sums what arrived since the last entry.
type packets struct {
	mu           sync.Mutex
	count, wrong int64
	first, last  time.Time
}

func (p *packets) receive(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == 0 {
		p.first = now
	}
	p.count++
	p.last = now
}

// reject counts a packet for an address that the target does not serve.
func (p *packets) reject() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wrong++
}

// take returns the sums and starts anew.
func (p *packets) take() journal.Packets {
	p.mu.Lock()
	defer p.mu.Unlock()
	sums := journal.Packets{Count: p.count, WrongService: p.wrong}
	if p.count > 0 {
		sums.FirstUnixMs = p.first.UnixMilli()
		sums.LastUnixMs = p.last.UnixMilli()
	}
	p.count, p.wrong = 0, 0
	return sums
}

func (t *Responder) writePackets(ctx context.Context) error {
	ticker := time.NewTicker(packetsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.recordPackets()
			return nil
		case <-ticker.C:
			t.recordPackets()
		}
	}
}

func (t *Responder) recordPackets() {
	sums := t.packets.take()
	if sums.Count == 0 && sums.WrongService == 0 {
		return
	}
	sums.Target, sums.Zone, sums.Service = t.settings.Name, t.settings.AvailabilityZone, t.settings.Service
	t.record(journal.Entry{Packets: &sums})
}
