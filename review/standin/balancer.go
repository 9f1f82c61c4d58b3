package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// balancer is one machine with a process of the project's own program, started with the
// command of deploy/system.toml.
type balancer struct {
	d          *deployment
	name, zone string
	ip         netip.Addr
	storeProxy *proxy

	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{}
	stopping  bool
	disturbed time.Time // when it last started, was stopped or was disturbed
}

func (d *deployment) newBalancer(zone string, n int) (*balancer, error) {
	b := &balancer{d: d, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: d.address(netBalancers, n)}
	var err error
	b.storeProxy, err = newProxy(fmt.Sprintf("%s:%d", d.address(netProxies, n), d.port), d.storeAddress(), &d.group)
	if err != nil {
		return nil, err
	}
	d.balancers = append(d.balancers, b)
	return b, nil
}

func (b *balancer) readyAddress() string   { return fmt.Sprintf("%s:%d", b.ip, b.d.port+1) }
func (b *balancer) controlAddress() string { return fmt.Sprintf("%s:%d", b.ip, b.d.port+2) }

// writeSettings writes the settings file in the form of DEPLOY.md.
func (b *balancer) writeSettings() (string, error) {
	d := b.d
	zones := map[string]string{}
	for _, z := range d.zones {
		zones[z] = "region-1"
	}
	var seeds []string
	for _, s := range d.balancers[:min(3, len(d.balancers))] {
		seeds = append(seeds, s.controlAddress())
	}
	settings := map[string]any{
		"node": b.name, "role": "balancer", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": b.ip.String(), "zone": b.zone, "region": "region-1", "zones": zones,
		"listen": map[string]string{
			"datagramAddr": fmt.Sprintf("%s:%d", b.ip, d.port), "ready": b.readyAddress(), "control": b.controlAddress(),
		},
		"internalPorts": []int{int(d.port) + 10, int(d.port) + 25}, "seeds": seeds, "bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.272, "cpuCores": 1, "memoryMb": 206, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "announce", "heartbeatMs": heartbeatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds":         d.bounds.settings(),
		"hash":           "mod", "forwarding": "echo",
		"platform": map[string]any{
			"address": b.storeProxy.listener.Addr().String(), "forwarding": "kv", "writesPerS": 400, "readsPerS": 2000,
			"historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.folder, b.name+".json")
	return path, os.WriteFile(path, data, 0o600)
}

func (b *balancer) start() error {
	path, err := b.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(b.d.folder, b.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(b.d.binary, "balance")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TREFOILSPRING_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	b.mu.Lock()
	b.process, b.ended, b.stopping, b.disturbed = cmd, ended, false, time.Now()
	b.mu.Unlock()
	b.d.record.line("%s started, process %d", b.name, cmd.Process.Pid)
	b.d.group.Go(func() {
		err := cmd.Wait()
		log.Close()
		b.mu.Lock()
		expected := b.stopping
		b.mu.Unlock()
		b.d.record.line("%s ended: %v", b.name, err)
		if !expected {
			b.d.record.line("%s ended by itself", b.name)
		}
		close(ended)
	})
	return nil
}

// graceTime is the time between SIGTERM and SIGKILL.
const graceTime = 6 * time.Second

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (b *balancer) stop() {
	b.mu.Lock()
	b.stopping, b.disturbed = true, time.Now()
	process, ended := b.process, b.ended
	b.mu.Unlock()
	if process == nil {
		return
	}
	b.d.record.line("SIGTERM to %s", b.name)
	_ = process.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		_ = process.Process.Kill()
		<-ended
	}
}

// roll stops the process and starts it again, as planned work does.
func (b *balancer) roll() {
	b.stop()
	time.Sleep(300 * time.Millisecond)
	if b.d.ctx.Err() == nil {
		if err := b.start(); err != nil {
			b.d.record.line("%s could not start: %v", b.name, err)
		}
	}
}

// kill ends the process at the end of the run.
func (b *balancer) kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopping = true
	if b.process != nil {
		_ = b.process.Process.Kill()
	}
}

func (b *balancer) mark() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disturbed = time.Now()
}

// calmFor returns how long nothing has disturbed the machine.
func (b *balancer) calmFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.disturbed)
}
