// Package planner computes, from the operators' document, the tables that map
// flow hashes to targets. The tables depend only on the document, so balancers
// with the same revision of the document have the same tables.
//
// # Usage
//
//	p := planner.New(7, document)
//	s, ok := p.Service(netip.MustParseAddrPort("198.51.100.10:443"))
//	if ok {
//		if id := s.Lookup(planner.BucketOf(flow)); id != 0 {
//			address := p.Target(id).Address()
//		}
//	}
//
// The tables are Maglev lookup tables (Eisenbud et al., NSDI 2016). A target's
// number of buckets is proportional to its weight.
package planner

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/operator"
)

// Buckets is the number of buckets in the table of a service. It is a power of
// two, so that every odd step visits all buckets when a table is filled.
const Buckets = 4096

// DefaultIdleTimeout is the idle timeout of services that don't set one.
const DefaultIdleTimeout = 60 * time.Second

// TargetID identifies a target by the hash of its name. 0 means no target.
type TargetID uint32

// ServiceID identifies a service by the hash of its name.
type ServiceID uint32

// NewTargetID returns the identifier of the target called name.
func NewTargetID(name string) TargetID {
	id := TargetID(xxhash.Sum64String(name))
	if id == 0 {
		id = 1
	}
	return id
}

// NewServiceID returns the identifier of the service called name.
func NewServiceID(name string) ServiceID {
	return ServiceID(xxhash.Sum64String(name))
}

// BucketOf returns the bucket, from 0 to Buckets-1, of a flow hash.
func BucketOf(flow uint64) int {
	return int(flow % Buckets)
}

// Target holds the data of a target that forwarding needs. It does not change.
type Target struct {
	id               TargetID
	name             string
	availabilityZone string
	service          ServiceID
	address          netip.AddrPort
	healthAddress    netip.AddrPort
	weight           int
	draining         bool
	zoneOut          bool
}

// ID returns the identifier of the target.
func (t *Target) ID() TargetID { return t.id }

// Name returns the target's name in the operators' document.
func (t *Target) Name() string { return t.name }

// AvailabilityZone returns the availability zone of the target.
func (t *Target) AvailabilityZone() string { return t.availabilityZone }

// Service returns the identifier of the target's service.
func (t *Target) Service() ServiceID { return t.service }

// Address returns the address on which the target's VM receives Geneve packets.
func (t *Target) Address() netip.AddrPort { return t.address }

// HealthAddress returns the address of the target's health endpoint. It is the
// invalid zero AddrPort if the document has none.
func (t *Target) HealthAddress() netip.AddrPort { return t.healthAddress }

// Weight returns the target's weight; a weight of 0 in the document counts as 1.
// The targets of a service receive new flows in proportion to their weights.
func (t *Target) Weight() int { return t.weight }

// ZoneOut reports whether the target's availability zone is in state ZoneOut. Such a
// target receives no packets.
func (t *Target) ZoneOut() bool { return t.zoneOut }

// AcceptsNewFlows reports whether the target accepts new flows: it is not
// draining, and its availability zone is not in state ZoneOut.
func (t *Target) AcceptsNewFlows() bool { return !t.zoneOut && !t.draining }

// Service holds the data of a service that forwarding needs, and its table. It
// does not change.
type Service struct {
	id              ServiceID
	name            string
	protocol        operator.Protocol
	idleTimeout     time.Duration
	coldStart       operator.ColdStart
	table           []TargetID
	active          []TargetID
	weightedTargets []weightedTarget
}

// weightedTarget holds the name and the weight of a target that accepts new
// flows. The table of a service depends on nothing else.
type weightedTarget struct {
	name   string
	weight int
}

// ID returns the identifier of the service.
func (s *Service) ID() ServiceID { return s.id }

// Name returns the service's name in the operators' document.
func (s *Service) Name() string { return s.name }

// Protocol returns the service's protocol, which determines how the first packet
// of a flow is recognised.
func (s *Service) Protocol() operator.Protocol { return s.protocol }

// IdleTimeout returns the time without packets after which a flow is considered
// ended.
func (s *Service) IdleTimeout() time.Duration { return s.idleTimeout }

// ColdStart returns the limit on the flows of a newly started target of the
// service.
func (s *Service) ColdStart() operator.ColdStart { return s.coldStart }

// Lookup returns the target of a bucket, which must be from 0 to Buckets-1. It
// returns 0 if no target of the service accepts new flows.
func (s *Service) Lookup(bucket int) TargetID { return s.table[bucket] }

// SharesTable reports whether s and other share one table in memory, and so assign
// the same target to each bucket. Next shares a table that did not change; other
// services may have equal tables that are not shared, for which SharesTable
// returns false.
func (s *Service) SharesTable(other *Service) bool {
	return &s.table[0] == &other.table[0]
}

// Active returns the targets that accept new flows, sorted by identifier. The
// caller must not modify the slice.
func (s *Service) Active() []TargetID { return s.active }

