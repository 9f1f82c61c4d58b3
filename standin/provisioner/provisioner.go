// Package provisioner writes the settings of a whole deployment on one machine: the
// zones, services and targets of the organisation Kettle & Saucer as operators
// write them, the settings of the balancers and of the stand-ins for the platform,
// the network fabric, the targets and the callers, and temporary certificates.
//
// # Usage
//
//	err := provisioner.Plan{OutputFolder: "out/demo", Streams: 300, RequestRate: 60,
//		Seed: 1, BasePort: 21000, Duration: 24 * time.Second}.Write()
package provisioner

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

// Offsets from Plan.BasePort. Where one process has several ports, they follow the
// one that is given here.
const (
	platformPortOffset = 0
	fabricPortOffset   = 2
	balancerPortOffset = 100
	// minTargetPortOffset is the lowest first port of the targets. With more than
	// 50 balancers, the targets' ports start after those of the balancers.
	minTargetPortOffset = 300
	// portsPerProcess is how many ports are reserved for a balancer or a target.
	portsPerProcess = 4
)

// Plan describes a deployment.
type Plan struct {
	// OutputFolder is the folder to write to. It is created if it does not exist.
	OutputFolder string
	// Streams is the number of long-lived streams of all callers together.
	Streams int
	// RequestRate is the number of short requests a second of all callers together.
	RequestRate float64
	// Seed is the seed of the fabric and of the first caller; each further caller
	// has the next number.
	Seed uint64
	// BasePort is the first of the ports that the deployment uses: about 400, and 4
	// more for each balancer after the 50th.
	BasePort int
	// Duration is how long the callers send requests.
	Duration time.Duration
	// Deadline is how long an attempt of a short request may take; 0 stands for the
	// callers' default of 4 s.
	Deadline time.Duration
	// Balancers is the number of balancers; 0 stands for 13.
	Balancers int
	// BookingDeskTargets and MenuPressTargets are the numbers of targets of each
	// service; 0 stands for 14 and 4.
	BookingDeskTargets, MenuPressTargets int
	// DrainTime is how long a balancer goes on forwarding after it was told to stop;
	// 0 stands for 3 s.
	DrainTime time.Duration
	// ExtraServices and ExtraTargets are the numbers of services and targets that
	// have no callers and no processes. They make the operators' document as large
	// as that of a real deployment.
	ExtraServices, ExtraTargets int
	// ExtraZones is the number of further availability zones, for extra targets
	// only. All targets of an extra service are in the same zone. Of the extra
	// zones, the balancers serve only the first. 0 spreads the extra targets over
	// the zones of the other targets.
	ExtraZones int
}

// zones returns the names of the availability zones.
func zones() []string { return []string{"ne-a", "ne-b", "ne-c"} }

// service is one service of the deployment. The names of its targets begin with
// prefix.
type service struct {
	name, prefix string
	targetCount  int
	address      string
	// loadPercent is the part of the callers' load that this service gets, in percent.
	loadPercent int
}

// The default numbers of targets of each service.
const (
	defaultBookingDeskTargets = 14
	defaultMenuPressTargets   = 4
)

// services returns the services that callers send requests to.
func (p Plan) services() []service {
	return []service{
		{name: "booking-desk", prefix: "bd", targetCount: cmp.Or(p.BookingDeskTargets, defaultBookingDeskTargets), address: "198.51.100.10:443", loadPercent: 75},
		{name: "menu-press", prefix: "mp", targetCount: cmp.Or(p.MenuPressTargets, defaultMenuPressTargets), address: "198.51.100.20:443", loadPercent: 25},
	}
}

// Write writes all files of the deployment, to folders in p.OutputFolder: settings, one
// file for each process; operators, the operators' document; tls, the certificates. The
// folders journals and logs stay empty for the processes.
func (p Plan) Write() error {
	for _, folder := range []string{"settings", "operators", "journals", "logs", "tls"} {
		if err := os.MkdirAll(filepath.Join(p.OutputFolder, folder), 0o755); err != nil {
			return errors.Wrapf(err, "creating the folder %s", folder)
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

// address returns the local address with the port at an offset from the base port.
func (p Plan) address(offset int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(p.BasePort+offset))
}

// targetPortOffset returns the offset of the targets' first port.
func (p Plan) targetPortOffset() int {
	return max(minTargetPortOffset, balancerPortOffset+portsPerProcess*p.balancerCount())
}

// path returns the path of a file in one of the deployment's folders.
func (p Plan) path(folder, name string) string { return filepath.Join(p.OutputFolder, folder, name) }

// writeJSON writes v as JSON to a file in one of the deployment's folders.
func (p Plan) writeJSON(folder, name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encoding %s", name)
	}
	path := p.path(folder, name)
	return errors.Wrapf(os.WriteFile(path, append(data, '\n'), 0o644), "writing %s", path)
}

// zonesFile, servicesFile and targetsFile are files of the operators' document, which
// balancers read as one.
type zonesFile struct {
	Zones map[string]operator.AvailabilityZone `json:"availability-zones"`
}

type servicesFile struct {
	Services map[string]operator.Service `json:"services"`
}

type targetsFile struct {
	Targets map[string]operator.Target `json:"targets"`
}

// coldStartFlowLimit and coldStartDuration are the settings of a cold start: the
// number of flows that a target may have when it starts, and how long it takes to
// become warm.
// idleTimeout is how long a flow may be without packets before it ends.
const (
	coldStartFlowLimit = 40
	coldStartDuration  = 30 * time.Second
	idleTimeout        = time.Minute
)

// writeOperators writes the operators' document.
func (p Plan) writeOperators() error {
	zonesPart := zonesFile{Zones: map[string]operator.AvailabilityZone{}}
	for _, zone := range zones() {
		zonesPart.Zones[zone] = operator.AvailabilityZone{State: operator.ZoneIn}
	}
	servicesPart := servicesFile{Services: map[string]operator.Service{}}
	for _, s := range p.services() {
		servicesPart.Services[s.name] = operator.Service{
			Addresses:   []netip.AddrPort{netip.MustParseAddrPort(s.address)},
			Protocol:    operator.ProtocolQUIC,
			ColdStart:   operator.ColdStart{Flows: coldStartFlowLimit, Ramp: operator.Duration(coldStartDuration)},
			IdleTimeout: operator.Duration(idleTimeout),
		}
	}
	targetsPart := targetsFile{Targets: map[string]operator.Target{}}
	for _, t := range p.targets() {
		targetsPart.Targets[t.name] = operator.Target{
			Service: t.service.name, AvailabilityZone: t.zone, Address: t.address, Health: t.health,
			State: operator.TargetActive, Weight: 1,
		}
	}
	if err := p.writeJSON("operators", "10-zones.json", zonesPart); err != nil {
		return err
	}
	if err := p.writeJSON("operators", "20-services.json", servicesPart); err != nil {
		return err
	}
	if err := p.writeJSON("operators", "30-targets.json", targetsPart); err != nil {
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

// targets returns the targets of all services, assigned to the zones in turn.
func (p Plan) targets() []target {
	var all []target
	for _, s := range p.services() {
		for i := range s.targetCount {
			offset := p.targetPortOffset() + portsPerProcess*len(all)
			all = append(all, target{
				name: fmt.Sprintf("%s-%02d", s.prefix, i+1), zone: zones()[i%len(zones())], service: s,
				address: p.address(offset), health: p.address(offset + 1),
			})
		}
	}
	return all
}
