// Package planner turns the operators' document into tables from flow hashes to
// targets. A plan depends on its document alone, so that balancers which hold
// the same revision hold the same tables.
//
// # Usage
//
//	p := planner.New(7, document)
//	s, ok := p.Service(netip.MustParseAddrPort("198.51.100.10:443"))
//	if ok {
//		target := s.Lookup(planner.BucketOf(flow))
//		address := p.Target(target).Address()
//	}
//
// The tables are filled as in Maglev (Eisenbud et al., NSDI 2016), with turns
// in proportion to the targets' weights.
package planner

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/operator"
)

// Buckets is the number of buckets of a service, a power of two.
const Buckets = 4096

// DefaultIdleTimeout applies to services that name none.
const DefaultIdleTimeout = 60 * time.Second

// TargetID identifies a target by the hash of its name; 0 stands for none.
type TargetID uint32

// ServiceID identifies a service by the hash of its name.
type ServiceID uint32

// NewTargetID returns the identifier of the target with that name.
func NewTargetID(name string) TargetID {
	id := TargetID(xxhash.Sum64String(name))
	if id == 0 {
		id = 1
	}
	return id
}

// NewServiceID returns the identifier of the service with that name.
func NewServiceID(name string) ServiceID {
	return ServiceID(xxhash.Sum64String(name))
}

// BucketOf returns the bucket of a flow hash.
func BucketOf(flow uint64) int {
	return int(flow % Buckets)
}

// Target is a target as the data path sees it.
type Target struct {
	id       TargetID
	name     string
	zone     string
	service  ServiceID
	address  netip.AddrPort
	health   netip.AddrPort
	weight   int
	draining bool
	out      bool
}

// ID returns the identifier of the target.
func (t *Target) ID() TargetID { return t.id }

// Name returns the operators' name of the target.
func (t *Target) Name() string { return t.name }

// AvailabilityZone returns the availability zone of the target.
func (t *Target) AvailabilityZone() string { return t.zone }

// Service returns the service that the target serves.
func (t *Target) Service() ServiceID { return t.service }

// Address returns where the target's VM receives Geneve.
func (t *Target) Address() netip.AddrPort { return t.address }

// Health returns the address of the health endpoint; it may be invalid.
func (t *Target) Health() netip.AddrPort { return t.health }

// Weight returns the relative share of new flows.
func (t *Target) Weight() int { return t.weight }

// Out reports whether the target's availability zone was taken out: it then
// receives no packet.
func (t *Target) Out() bool { return t.out }

// TakesFlows reports whether the target takes new flows.
func (t *Target) TakesFlows() bool { return !t.out && !t.draining }

// Service is a service as the data path sees it.
type Service struct {
	id        ServiceID
	name      string
	protocol  operator.Protocol
	idle      time.Duration
	coldStart operator.ColdStart
	table     []TargetID
	active    []TargetID
	shares    []share
}

// share is what a target's part of the table depends on.
type share struct {
	name   string
	weight int
}

// ID returns the identifier of the service.
func (s *Service) ID() ServiceID { return s.id }

// Name returns the operators' name of the service.
func (s *Service) Name() string { return s.name }

// Protocol returns how the service's opening packets are known.
func (s *Service) Protocol() operator.Protocol { return s.protocol }

// IdleTimeout returns after how long without packets a flow counts as ended.
func (s *Service) IdleTimeout() time.Duration { return s.idle }

// ColdStart returns what a fresh target of the service may carry.
func (s *Service) ColdStart() operator.ColdStart { return s.coldStart }

// Lookup returns the target of a bucket, or 0 where no target takes flows.
func (s *Service) Lookup(bucket int) TargetID { return s.table[bucket] }

// SameTable reports whether the other service gives each bucket the same target.
// It is sure only of plans made by Next from each other; false may be wrong.
func (s *Service) SameTable(other *Service) bool {
	return &s.table[0] == &other.table[0]
}

// Active returns the targets that take new flows, in the order of their
// identifiers. The caller must not change it.
func (s *Service) Active() []TargetID { return s.active }

