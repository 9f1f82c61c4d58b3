package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// routeStormGap and routeStormTime are `config_storm` with doses of kettle-booking.
	routeStormGap  = 200 * time.Millisecond
	routeStormTime = 4400 * time.Millisecond
	routeStormRest = time.Second
	routeRounds    = 14
)

// runRoutes plays planned work only: configurations that add routes in quick succession
// while the balancers are restarted one after the other. Clients open flows on the newest
// route and make a few requests on each.
func runRoutes(d *deployment) error {
	routes := []route{{name: "r-board", service: "desk", kind: "idempotent", address: d.routeAddress(0)}}
	if err := d.start(3, 3, 0, 6, routes); err != nil {
		return err
	}
	d.onReset = d.judgeReset
	time.Sleep(d.bounds.contact + time.Second)
	var mu sync.Mutex
	newest := routes[0]
	stop := make(chan struct{})
	opened, refused := 0, 0
	var callers sync.WaitGroup
	for _, c := range d.clients {
		for range 6 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(20+rand.IntN(30)) * time.Millisecond):
					}
					mu.Lock()
					r := newest
					mu.Unlock()
					f, _ := c.open(r.address)
					mu.Lock()
					if f == nil {
						refused++
					} else {
						opened++
					}
					mu.Unlock()
					if f == nil {
						continue
					}
					for range 5 {
						if why := f.request(requestBudget); why != "" {
							d.record.line("request on %s failed: %s", f.id, why)
							break
						}
					}
					f.close()
				}
			})
		}
	}
	var rolls sync.WaitGroup
	if d.trouble {
		rolls.Go(func() {
			for i := range 6 {
				for _, z := range d.zones {
					d.routers[z].balancers[i%3].roll()
				}
			}
		})
	}
	for range routeRounds {
		for begin := time.Now(); time.Since(begin) < routeStormTime; time.Sleep(routeStormGap) {
			r := route{name: fmt.Sprintf("r-new%04d", len(routes)), service: "desk", kind: "idempotent", address: d.routeAddress(len(routes))}
			routes = append(routes[:len(routes):len(routes)], r)
			d.writeConfiguration(routes)
			mu.Lock()
			newest = r
			mu.Unlock()
		}
		time.Sleep(routeStormRest)
	}
	close(stop)
	callers.Wait()
	rolls.Wait()
	d.judgeMisrouted()
	d.summary("%d flows opened on new routes, %d openings refused; %d configurations", opened, refused, len(routes)-1)
	return nil
}
