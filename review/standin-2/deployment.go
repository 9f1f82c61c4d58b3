package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// balancerVM is one entry VM with the program under test.
type balancerVM struct {
	name, zone         string
	ip                 netip.Addr
	data, ready, ctl   string
	settingsPath, logs string
	cmd                *exec.Cmd
}

// zoneSize is an availability zone and its number of entry VMs.
type zoneSize struct {
	name     string
	machines int
}

// deployment is a small deployment on loopback addresses: the store, the router, the program
// under test as separate processes, servers and clients.
type deployment struct {
	repository string
	folder     string
	log        *record
	store      *store
	router     *router
	balancers  []*balancerVM
	servers    []*server
	dataPort   uint16
	readyPort  uint16
	ctlPort    uint16
	serverPort uint16
	storeAddr  string
	zones      []zoneSize
	region     string
	cores      float64
	heartbeat  time.Duration
	done       chan struct{}
	// net is the second byte of the deployment's addresses: 127.NET.0.0/16.
	net byte
	// claim is held while the deployment uses its addresses.
	claim net.Listener

	mu         sync.Mutex
	violations []string
	sent       map[string]netip.AddrPort
	runs       map[string]int

	openingHook func(s *server, p packet)
	runHook     func(s *server, request string, client, route netip.AddrPort)
	routedHook  func(b *balancerVM, p packet)
	resetHook   func(f *clientFlow)
	// holders holds the server that holds each open flow, by the client's end and the route.
	holders map[string]*server
}

// newDeployment makes the folder for settings and logs and starts the store and the router.
func newDeployment(log *record, repository string, zones []zoneSize, region string, cores float64, heartbeat time.Duration) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		repository: repository, folder: folder, log: log, store: newStore(log), zones: zones, region: region, cores: cores,
		heartbeat: heartbeat, done: make(chan struct{}), sent: map[string]netip.AddrPort{}, runs: map[string]int{}, holders: map[string]*server{},
	}
	if err := d.claimNetwork(); err != nil {
		return nil, err
	}
	store := netip.AddrFrom4([4]byte{127, d.net, 200, 1})
	ports, err := freePorts(store, 5)
	if err != nil {
		return nil, err
	}
	d.dataPort, d.readyPort, d.ctlPort, d.serverPort = ports[0], ports[1], ports[2], ports[3]
	d.storeAddr = netip.AddrPortFrom(store, ports[4]).String()
	if err := d.store.listen(d.storeAddr); err != nil {
		return nil, err
	}
	go d.store.expire(d.done)
	d.router, err = newRouter(d)
	return d, err
}

// metricsPort is the port at which a balancer serves its metrics, whatever its settings say.
const metricsPort = 9464

// claimNetwork chooses the deployment's addresses, which no other play uses at the same time: they
// would meet at metricsPort.
func (d *deployment) claimNetwork() error {
	const first, count = 64, 128
	for n := range count {
		d.net = byte(first + (os.Getpid()+n)%count)
		claim, err := net.Listen("tcp4", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.net, 200, 3}), metricsPort).String())
		if err == nil {
			d.claim = claim
			return nil
		}
	}
	return errors.New("no loopback network is free")
}

// freePorts returns ports that nothing listens on now at a loopback address.
func freePorts(address netip.Addr, n int) ([]uint16, error) {
	var ports []uint16
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, uint16(l.Addr().(*net.TCPAddr).Port))
	}
	return ports, nil
}

// bounds are those of the site's page.
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
	"lossSlackMs": 200, "configApplyMs": 3000, "backMs": 250, "maxStretchMs": 12000, "warmupOverrun": 1.5, "warmupSlack": 5,
	"evacuateMs": 5000, "recoveryS": 12, "reorderMs": 2000, "flowTtlS": 60,
}

// startBalancers writes the settings of all entry VMs and starts the processes.
func (d *deployment) startBalancers() error {
	n := 0
	for zi, z := range d.zones {
		for i := range z.machines {
			n++
			ip := netip.AddrFrom4([4]byte{127, d.net, byte(zi + 1), byte(10 + i)})
			b := &balancerVM{
				name: fmt.Sprintf("front-%s-%d", z.name, i+1), zone: z.name, ip: ip,
				data:  netip.AddrPortFrom(ip, d.dataPort).String(),
				ready: netip.AddrPortFrom(ip, d.readyPort).String(),
				ctl:   netip.AddrPortFrom(ip, d.ctlPort).String(),
			}
			b.settingsPath = filepath.Join(d.folder, b.name+".json")
			b.logs = filepath.Join(d.folder, b.name+".log")
			d.balancers = append(d.balancers, b)
		}
	}
	for _, b := range d.balancers {
		if err := d.writeSettings(b); err != nil {
			return err
		}
		if err := d.startBalancer(b); err != nil {
			return err
		}
		d.router.add(b)
	}
	return nil
}

