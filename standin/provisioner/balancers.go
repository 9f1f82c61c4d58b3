package provisioner

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/standin/issuer"
)

// defaultDrainTime applies where Plan.DrainTime is 0.
const defaultDrainTime = 3 * time.Second

// defaultBalancers applies where Plan.Balancers is 0.
const defaultBalancers = 13

// balancerCount returns the number of balancers.
func (p Plan) balancerCount() int {
	if p.Balancers == 0 {
		return defaultBalancers
	}
	return p.Balancers
}

// balancer is one balancer of the deployment.
type balancer struct {
	name, zone        string
	data, peer, admin netip.AddrPort
}

// balancers returns all balancers, assigned to the zones in turn.
func (p Plan) balancers() []balancer {
	all := make([]balancer, 0, p.balancerCount())
	for i := range p.balancerCount() {
		zone := zones()[i%len(zones())]
		offset := balancerPortOffset + portsPerProcess*i
		all = append(all, balancer{
			name: fmt.Sprintf("lb-%s-%d", zone, i/len(zones())+1), zone: zone,
			data: p.address(offset), peer: p.address(offset + 1), admin: p.address(offset + 2),
		})
	}
	return all
}

// balancerSettings are the settings that `trefoilspring serve` reads.
type balancerSettings struct {
	Name             string            `json:"name"`
	AvailabilityZone string            `json:"availability-zone"`
	DataAddress      netip.AddrPort    `json:"data-address"`
	PeerAddress      netip.AddrPort    `json:"peer-address"`
	AdminAddress     netip.AddrPort    `json:"admin-address"`
	FabricAddresses  []netip.AddrPort  `json:"fabric-addresses"`
	Platform         string            `json:"platform"`
	ServedZones      []string          `json:"served-zones,omitempty"`
	Peers            []peerSettings    `json:"peers"`
	TLS              tlsSettings       `json:"tls"`
	Drain            operator.Duration `json:"drain"`
}

// peerSettings describe one of the other balancers.
type peerSettings struct {
	Name             string         `json:"name"`
	AvailabilityZone string         `json:"availability-zone"`
	DataAddress      netip.AddrPort `json:"data-address"`
	PeerAddress      netip.AddrPort `json:"peer-address"`
}

// tlsSettings are the paths of the PEM files that a balancer needs to talk to others.
type tlsSettings struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// writeBalancers writes the settings and the certificates of all balancers.
func (p Plan) writeBalancers() error {
	authority, err := issuer.New()
	if err != nil {
		return err
	}
	authorityPath := p.path("tls", "authority.pem")
	if err := authority.Write(authorityPath); err != nil {
		return err
	}
	all := p.balancers()
	for _, b := range all {
		files := tlsSettings{
			Certificate: p.path("tls", b.name+".pem"),
			Key:         p.path("tls", b.name+".key"),
			Authority:   authorityPath,
		}
		if err := authority.Issue(issuer.Subject{Name: b.name, Address: b.peer.Addr()}, files.Certificate, files.Key); err != nil {
			return err
		}
		if err := p.writeJSON("settings", "balancer-"+b.name+".json", p.balancerSettings(b, all, files)); err != nil {
			return err
		}
	}
	return nil
}

// balancerSettings returns the settings of balancer b, with all others as its peers.
func (p Plan) balancerSettings(b balancer, all []balancer, files tlsSettings) balancerSettings {
	s := balancerSettings{
		Name: b.name, AvailabilityZone: b.zone,
		DataAddress: b.data, PeerAddress: b.peer, AdminAddress: b.admin,
		FabricAddresses: []netip.AddrPort{p.address(fabricPortOffset)},
		Platform:        "http://" + p.address(platformPortOffset).String(),
		ServedZones:     p.servedZones(),
		TLS:             files, Drain: operator.Duration(cmp.Or(p.DrainTime, defaultDrainTime)),
	}
	for _, other := range all {
		if other.name != b.name {
			s.Peers = append(s.Peers, peerSettings{
				Name: other.name, AvailabilityZone: other.zone, DataAddress: other.data, PeerAddress: other.peer,
			})
		}
	}
	return s
}
