package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// coldRate is coldPerS, with which warmupOverrun and warmupSlack give the bound.
	coldRate      = 5
	warmupOverrun = 1.5
	warmupSlack   = 5
	// storeDownTime is `platform_down` of kettle-booking.
	storeDownTime = 4500 * time.Millisecond
	// zoneRate is how many flows a second the clients of one zone open.
	zoneRate = 50
	// coldRounds is how often a server is replaced.
	coldRounds = 3
)

// runCold replaces a server of a small service by a new one, which is cold, right after the
// store was down and the leases ran out meanwhile. With TROUBLE=0 the store stays up.
func runCold(d *deployment) error {
	d.coldPerS, d.workTime = coldRate, 5*time.Millisecond
	menu := route{name: "r-menu", service: "press", kind: "download", address: d.routeAddress(0)}
	if err := d.start(6, 0, 2, 5, []route{menu}); err != nil {
		return err
	}
	time.Sleep(2 * d.bounds.contact)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, c := range d.clients {
		callers.Go(func() {
			var flows sync.WaitGroup
			defer flows.Wait()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(5*time.Second) / zoneRate)):
				}
				flows.Go(func() {
					if f, _ := c.open(menu.address); f != nil {
						f.request(requestBudget)
						f.close()
					}
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	old := d.servers[1]
	for n := range coldRounds {
		if d.trouble {
			d.record.line("the store is down")
			for _, b := range d.balancers {
				b.storeProxy.setDown(true)
			}
			time.Sleep(storeDownTime / 2)
			d.record.line("%d leases run out", d.store.lapse())
			time.Sleep(storeDownTime / 2)
			for _, b := range d.balancers {
				b.storeProxy.setDown(false)
			}
			d.record.line("the store is back")
		}
		// A release: the new server starts first, then the old one drains.
		fresh, err := d.startServer("press", d.zones[1], 10+n, true)
		if err != nil {
			return err
		}
		old.register("draining")
		time.Sleep(warmup)
		fresh.register("ready")
		time.Sleep(d.bounds.drain)
		old.leave()
		old = fresh
		time.Sleep(9 * time.Second)
	}
	close(stop)
	callers.Wait()
	most := 0
	for _, s := range d.servers {
		worst := 0
		for i, from := range s.coldOpenings {
			n := 0
			for _, t := range s.coldOpenings[i:] {
				if t.Sub(from) < time.Second {
					n++
				}
			}
			worst = max(worst, n)
		}
		if float64(worst) > coldRate*warmupOverrun+warmupSlack {
			d.record.breaks("FAILBACK", "cold server %s got %d openings in one second; the bound is %.1f", s.name, worst, coldRate*warmupOverrun+warmupSlack)
		}
		most = max(most, worst)
	}
	d.summary("the most openings that a cold server got in one second: %d, bound %.1f", most, coldRate*warmupOverrun+warmupSlack)
	return nil
}
