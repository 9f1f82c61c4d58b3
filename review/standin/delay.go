package main

import (
	"context"
	"time"
)

// clientDelay is the delay of the link between a client and the machines, one way.
const clientDelay = 3 * time.Millisecond

// delayLine sends datagrams after clientDelay, in their order.
type delayLine struct {
	queue chan delayed
}

type delayed struct {
	due  time.Time
	send func()
}

func newDelayLine() *delayLine { return &delayLine{queue: make(chan delayed, 4096)} }

// add queues a datagram. A full queue loses it.
func (l *delayLine) add(send func()) {
	select {
	case l.queue <- delayed{due: time.Now().Add(clientDelay), send: send}:
	default:
	}
}

func (l *delayLine) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-l.queue:
			time.Sleep(time.Until(d.due))
			d.send()
		}
	}
}
