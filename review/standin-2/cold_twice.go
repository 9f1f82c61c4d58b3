package main

import (
	"fmt"
	"net/netip"
	"sort"
	"time"
)

func init() { cases["cold-twice"] = playColdTwice }

// Sizes of the booking floor's page.
var booking = []zoneSize{{"ne-a", 9}, {"ne-b", 7}, {"ne-c", 4}}

const (
	bookingRegion    = "new-england"
	bookingCores     = 0.272
	bookingHeartbeat = 770 * time.Millisecond
	bookingDesk      = "booking-desk"
	holdsPerSecond   = 83
	holdWork         = 52 * time.Millisecond

	// deskServers is the number of servers of the service, which all stand in one zone.
	deskServers = 4
	coldZone    = "ne-a"
	// coldPerS is what a cold server bears, and warmup how long it stays cold.
	coldPerS = 2.0
	warmup   = 2 * time.Second
	// evacuatedFor is the time from an evacuation to its end, warmFor the time after it.
	evacuatedFor = 5 * time.Second
	warmFor      = 12 * time.Second
)

// mostInASecond is the bound of FAILBACK. A cold server that gets more falls over for fallenFor.
const (
	mostInASecond = coldPerS*1.5 + 5
	fallenFor     = 2 * time.Second
)

// coldArrival is an opening packet that a cold server took.
type coldArrival struct{ sent, arrived time.Time }

// playColdTwice checks FAILBACK while a zone is evacuated and taken back twice. Its servers are
// cold each time that it is taken back.
func playColdTwice(log *record, trouble bool) (int, error) {
	d, err := newDeployment(log, ".", booking, bookingRegion, bookingCores, bookingHeartbeat)
	if err != nil {
		return couldNotRun, err
	}
	defer d.stop()
	holds := d.routeAddress(1, 8080)
	d.configure(configuration{
		Version:  4,
		Routes:   []route{{Name: "r-holds", Host: holds.Addr().String(), Prefix: "/8080/", Type: "non_idempotent", TimeoutMs: 1500, SloMs: 250, Priority: 1, Service: bookingDesk, Attempts: 2}},
		Services: []service{{Name: bookingDesk, HealthPath: "/health", MaxConns: 4444, Protocol: "h1", WarmupS: warmup.Seconds(), ColdPerS: coldPerS}},
	})
	sentAt := map[string]time.Time{}
	cold := map[*server][]coldArrival{}
	d.routedHook = func(_ *balancerVM, p packet) {
		d.mu.Lock()
		defer d.mu.Unlock()
		sentAt[fmt.Sprint(p.src, p.seq, p.ack)] = time.Now()
	}
	d.openingHook = func(s *server, p packet) {
		if !time.Now().Before(s.coldUntil) {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		cold[s] = append(cold[s], coldArrival{sentAt[fmt.Sprint(p.src, p.seq, p.ack)], now})
		recent := 0
		for _, a := range cold[s] {
			if now.Sub(a.sent) <= time.Second {
				recent++
			}
		}
		if float64(recent) > mostInASecond {
			log.write("cold server %s got %d requests within a second and falls over", s.id, recent)
			s.fallOver(fallenFor)
		}
	}
	for n := range deskServers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.net, 64, byte(10 + n)}), d.serverPort)
		s, err := d.startServer(fmt.Sprintf("i-%010x", n*7919+104729), bookingDesk, coldZone, address, 3, holdWork)
		if err != nil {
			return couldNotRun, err
		}
		d.servers = append(d.servers, s)
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
	time.Sleep(7 * time.Second) // the balancers know their number
	stop := make(chan struct{})
	var l load
	l.run(hosts, "hold", holds, false, holdsPerSecond, 1500*time.Millisecond, stop)
	time.Sleep(warmFor)
	for n := range 2 {
		if trouble {
			d.evacuate(n+1, coldZone)
		}
		time.Sleep(warmFor)
	}
	close(stop)
	l.group.Wait()
	log.say("sent %d requests, served %d, run and never answered %d", l.sent.Load(), l.served.Load(), l.unanswered.Load())
	d.judgeCold(cold)
	return d.verdict(l.sent.Load(), l.served.Load())
}

// evacuate evacuates a zone and takes it back when its servers have become cold.
func (d *deployment) evacuate(n int, zone string) {
	d.log.say("evacuation %d of %s begins", n, zone)
	d.store.set("op/evacuate/"+zone, []byte(`{}`), 0)
	time.Sleep(evacuatedFor)
	for _, s := range d.servers {
		s.becomeCold(warmup)
	}
	time.Sleep(100 * time.Millisecond)
	d.store.set("op/evacuate/"+zone, nil, 0)
	d.log.say("evacuation %d of %s is taken back; its servers are cold for %s", n, zone, warmup)
}

// judgeCold checks the requests that were sent and arrived within any one second.
func (d *deployment) judgeCold(cold map[*server][]coldArrival) {
	for s, arrivals := range cold {
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].sent.Before(arrivals[j].sent) })
		worst, at := 0, time.Time{}
		for i, a := range arrivals {
			n := 0
			for _, b := range arrivals[i:] {
				if b.arrived.Sub(a.sent) <= time.Second {
					n++
				}
			}
			if n > worst {
				worst, at = n, a.sent
			}
		}
		d.log.say("cold server %s: at most %d requests in a second, from %.3f s on", s.id, worst, at.Sub(d.log.start).Seconds())
		if float64(worst) > mostInASecond {
			d.violate("FAILBACK: cold server %s got %d requests in one second, more than %g", s.id, worst, mostInASecond)
		}
	}
}