// writeSettings writes the settings file of an entry VM in one step.
func (d *deployment) writeSettings(b *balancerVM) error {
	zones := map[string]string{}
	for _, z := range d.zones {
		zones[z.name] = d.region
	}
	var seeds []string
	for _, s := range d.balancers[:min(3, len(d.balancers))] {
		seeds = append(seeds, s.ctl)
	}
	settings := map[string]any{
		"node": b.name, "role": "balancer", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": b.ip.String(), "zone": b.zone, "region": d.region, "zones": zones,
		"listen":        map[string]string{"datagramAddr": b.data, "ready": b.ready, "control": b.ctl},
		"internalPorts": []int{7720, 7735}, "seeds": seeds, "bootstrap": true, "lossCounts": false,
		"limits":    map[string]any{"cpuShare": d.cores, "cpuCores": 1, "memoryMb": 206, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
		"dataDir":   nil,
		"discovery": "platform", "entry": "announce", "heartbeatMs": d.heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": bounds,
		"hash": "mod", "forwarding": "echo",
		"platform": map[string]any{
			"address": d.storeAddr, "forwarding": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(b.settingsPath+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(b.settingsPath+".new", b.settingsPath)
}

// startBalancer starts the command of deploy/system.toml in the repository's root.
func (d *deployment) startBalancer(b *balancerVM) error {
	out, err := os.OpenFile(b.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	b.cmd = exec.Command("target/trefoilspring", "balance")
	b.cmd.Dir = d.repository
	b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TREFOILSPRING_NODE_FILE=" + b.settingsPath}
	b.cmd.Stdout, b.cmd.Stderr = out, out
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return b.cmd.Start()
}

// stop ends all processes that the deployment started, and removes its folder.
func (d *deployment) stop() {
	close(d.done)
	defer d.claim.Close()
	for _, b := range d.balancers {
		if b.cmd != nil && b.cmd.Process != nil {
			_ = b.cmd.Process.Kill()
			_ = b.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("settings and logs:", d.folder)
	}
}

func (d *deployment) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.log.write("BROKEN %s", text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, text)
}

func (d *deployment) broken() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.violations...)
}

func (d *deployment) onSent(request string, route netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent[request] = route
}

func (d *deployment) onRouted(b *balancerVM, p packet) {
	if d.routedHook != nil {
		d.routedHook(b, p)
	}
}

func (d *deployment) onOpening(s *server, p packet) {
	d.log.write("server %s (%s) takes an opening packet of %s to %s, copy %d", s.id, s.service, p.src, p.dst, p.ack)
	if d.openingHook != nil {
		d.openingHook(s, p)
	}
}

// onOpened notes that a flow is open at a server.
func (d *deployment) onOpened(s *server, client, route netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holders[client.String()+">"+route.String()] = s
}

func (d *deployment) holder(client, route netip.AddrPort) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holders[client.String()+">"+route.String()]
}

// onRun records that a server runs a request, and checks that a client sent it once.
func (d *deployment) onRun(s *server, request string, client, route netip.AddrPort) {
	d.log.write("server %s (%s) runs request %s of %s on %s", s.id, s.service, request, client, route)
	d.mu.Lock()
	_, known := d.sent[request]
	d.runs[request]++
	twice := d.runs[request] > 1
	d.mu.Unlock()
	if !known || twice {
		d.violate("UNASKED: server %s runs request %q, sent=%t, run before=%t", s.id, request, known, twice)
	}
	if d.runHook != nil {
		d.runHook(s, request, client, route)
	}
}

// ran reports whether a server ran any attempt of a request.
func (d *deployment) ran(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for try := range maxTries {
		if d.runs[fmt.Sprintf("%s-%d", id, try)] > 0 {
			return true
		}
	}
	return false
}

// route is a route of the configuration, in the platform's format.
type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"`
	Type      string  `json:"type"`
	TimeoutMs float64 `json:"timeoutMs"`
	SloMs     float64 `json:"sloMs"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service"`
	Attempts  int     `json:"maxAttempts"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmupS"`
	ColdPerS   float64 `json:"coldPerS"`
}

type configuration struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

func (d *deployment) configure(c configuration) time.Time {
	c.Limits = map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	data, _ := json.Marshal(c)
	return d.store.set("op/config", data, 0)
}

// routeAddress is an address that clients call; nothing listens there.
func (d *deployment) routeAddress(n byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.net, 210, n}), port)
}

// awaitReady waits until the router has all entry VMs in rotation.
func (d *deployment) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.router.readyCount() == len(d.balancers) {
			return true
		}
	}
	return false
}
