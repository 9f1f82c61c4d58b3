package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Networks of a run: the third byte of an address.
const (
	netStore = iota + 1
	netServers
	netClients
	netBalancers
	netProxies
	netRoutes
)

// route is a route of the configuration.
type route struct {
	name, service, kind string
	address             netip.AddrPort
}

// flowState is what the servers have seen of a flow.
type flowState struct {
	owner    *server
	openedAt time.Time
	// own and other hold the times of the flow's packets after the opening, by where they went.
	own, other []time.Time
	dropped    bool
}

// deployment is everything of one run.
type deployment struct {
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	record  *record
	trouble bool
	binary  string
	folder  string
	block   byte
	port    uint16
	zones   []string

	store     *store
	http      *http.Server
	balancers []*balancer
	servers   []*server
	clients   []*client
	routers   map[string]*router

	mu      sync.Mutex
	version int
	routes  []route
	flows   map[flowID]*flowState
	// lossShare is the share of flows whose first answer to the opening is lost.
	lossShare float64
	lost      map[flowID]bool
	lastLoss  time.Time
	// datagrams counts what clients and servers sent.
	datagrams atomic.Int64
	bounds    bounds
	// workTime is how long a server works on a request, coldPerS the services' coldPerS.
	workTime time.Duration
	coldPerS float64
	// onReset judges a reset that a client accepted on an open flow.
	onReset func(f *clientFlow, by string, system bool)
}

func newDeployment(recordPath, binary, folder string, trouble bool) (*deployment, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r, trouble: trouble, binary: binary, folder: folder,
		block: byte(64 + rand.IntN(180)), port: uint16(21000 + 40*rand.IntN(200)), zones: []string{"zone-a", "zone-b", "zone-c"},
		store: newStore(), routers: map[string]*router{}, flows: map[flowID]*flowState{}, lost: map[flowID]bool{}, version: 4, bounds: kettleBooking, workTime: 40 * time.Millisecond, coldPerS: 20,
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	l, err := net.Listen("tcp", d.storeAddress())
	if err != nil {
		return nil, err
	}
	d.http = &http.Server{Handler: d.store}
	d.group.Go(func() { _ = d.http.Serve(l) })
	d.group.Go(func() {
		for d.ctx.Err() == nil {
			d.store.expire(time.Now())
			time.Sleep(50 * time.Millisecond)
		}
	})
	return d, nil
}

func (d *deployment) address(net, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.block, byte(net), byte(n + 1)})
}

func (d *deployment) storeAddress() string {
	return fmt.Sprintf("%s:%d", d.address(netStore, 0), d.port)
}

// routeAddress returns the address of route n.
func (d *deployment) routeAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(d.address(netRoutes, n/1000), uint16(8000+n%1000))
}