// Plan holds the services, targets and tables of one revision of the document.
// It does not change and may be read from several goroutines.
type Plan struct {
	// zones lists the availability zones whose targets are included. If it is
	// empty, the targets of all zones are.
	zones     []string
	revision  uint64
	addresses map[netip.AddrPort]*Service
	services  map[ServiceID]*Service
	targets   map[TargetID]*Target
}

// New returns the plan of revision for the document d.
func New(revision uint64, d *operator.Document) *Plan {
	var empty *Plan
	return empty.Next(revision, d)
}

// ForZones returns an empty plan of revision 0. Plans that Next derives from it
// include only the targets in the given availability zones, or all targets if no
// zones are given.
func ForZones(zones ...string) *Plan {
	return &Plan{zones: zones}
}

// Next returns the plan of revision for the document d, limited to the
// availability zones of p. Its tables equal those that New computes for the same
// targets. A service that p already has with the same accepting targets and
// weights shares its table with p, so it need not be computed again. p may be nil.
func (p *Plan) Next(revision uint64, d *operator.Document) *Plan {
	next := &Plan{
		revision:  revision,
		addresses: make(map[netip.AddrPort]*Service),
		services:  make(map[ServiceID]*Service),
		targets:   make(map[TargetID]*Target),
	}
	var previousServices map[ServiceID]*Service
	if p != nil {
		previousServices = p.services
		next.zones = p.zones
	}
	byService := next.addTargets(d)
	for name, service := range d.Services {
		id := NewServiceID(name)
		next.addService(name, service, byService[id], previousServices[id])
	}
	return next
}

// Revision returns the revision of the document that the plan was made from.
func (p *Plan) Revision() uint64 { return p.revision }

// Service returns the service that has the address, and whether there is one.
func (p *Plan) Service(address netip.AddrPort) (*Service, bool) {
	s, ok := p.addresses[address]
	return s, ok
}

// ServiceByID returns the service with the identifier, or nil if the plan has
// none.
func (p *Plan) ServiceByID(id ServiceID) *Service { return p.services[id] }

// Services returns all services by identifier. The caller must not modify the
// map.
func (p *Plan) Services() map[ServiceID]*Service { return p.services }

// Target returns the target with the identifier, or nil if the plan has none.
func (p *Plan) Target(id TargetID) *Target { return p.targets[id] }

// Targets returns all targets by identifier. The caller must not modify the map.
func (p *Plan) Targets() map[TargetID]*Target { return p.targets }

// includesZone reports whether the plan includes the targets in the availability
// zone.
func (p *Plan) includesZone(zone string) bool {
	return len(p.zones) == 0 || slices.Contains(p.zones, zone)
}

// addTargets adds the targets of d that the plan includes, and returns them by
// service.
func (p *Plan) addTargets(d *operator.Document) map[ServiceID][]*Target {
	byService := make(map[ServiceID][]*Target)
	for name, target := range d.Targets {
		if !p.includesZone(target.AvailabilityZone) {
			continue
		}
		t := &Target{
			id:               NewTargetID(name),
			name:             name,
			availabilityZone: target.AvailabilityZone,
			service:          NewServiceID(target.Service),
			address:          target.Address,
			healthAddress:    target.Health,
			weight:           max(target.Weight, 1),
			draining:         target.State == operator.TargetDraining,
			zoneOut:          d.AvailabilityZones[target.AvailabilityZone].State == operator.ZoneOut,
		}
		p.targets[t.id] = t
		byService[t.service] = append(byService[t.service], t)
	}
	return byService
}

// addService adds a service with its targets. previous is the same service in the
// previous plan, or nil.
func (p *Plan) addService(name string, service operator.Service, targets []*Target, previous *Service) {
	s := &Service{
		id:          NewServiceID(name),
		name:        name,
		protocol:    service.Protocol,
		idleTimeout: time.Duration(service.IdleTimeout),
		coldStart:   service.ColdStart,
	}
	if s.idleTimeout == 0 {
		s.idleTimeout = DefaultIdleTimeout
	}
	s.setTargets(targets, previous)
	p.services[s.id] = s
	for _, address := range service.Addresses {
		p.addresses[address] = s
	}
}

// setTargets sets the table and the active targets of s. It reuses those of
// previous, which may be nil, if the accepting targets and their weights are
// unchanged.
func (s *Service) setTargets(targets []*Target, previous *Service) {
	for _, t := range targets {
		if t.AcceptsNewFlows() {
			s.weightedTargets = append(s.weightedTargets, weightedTarget{name: t.name, weight: t.weight})
		}
	}
	slices.SortFunc(s.weightedTargets, func(a, b weightedTarget) int { return strings.Compare(a.name, b.name) })
	if previous != nil && slices.Equal(s.weightedTargets, previous.weightedTargets) {
		s.table = previous.table
		s.active = previous.active
		return
	}
	s.table = newTable(s.weightedTargets)
	for _, t := range s.weightedTargets {
		s.active = append(s.active, NewTargetID(t.name))
	}
	slices.Sort(s.active)
}
