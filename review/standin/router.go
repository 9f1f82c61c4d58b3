package main

import (
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

const (
	readinessInterval = 500 * time.Millisecond
	readinessMisses   = 2
)

// router is the platform's router of one zone. It hashes flows by `mod` over the balancers
// in rotation, or over all of the zone if fewer than half are.
type router struct {
	d         *deployment
	zone      string
	balancers []*balancer

	mu       sync.Mutex
	misses   []int
	rotation []*balancer
}

func (d *deployment) startRouter(zone string) *router {
	r := &router{d: d, zone: zone}
	for _, b := range d.balancers {
		if b.zone == zone {
			r.balancers = append(r.balancers, b)
		}
	}
	r.misses = make([]int, len(r.balancers))
	for i := range r.misses {
		r.misses[i] = readinessMisses
	}
	r.rotation = r.balancers
	for i := range r.balancers {
		d.group.Go(func() { r.check(i) })
	}
	return r
}

// check sends the readiness checks to one balancer, twice a second.
func (r *router) check(i int) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-r.d.ctx.Done():
			return
		case <-ticker.C:
		}
		res, err := client.Get("http://" + r.balancers[i].readyAddress() + "/v1/readiness")
		ok := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			res.Body.Close()
		}
		r.mu.Lock()
		if ok {
			r.misses[i] = 0
		} else {
			r.misses[i]++
		}
		r.update()
		r.mu.Unlock()
	}
}

func (r *router) update() {
	var in []*balancer
	names := ""
	for i, b := range r.balancers {
		if r.misses[i] < readinessMisses {
			in = append(in, b)
			names += " " + b.name
		}
	}
	if 2*len(in) < len(r.balancers) {
		in, names = r.balancers, " all"
	}
	if len(in) != len(r.rotation) {
		r.d.record.line("router of %s: in rotation%s", r.zone, names)
	}
	r.rotation = in
}

// inRotation reports whether the platform counts the balancer as ready.
func (r *router) inRotation(b *balancer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.balancers {
		if other == b {
			return r.misses[i] < readinessMisses
		}
	}
	return false
}

// pick returns the balancer that gets a flow's packets.
func (r *router) pick(f flowID) *balancer {
	h := fnv.New64a()
	_, _ = h.Write([]byte(f.client.String() + f.route.String()))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rotation[h.Sum64()%uint64(len(r.rotation))]
}
