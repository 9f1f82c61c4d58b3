package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// bigRoutes is `big_config` with its largest count on the grown sites.
	bigRoutes = 1400
	// stormGap and stormTime are a `config_storm` of kettle-booking-grown.
	stormGap  = 80 * time.Millisecond
	stormTime = 2 * time.Second
	probeTime = 16 * time.Second
)

// runWatch gives the system a large configuration, and then a series of configurations in
// quick succession. Meanwhile the open connections of all balancers to the store go silent
// once. Each version adds a route, and clients use the routes once they are due.
func runWatch(d *deployment) error {
	d.bounds = kettleBookingGrown
	var routes []route
	for n := range bigRoutes + 3 {
		routes = append(routes, route{name: fmt.Sprintf("r-%07x", 0x1a2b3c+n*7919), service: "desk", kind: "idempotent", address: d.routeAddress(n)})
	}
	if err := d.start(2, 2, 0, 1, routes); err != nil {
		return err
	}
	time.Sleep(d.bounds.contact + time.Second)
	type version struct {
		number int
		route  route
		at     time.Time
	}
	var versions []version
	silent := time.Now()
	if d.trouble {
		for _, b := range d.balancers {
			b.mark()
			n := b.storeProxy.silence()
			d.record.line("SILENT: %d connections of %s to the store", n, b.name)
		}
	}
	for begin := time.Now(); time.Since(begin) < stormTime; {
		next := time.Now().Add(stormGap)
		r := route{name: fmt.Sprintf("r-new%04d", len(versions)), service: "desk", kind: "idempotent", address: d.routeAddress(len(routes))}
		routes = append(routes[:len(routes):len(routes)], r)
		number, at := d.writeConfiguration(routes)
		versions = append(versions, version{number: number, route: r, at: at})
		time.Sleep(time.Until(next))
	}
	lastVersion := versions[len(versions)-1]
	// Every route of the storm is due configApplyMs after the last version, and every machine is
	// in touch contactMs after the connections went silent.
	from := lastVersion.at.Add(d.bounds.configApply)
	if touch := silent.Add(d.bounds.contact); touch.After(from) {
		from = touch
	}
	time.Sleep(time.Until(from) + 10*time.Millisecond)
	var mu sync.Mutex
	refused, silentOpenings, served := 0, 0, 0
	var callers sync.WaitGroup
	for _, c := range d.clients {
		callers.Go(func() {
			for end := time.Now().Add(probeTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				sent := time.Now()
				f, why := c.open(lastVersion.route.address)
				if f == nil {
					mu.Lock()
					if why == "no answer to the opening" {
						silentOpenings++
					} else {
						refused++
					}
					mu.Unlock()
					d.record.breaks("CONFIG", "request to route %s of version %d, sent %d ms after its acknowledgement and %d ms after the last disruption: %s",
						lastVersion.route.name, lastVersion.number, sent.Sub(lastVersion.at).Milliseconds(), sent.Sub(silent).Milliseconds(), why)
					continue
				}
				if f.request(requestBudget) == "" {
					mu.Lock()
					served++
					mu.Unlock()
				}
				f.close()
			}
		})
	}
	callers.Wait()
	d.store.mu.Lock()
	largest := d.store.largestAnswer
	d.store.mu.Unlock()
	d.summary("%d versions of %d routes and more; the store's largest answer to a watch: %d bytes; of the requests to the newest route %d were refused, %d got no answer, %d were served",
		len(versions), bigRoutes, largest, refused, silentOpenings, served)
	return nil
}