// Plan is one revision of the tables. It does not change and may be read from
// several goroutines.
type Plan struct {
	zones     []string
	revision  uint64
	addresses map[netip.AddrPort]*Service
	services  map[ServiceID]*Service
	targets   map[TargetID]*Target
}

// New returns the plan of a document.
func New(revision uint64, d *operator.Document) *Plan {
	var none *Plan
	return none.Next(revision, d)
}

// Within returns an empty plan of revision 0. It and the plans made from it by
// Next leave out all targets but those in the availability zones; without any,
// they leave out none.
func Within(zones ...string) *Plan {
	return &Plan{zones: zones}
}

// Next returns the plan of the next document. It equals New, but shares the
// tables of services whose targets and weights are the same with p, which may be
// nil.
func (p *Plan) Next(revision uint64, d *operator.Document) *Plan {
	next := &Plan{
		revision:  revision,
		addresses: make(map[netip.AddrPort]*Service),
		services:  make(map[ServiceID]*Service),
		targets:   make(map[TargetID]*Target),
	}
	var earlier map[ServiceID]*Service
	if p != nil {
		earlier = p.services
		next.zones = p.zones
	}
	byService := next.addTargets(d)
	for name, service := range d.Services {
		id := NewServiceID(name)
		next.addService(name, service, byService[id], earlier[id])
	}
	return next
}

// Revision returns the revision of the document.
func (p *Plan) Revision() uint64 { return p.revision }

// Service returns the service with that address.
func (p *Plan) Service(address netip.AddrPort) (*Service, bool) {
	s, ok := p.addresses[address]
	return s, ok
}

// ServiceByID returns the service with that identifier, or nil.
func (p *Plan) ServiceByID(id ServiceID) *Service { return p.services[id] }

// Services returns all services. The caller must not change the map.
func (p *Plan) Services() map[ServiceID]*Service { return p.services }

// Target returns the target with that identifier, or nil where the document
// has none.
func (p *Plan) Target(id TargetID) *Target { return p.targets[id] }

// Targets returns all targets. The caller must not change the map.
func (p *Plan) Targets() map[TargetID]*Target { return p.targets }

func (p *Plan) covers(zone string) bool {
	return len(p.zones) == 0 || slices.Contains(p.zones, zone)
}

func (p *Plan) addTargets(d *operator.Document) map[ServiceID][]*Target {
	byService := make(map[ServiceID][]*Target)
	for name, target := range d.Targets {
		if !p.covers(target.AvailabilityZone) {
			continue
		}
		t := &Target{
			id:       NewTargetID(name),
			name:     name,
			zone:     target.AvailabilityZone,
			service:  NewServiceID(target.Service),
			address:  target.Address,
			health:   target.Health,
			weight:   max(target.Weight, 1),
			draining: target.State == operator.TargetDraining,
			out:      d.AvailabilityZones[target.AvailabilityZone].State == operator.ZoneOut,
		}
		p.targets[t.id] = t
		byService[t.service] = append(byService[t.service], t)
	}
	return byService
}

func (p *Plan) addService(name string, service operator.Service, targets []*Target, earlier *Service) {
	s := &Service{
		id:        NewServiceID(name),
		name:      name,
		protocol:  service.Protocol,
		idle:      time.Duration(service.IdleTimeout),
		coldStart: service.ColdStart,
	}
	if s.idle == 0 {
		s.idle = DefaultIdleTimeout
	}
	s.setTargets(targets, earlier)
	p.services[s.id] = s
	for _, address := range service.Addresses {
		p.addresses[address] = s
	}
}

func (s *Service) setTargets(targets []*Target, earlier *Service) {
	for _, t := range targets {
		if t.TakesFlows() {
			s.shares = append(s.shares, share{name: t.name, weight: t.weight})
		}
	}
	slices.SortFunc(s.shares, func(a, b share) int { return strings.Compare(a.name, b.name) })
	if earlier != nil && slices.Equal(s.shares, earlier.shares) {
		s.table = earlier.table
		s.active = earlier.active
		return
	}
	s.table = fill(s.shares)
	for _, share := range s.shares {
		s.active = append(s.active, NewTargetID(share.name))
	}
	slices.Sort(s.active)
}
