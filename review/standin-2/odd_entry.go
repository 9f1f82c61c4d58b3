package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["odd-entry"] = playOddEntry }

// Sizes of a small deployment, as on the page of the co-op.
var coop = []zoneSize{{"danang-a", 7}, {"danang-b", 4}, {"danang-c", 2}}

const (
	coopRegion    = "danang"
	coopCores     = 0.061
	coopHeartbeat = 1200 * time.Millisecond
)

// desk and gallery are the two services of the deployment.
const (
	desk    = "orderdesk"
	gallery = "gallery"
)

// startServers starts 14 servers of the desk and 4 of the gallery.
func (d *deployment) startServers() error {
	for _, s := range []struct {
		service string
		counts  []int
		work    time.Duration
	}{{desk, []int{5, 5, 4}, 40 * time.Millisecond}, {gallery, []int{2, 1, 1}, 5 * time.Millisecond}} {
		for zone, count := range s.counts {
			for range count {
				n := len(d.servers)
				address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.net, byte(64 + zone), byte(10 + n)}), d.serverPort)
				started, err := d.startServer(fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)), s.service, d.zones[zone].name, address, 3, s.work)
				if err != nil {
					return err
				}
				d.servers = append(d.servers, started)
			}
		}
	}
	return nil
}

func (d *deployment) startHosts(perZone int) ([]*host, error) {
	var hosts []*host
	for zi, z := range d.zones {
		for i := range perZone {
			h, err := d.startHost(z.name, netip.AddrFrom4([4]byte{127, d.net, byte(128 + zi), byte(10 + i)}))
			if err != nil {
				return nil, err
			}
			hosts = append(hosts, h)
		}
	}
	return hosts, nil
}

// load sends requests on a route at a rate until stop is closed, each on a flow of its own.
type load struct {
	sent, served atomic.Int64
	// unanswered counts the requests that a server ran and whose client got no answer.
	unanswered atomic.Int64
	group      sync.WaitGroup
}

func (l *load) run(hosts []*host, prefix string, to netip.AddrPort, idempotent bool, perSecond float64, budget time.Duration, stop <-chan struct{}) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			l.group.Add(1)
			go func() {
				defer l.group.Done()
				l.sent.Add(1)
				h, id := hosts[rand.IntN(len(hosts))], fmt.Sprintf("%s-%d", prefix, n)
				switch {
				case h.call(id, to, idempotent, budget):
					l.served.Add(1)
				case h.d.ran(id):
					l.unanswered.Add(1)
				}
			}()
		}
	}()
}

// oddRounds is how often the other writer leaves its entries.
const oddRounds = 3

// playOddEntry checks ROUTE while another writer leaves entries under the ids of three servers, with
// fields missing or of another type.
func playOddEntry(log *record, trouble bool) (int, error) {
	d, err := newDeployment(log, ".", coop, coopRegion, coopCores, coopHeartbeat)
	if err != nil {
		return couldNotRun, err
	}
	defer d.stop()
	orders, photos := d.routeAddress(1, 8080), d.routeAddress(2, 8443)
	allowed := map[netip.AddrPort]string{orders: desk, photos: gallery}
	d.configure(configuration{
		Version: 4,
		Routes: []route{
			{Name: "r-orders", Host: orders.Addr().String(), Prefix: "/8080/", Type: "non_idempotent", TimeoutMs: 1500, SloMs: 250, Priority: 1, Service: desk, Attempts: 2},
			{Name: "r-photos", Host: photos.Addr().String(), Prefix: "/8443/", Type: "download", TimeoutMs: 3000, SloMs: 500, Priority: 2, Service: gallery, Attempts: 2},
		},
		Services: []service{
			{Name: desk, HealthPath: "/health", MaxConns: 4333, Protocol: "h1", WarmupS: 2},
			{Name: gallery, HealthPath: "/health", MaxConns: 4333, Protocol: "h1", WarmupS: 2},
		},
	})
	d.runHook = func(s *server, request string, client, route netip.AddrPort) {
		if allowed[route] != s.service {
			d.violate("ROUTE: server %s of %s runs request %s of %s, whose route %s goes to %s only", s.id, s.service, request, client, route, allowed[route])
		}
	}
	if err := d.startServers(); err != nil {
		return couldNotRun, err
	}
	if err := d.startBalancers(); err != nil {
		return couldNotRun, err
	}
	if !d.awaitReady(15 * time.Second) {
		return couldNotRun, fmt.Errorf("the balancers didn't become ready")
	}
	hosts, err := d.startHosts(6)
	if err != nil {
		return couldNotRun, err
	}
	time.Sleep(3 * time.Second) // all entries are written, and read
	stop := make(chan struct{})
	var l load
	l.run(hosts, "order", orders, false, 83, 1500*time.Millisecond, stop)
	l.run(hosts, "photo", photos, true, 25, 3*time.Second, stop)
	time.Sleep(4 * time.Second)
	for range oddRounds {
		if trouble {
			d.writeOddEntries()
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	l.group.Wait()
	log.say("sent %d requests, served %d", l.sent.Load(), l.served.Load())
	return d.verdict(l.sent.Load(), l.served.Load())
}

// writeOddEntries lets another writer leave an entry under the ids of three servers of the desk. Each
// says that the server is of the gallery, but none has all fields of an entry in their types, so none
// names a server to use. A server writes its own entry again with its next report.
func (d *deployment) writeOddEntries() {
	for i, odd := range []struct {
		what   string
		fields map[string]any
	}{
		{"without version, seq and born", map[string]any{}},
		{"without seq", map[string]any{"version": "v1", "born": d.servers[1].born.UnixMilli()}},
		{"with a number as version and a text as seq", map[string]any{"version": 1, "seq": "4", "born": d.servers[2].born.UnixMilli()}},
	} {
		s := d.servers[i]
		maps.Copy(odd.fields, map[string]any{
			"service": gallery, "address": s.address.String(), "zone": s.zone, "capacity": 3, "state": "ready", "warmupLeftMs": 0,
		})
		value, _ := json.Marshal(odd.fields)
		d.log.say("another writer leaves an entry %s under the id %s of a server of %s", odd.what, s.id, s.service)
		d.store.set("servers/"+s.id, value, 0)
	}
}

// verdict returns the exit status: a case in which too little was served shows nothing.
func (d *deployment) verdict(sent, served int64) (int, error) {
	violations := d.broken()
	for i, v := range violations {
		if i == 5 {
			d.log.say("and %d more", len(violations)-i)
			break
		}
		d.log.say("%s", v)
	}
	switch {
	case len(violations) > 0:
		return broken, nil
	case sent == 0 || served*2 < sent:
		return couldNotRun, fmt.Errorf("%d of %d requests were served", served, sent)
	}
	d.log.say("the rule held")
	return held, nil
}
