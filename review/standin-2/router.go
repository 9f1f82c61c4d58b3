package main

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"
)

// Checks of readiness: twice a second, and two misses take a daemon out of rotation.
const (
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// router stands in for the platform's routers: it selects a daemon of the client's zone by the
// hash of the four addresses and ports.
type router struct {
	d    *deployment
	conn *net.UDPConn

	mu      sync.Mutex
	daemons []*daemonState
}

type daemonState struct {
	b      *balancerVM
	misses int
	ready  bool
}

func newRouter(d *deployment) (*router, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &router{d: d, conn: conn}, nil
}

func (r *router) add(b *balancerVM) {
	s := &daemonState{b: b}
	r.mu.Lock()
	r.daemons = append(r.daemons, s)
	sort.Slice(r.daemons, func(i, j int) bool { return r.daemons[i].b.name < r.daemons[j].b.name })
	r.mu.Unlock()
	go r.probe(s)
}

func (r *router) probe(s *daemonState) {
	client := &http.Client{Timeout: probeInterval}
	for ; ; time.Sleep(probeInterval) {
		ctx, cancel := context.WithTimeout(context.Background(), probeInterval)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.b.ready+"/v1/readiness", nil)
		res, err := client.Do(req)
		ok := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			res.Body.Close()
		}
		cancel()
		r.mu.Lock()
		before := s.ready
		if ok {
			s.misses, s.ready = 0, true
		} else if s.misses++; s.misses >= maxMisses {
			s.ready = false
		}
		if before != s.ready {
			r.d.log.write("router: %s ready=%t", s.b.name, s.ready)
		}
		r.mu.Unlock()
	}
}

func (r *router) readyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.daemons {
		if s.ready {
			n++
		}
	}
	return n
}

// pick returns the daemon for a packet. r.mu is held.
func (r *router) pick(zone string, p packet) *balancerVM {
	var inZone, all []*balancerVM
	for _, s := range r.daemons {
		if s.b.zone != zone {
			continue
		}
		all = append(all, s.b)
		if s.ready {
			inZone = append(inZone, s.b)
		}
	}
	if 2*len(inZone) < len(all) {
		inZone = all
	}
	if len(inZone) == 0 {
		return nil
	}
	h := fnv.New64a()
	h.Write([]byte(p.src.String() + ">" + p.dst.String()))
	sum := h.Sum64()
	sum ^= sum >> 29
	sum *= 0xbf58476d1ce4e5b9
	sum ^= sum >> 32
	return inZone[sum%uint64(len(inZone))]
}

func (r *router) forward(zone string, p packet) {
	r.mu.Lock()
	b := r.pick(zone, p)
	r.mu.Unlock()
	if b == nil {
		return
	}
	if p.flags&flagSyn != 0 {
		r.d.onRouted(b, p)
	}
	_, _ = r.conn.WriteToUDPAddrPort(p.encode(), netip.MustParseAddrPort(b.data))
}
