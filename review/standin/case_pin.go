package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// pinOpenTime is the time over which the long flows are opened.
	pinOpenTime = time.Second
	// pinLossShare is the share of the flows that lose one datagram.
	pinLossShare  = 0.2
	longFlowPause = 2 * time.Second
	requestBudget = 3 * time.Second
	reorderTime   = 2 * time.Second
	// rollGap is gap_s of roll_term: one machine is stopped each second.
	rollGap = time.Second
)

// runPinned opens long flows, of which some lose one datagram: the first answer to their
// opening. Once contactMs has passed since the last loss, one balancer in each zone is
// restarted, one after the other, as in planned work. No flow may break.
func runPinned(d *deployment) error {
	board := route{name: "r-board", service: "desk", kind: "non_idempotent", address: d.routeAddress(0)}
	d.lossShare = pinLossShare
	if err := d.start(3, 5, 0, 3, []route{board}); err != nil {
		return err
	}
	d.onReset = d.judgeReset
	time.Sleep(d.bounds.contact)
	var callers sync.WaitGroup
	end := time.Now().Add(pinOpenTime + 16*time.Second)
	flows, broken, unanswered := 0, 0, 0
	var mu sync.Mutex
	for _, c := range d.clients {
		for range 8 {
			callers.Go(func() {
				time.Sleep(time.Duration(rand.Float64() * float64(pinOpenTime)))
				f, why := c.open(board.address)
				if f == nil {
					d.record.line("flow of %s not opened: %s", c.address, why)
					return
				}
				mu.Lock()
				flows++
				mu.Unlock()
				for time.Now().Before(end) && d.ctx.Err() == nil {
					if why := f.request(requestBudget); why != "" {
						d.record.line("request on %s failed: %s", f.id, why)
						mu.Lock()
						unanswered++
						if why != "no answer in time" {
							broken++
						}
						mu.Unlock()
						return
					}
					time.Sleep(longFlowPause * time.Duration(80+rand.IntN(40)) / 100)
				}
				f.close()
			})
		}
	}
	time.Sleep(pinOpenTime + 200*time.Millisecond)
	d.mu.Lock()
	last := d.lastLoss
	d.mu.Unlock()
	if wait := d.bounds.contact - time.Since(last) + 100*time.Millisecond; !last.IsZero() && wait > 0 {
		time.Sleep(wait)
	}
	var rolls sync.WaitGroup
	for i, z := range d.zones {
		rolls.Go(func() {
			time.Sleep(time.Duration(i) * rollGap)
			d.routers[z].balancers[0].roll()
		})
	}
	callers.Wait()
	rolls.Wait()
	d.judgeMisrouted()
	d.mu.Lock()
	losses := 0
	for _, lost := range d.lost {
		if lost {
			losses++
		}
	}
	d.mu.Unlock()
	d.summary("%d long flows, %d of %d datagrams lost; %d flows ended by a reset, %d requests never answered",
		flows, losses, d.datagrams.Load(), broken, unanswered)
	return nil
}

// judgeReset applies FLOW (a): the client of an open flow got a reset that the flow's server
// didn't send, while that server lives. Servers live and are unharmed in every case here.
func (d *deployment) judgeReset(f *clientFlow, by string, _ bool) {
	d.mu.Lock()
	state := d.flows[f.id]
	open := state != nil && state.owner != nil && !state.dropped
	owner := ""
	if open {
		owner = state.owner.name
	}
	d.mu.Unlock()
	if open && owner != by {
		calm := "a server"
		for _, b := range d.balancers {
			if b.name == by {
				calm = fmt.Sprintf("undisturbed for %.1f s", b.calmFor().Seconds())
			}
		}
		d.record.breaks("FLOW", "(a) flow %s is open at %s, which lives; its client got a reset from %s (%s)", f.id, owner, by, calm)
	}
}

// judgeMisrouted applies FLOW (b): for reorderMs, three or more of a flow's packets reach
// other servers and none its own.
func (d *deployment) judgeMisrouted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, f := range d.flows {
		for i, from := range f.other {
			until := from.Add(reorderTime)
			strays, own := 0, 0
			for _, t := range f.other[i:] {
				if !t.After(until) {
					strays++
				}
			}
			for _, t := range f.own {
				if !t.Before(from) && !t.After(until) {
					own++
				}
			}
			if strays >= 3 && own == 0 && time.Since(from) > reorderTime {
				d.record.breaks("FLOW", "(b) %d packets of flow %s reached other servers within %s and none its own, %s", strays, id, reorderTime, f.owner.name)
				break
			}
		}
	}
}
