package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["odd-draining"] = playOddDraining }

const (
	// feedFlows is the number of long flows, and feedPause the mean pause between two requests
	// on one of them.
	feedFlows = 300
	feedPause = time.Second
	// drainedServers is the number of servers that are emptied.
	drainedServers = 2
)

// Limits within which FLOW protects a flow.
const (
	flowTTL     = 60 * time.Second
	idleTimeout = 15 * time.Second
)

// runFeed keeps a flow open for many requests with pauses, and opens another one when it has
// ended.
func (h *host) runFeed(name string, to netip.AddrPort, stop <-chan struct{}, sent, served *atomic.Int64) {
	var f *clientFlow
	for n := 0; ; n++ {
		select {
		case <-stop:
			if f != nil {
				f.close()
			}
			return
		case <-time.After(feedPause/2 + time.Duration(rand.Int64N(int64(feedPause)))):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		sent.Add(1)
		if f == nil {
			f = h.newFlow(to)
			if o := f.open(); !o.opened {
				h.d.log.write("request %s: %s", id, o.text)
				f.forget()
				f = nil
				continue
			}
		}
		o := f.exchange(id, time.Now().Add(1200*time.Millisecond))
		h.d.log.write("request %s on %s: %s %s", id, to, o.text, o.body)
		if o.served {
			served.Add(1)
		}
		if o.ended {
			f.forget()
			f = nil
		}
	}
}

// playOddDraining checks FLOW while two servers drain and another writer leaves bytes that can't
// be read under their ids.
func playOddDraining(log *record, trouble bool) (int, error) {
	d, err := newDeployment(log, ".", coop, coopRegion, coopCores, coopHeartbeat)
	if err != nil {
		return couldNotRun, err
	}
	defer d.stop()
	feed := d.routeAddress(1, 8443)
	d.configure(configuration{
		Version:  4,
		Routes:   []route{{Name: "r-feed", Host: feed.Addr().String(), Prefix: "/8443/", Type: "idempotent", TimeoutMs: 1200, SloMs: 200, Priority: 2, Service: desk, Attempts: 2}},
		Services: []service{{Name: desk, HealthPath: "/health", MaxConns: 4333, Protocol: "h1", WarmupS: 2}},
	})
	d.resetHook = func(f *clientFlow) {
		s := d.holder(f.local, f.route)
		if s == nil || time.Since(f.openedAt) > flowTTL || time.Since(f.lastPacketAt) > idleTimeout {
			return
		}
		d.violate("FLOW: flow %s to %s, open for %.1f s at server %s, which lives and is %s, was reset by the system",
			f.local, f.route, time.Since(f.openedAt).Seconds(), s.id, s.state)
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
	var sent, served atomic.Int64
	var group sync.WaitGroup
	for n := range feedFlows {
		group.Add(1)
		go func() {
			defer group.Done()
			hosts[n%len(hosts)].runFeed(fmt.Sprintf("feed-%d", n), feed, stop, &sent, &served)
		}()
	}
	time.Sleep(6 * time.Second)
	for _, s := range d.servers[:drainedServers] {
		s.drain()
		log.say("server %s drains", s.id)
		if trouble {
			time.Sleep(100 * time.Millisecond)
			log.say("another writer leaves bytes that can't be read under the id %s", s.id)
			d.store.set("servers/"+s.id, []byte(`{"service":"`), 0)
		}
	}
	time.Sleep(2500 * time.Millisecond) // less than drainMs: the servers still serve
	close(stop)
	group.Wait()
	log.say("sent %d requests, served %d", sent.Load(), served.Load())
	return d.verdict(sent.Load(), served.Load())
}