// writeConfiguration writes the next version of the configuration and returns its number and
// when the store acknowledged it.
func (d *deployment) writeConfiguration(routes []route) (int, time.Time) {
	type routeJSON struct {
		Name        string `json:"name"`
		Host        string `json:"host"`
		Prefix      string `json:"prefix"`
		Type        string `json:"type"`
		TimeoutMs   int    `json:"timeoutMs"`
		SloMs       int    `json:"sloMs"`
		Priority    int    `json:"priority"`
		Service     string `json:"service"`
		MaxAttempts int    `json:"maxAttempts"`
	}
	type serviceJSON struct {
		Name       string  `json:"name"`
		HealthPath string  `json:"healthPath"`
		MaxConns   int     `json:"maxConns"`
		Protocol   string  `json:"protocol"`
		TLS        bool    `json:"tls"`
		WarmupS    float64 `json:"warmupS"`
		ColdPerS   float64 `json:"coldPerS"`
	}
	d.mu.Lock()
	d.version += 1 + rand.IntN(3) // versions increase in uneven steps
	version := d.version
	d.routes = routes
	d.mu.Unlock()
	document := struct {
		Version  int            `json:"version"`
		Routes   []routeJSON    `json:"routes"`
		Services []serviceJSON  `json:"services"`
		Limits   map[string]int `json:"limits"`
	}{Version: version, Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	for _, r := range routes {
		document.Routes = append(document.Routes, routeJSON{
			Name: r.name, Host: r.address.Addr().String(), Prefix: fmt.Sprintf("/%d/", r.address.Port()), Type: r.kind,
			TimeoutMs: 1200, SloMs: 200, Priority: 2, Service: r.service, MaxAttempts: 2,
		})
	}
	for _, s := range []string{"desk", "press"} {
		document.Services = append(document.Services, serviceJSON{Name: s, HealthPath: "/health", MaxConns: 4444, Protocol: "h1", WarmupS: warmup.Seconds(), ColdPerS: d.coldPerS})
	}
	value, err := json.Marshal(document)
	if err != nil {
		panic(err) // only plain values are encoded
	}
	at := d.store.set("op/config", value)
	d.record.line("configuration %d acknowledged: %d routes, %d bytes", version, len(routes), len(value))
	return version, at
}

// nameOf returns the name of the server or balancer that sends from an address.
func (d *deployment) nameOf(a netip.AddrPort) string {
	for _, s := range d.servers {
		if s.address == a {
			return s.name
		}
	}
	for _, b := range d.balancers {
		if b.ip == a.Addr() {
			return b.name
		}
	}
	return a.String()
}

// opened notes that a flow's server has the end of the handshake.
func (d *deployment) opened(id flowID, s *server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.flowState(id)
	if f.owner == nil {
		f.owner, f.openedAt = s, time.Now()
		d.record.line("flow %s open at %s", id, s.name)
	}
}

func (d *deployment) flowState(id flowID) *flowState {
	f := d.flows[id]
	if f == nil {
		f = &flowState{}
		d.flows[id] = f
	}
	return f
}

// arrived notes that a packet after the opening reached a server.
func (d *deployment) arrived(id flowID, s *server, p packet, holds bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.flows[id]
	if f == nil || f.owner == nil {
		return
	}
	if f.owner == s {
		f.own = append(f.own, time.Now())
		return
	}
	f.other = append(f.other, time.Now())
	d.record.line("packet of flow %s, open at %s, reached %s (holds it: %v, bytes: %d)", id, f.owner.name, s.name, holds, len(p.data))
}

// loses reports whether the network loses this answer to an opening: "Datagrams are lost
// occasionally". It loses at most one datagram of a flow.
func (d *deployment) loses(id flowID, s *server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lossShare == 0 || !d.trouble {
		return false
	}
	if _, decided := d.lost[id]; decided {
		return false
	}
	d.lost[id] = rand.Float64() < d.lossShare
	if d.lost[id] {
		d.lastLoss = time.Now()
		d.record.line("LOST: the first answer to the opening of %s, from %s", id, s.name)
	}
	return d.lost[id]
}

// wasReset is told of each reset that a client accepts.
func (d *deployment) wasReset(f *clientFlow, by string, system bool) {
	d.record.line("client accepts a reset of %s from %s (the system's own: %v, open: %v)", f.id, by, system, f.isOpen)
	if d.onReset != nil {
		d.onReset(f, by, system)
	}
}

// start starts everything and waits until the balancers are ready.
func (d *deployment) start(balancersPerZone, deskPerZone, pressServers, clientsPerZone int, routes []route) error {
	d.writeConfiguration(routes)
	n := 0
	for _, z := range d.zones {
		for range deskPerZone {
			if _, err := d.startServer("desk", z, n, false); err != nil {
				return err
			}
			n++
		}
	}
	for i := range pressServers {
		if _, err := d.startServer("press", d.zones[i%len(d.zones)], n, false); err != nil {
			return err
		}
		n++
	}
	n = 0
	for _, z := range d.zones {
		for range balancersPerZone {
			if _, err := d.newBalancer(z, n); err != nil {
				return err
			}
			n++
		}
	}
	for _, b := range d.balancers {
		if err := b.start(); err != nil {
			return err
		}
	}
	for _, z := range d.zones {
		d.routers[z] = d.startRouter(z)
	}
	n = 0
	for _, z := range d.zones {
		for range clientsPerZone {
			if _, err := d.startClient(z, n); err != nil {
				return err
			}
			n++
		}
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, b := range d.balancers {
			if d.routers[b.zone].inRotation(b) {
				ready++
			}
		}
		if ready == len(d.balancers) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d balancers became ready", ready, len(d.balancers))
		}
	}
}

// end ends all processes and stand-ins.
func (d *deployment) end() {
	d.cancel()
	for _, b := range d.balancers {
		b.kill()
		b.storeProxy.close()
	}
	for _, c := range d.clients {
		c.conn.Close()
	}
	d.http.Close()
	done := make(chan struct{})
	go func() { d.group.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
	d.record.file.Close()
	os.RemoveAll(d.folder)
}
