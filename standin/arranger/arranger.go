// Package arranger writes the settings of a whole deployment on one machine:
// the Kettle & Saucer zones, services, targets and balancers, their stand-ins,
// throw-away certificates and the operators' folder.
//
// # Usage
//
//	err := arranger.Plan{Out: "out/demo", Streams: 300, Rate: 60, Seed: 1,
//		BasePort: 21000, Duration: 24 * time.Second}.Write()
package arranger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/operator"
)

// Offsets of ports from the base port.
const (
	platformPort  = 0
	fabricPort    = 2
	balancerPorts = 100
	// minTargetPorts is where the targets' ports start unless balancers need them.
	minTargetPorts = 300
	// portsEach is how many ports a process may use.
	portsEach = 4
)

// Plan says what to write.
type Plan struct {
	// Out is the folder to write to.
	Out string
	// Streams is the number of long-lived streams of all callers.
	Streams int
	// Rate is the number of short requests a second of all callers.
	Rate float64
	Seed uint64
	// BasePort is the first of the ports that are used: about 400, and 4 more for
	// each balancer after the 50th.
	BasePort int
	// Duration is how long the callers send.
	Duration time.Duration
	// Deadline is how long an attempt of a short request may take; 0 stands for 4 s.
	Deadline time.Duration
	// Balancers is the number of balancers; 0 stands for 13.
	Balancers int
	// BookingDesk and MenuPress are the numbers of targets of each service; 0
	// stands for 14 and 4.
	BookingDesk, MenuPress int
	// Drain is how long a balancer that stops goes on forwarding; 0 stands for 3 s.
	Drain time.Duration
	// ExtraServices and ExtraTargets are services and targets without callers and
	// without processes, to make the document as large as a real one.
	ExtraServices, ExtraTargets int
	// ExtraZones is the number of availability zones over which extra services are
	// spread, each with its targets in one; the balancers serve the first of them.
	// 0 spreads the targets over the real zones.
	ExtraZones int
}

// zones are the availability zones.
func zones() []string { return []string{"ne-a", "ne-b", "ne-c"} }

// service is one service of the deployment.
type service struct {
	name, prefix string
	targets      int
	address      string
	// share is the share of the load, in percent.
	share int
}

// The numbers of targets that the deployment has by default.
const (
	bookingDesk = 14
	menuPress   = 4
)

func (p Plan) services() []service {
	return []service{
		{name: "booking-desk", prefix: "bd", targets: cmp.Or(p.BookingDesk, bookingDesk), address: "198.51.100.10:443", share: 75},
		{name: "menu-press", prefix: "mp", targets: cmp.Or(p.MenuPress, menuPress), address: "198.51.100.20:443", share: 25},
	}
}

// Write writes all files.
func (p Plan) Write() error {
	for _, folder := range []string{"settings", "operators", "journals", "logs", "tls"} {
		if err := os.MkdirAll(filepath.Join(p.Out, folder), 0o755); err != nil {
			return errors.Wrapf(err, "making the folder %s", folder)
		}
	}
	steps := []func() error{p.writeOperators, p.writePlatform, p.writeFabric, p.writeBalancers, p.writeTargets, p.writeCallers}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (p Plan) port(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(p.BasePort+n))
}

func (p Plan) targetPorts() int {
	return max(minTargetPorts, balancerPorts+portsEach*p.balancerCount())
}

func (p Plan) path(folder, name string) string { return filepath.Join(p.Out, folder, name) }

func (p Plan) writeJSON(folder, name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encoding %s", name)
	}
	path := p.path(folder, name)
	return errors.Wrapf(os.WriteFile(path, append(data, '\n'), 0o644), "writing %s", path)
}

// zonesFile, servicesFile and targetsFile are the parts of the operators' document.
type zonesFile struct {
	Zones map[string]operator.AvailabilityZone `json:"availability-zones"`
}

type servicesFile struct {
	Services map[string]operator.Service `json:"services"`
}

type targetsFile struct {
	Targets map[string]operator.Target `json:"targets"`
}

// What operators say of a fresh target, and when a silent flow ends.
const (
	coldFlows   = 40
	coldRamp    = 30 * time.Second
	idleTimeout = time.Minute
)

func (p Plan) writeOperators() error {
	in := zonesFile{Zones: map[string]operator.AvailabilityZone{}}
	for _, zone := range zones() {
		in.Zones[zone] = operator.AvailabilityZone{State: operator.ZoneIn}
	}
	served := servicesFile{Services: map[string]operator.Service{}}
	for _, s := range p.services() {
		served.Services[s.name] = operator.Service{
			Addresses:   []netip.AddrPort{netip.MustParseAddrPort(s.address)},
			Protocol:    operator.ProtocolQUIC,
			ColdStart:   operator.ColdStart{Flows: coldFlows, Ramp: operator.Duration(coldRamp)},
			IdleTimeout: operator.Duration(idleTimeout),
		}
	}
	named := targetsFile{Targets: map[string]operator.Target{}}
	for _, t := range p.targets() {
		named.Targets[t.name] = operator.Target{
			Service: t.service.name, AvailabilityZone: t.zone, Address: t.address, Health: t.health,
			State: operator.TargetActive, Weight: 1,
		}
	}
	if err := p.writeJSON("operators", "10-zones.json", in); err != nil {
		return err
	}
	if err := p.writeJSON("operators", "20-services.json", served); err != nil {
		return err
	}
	if err := p.writeJSON("operators", "30-targets.json", named); err != nil {
		return err
	}
	return p.writeExtra()
}

// target is one target of the deployment.
type target struct {
	name, zone      string
	service         service
	address, health netip.AddrPort
}

func (p Plan) targets() []target {
	var all []target
	for _, s := range p.services() {
		for i := range s.targets {
			port := p.targetPorts() + portsEach*len(all)
			all = append(all, target{
				name: fmt.Sprintf("%s-%02d", s.prefix, i+1), zone: zones()[i%len(zones())], service: s,
				address: p.port(port), health: p.port(port + 1),
			})
		}
	}
	return all
}
