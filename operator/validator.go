package operator

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/loader"
)

// namePattern returns the form of the names of services, targets and zones. It is
// compiled when it is first needed, since a balancer needs none while callers wait for
// its start.
var namePattern = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
})

// Validate checks the values and cross references of d. Its error is a
// DocumentError, the first by key.
func Validate(d Document) error {
	checks := []func(Document) *DocumentError{
		checkNames,
		checkValues,
		checkServices,
		checkTargets,
	}
	for _, check := range checks {
		if fault := check(d); fault != nil {
			return fault
		}
	}
	return nil
}

func checkNames(d Document) *DocumentError {
	sections := []struct {
		name string
		keys []string
	}{
		{"availability-zones", slices.Sorted(maps.Keys(d.AvailabilityZones))},
		{"services", slices.Sorted(maps.Keys(d.Services))},
		{"targets", slices.Sorted(maps.Keys(d.Targets))},
	}
	for _, section := range sections {
		for _, name := range section.keys {
			if !namePattern().MatchString(name) {
				return fault("has a name that does not match "+namePattern().String(), section.name, name)
			}
		}
	}
	return nil
}

// checkValues checks the ranges that the tags of the types state.
func checkValues(d Document) *DocumentError {
	err := loader.Check("", d)
	var value *loader.ValueError
	if !errors.As(err, &value) {
		return nil
	}
	// Names have no brackets, so that the notation can be turned into a pointer.
	key := strings.NewReplacer("[", "/", "]", "", ".", "/").Replace(value.Key())
	if name := bracketed(value.Key()); name != "" {
		before, after, _ := strings.Cut(value.Key(), "["+name+"]")
		key = before + "/" + name + strings.ReplaceAll(after, ".", "/")
	}
	return &DocumentError{key: "/" + key, reason: "breaks the rule " + value.Rule()}
}

// bracketed returns what stands in the first pair of brackets.
func bracketed(key string) string {
	_, rest, _ := strings.Cut(key, "[")
	name, _, _ := strings.Cut(rest, "]")
	return name
}

func checkServices(d Document) *DocumentError {
	owners := map[netip.AddrPort]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		for _, address := range d.Services[name].Addresses {
			if reason := addressFault(address); reason != "" {
				return fault(reason, "services", name, "addresses")
			}
			if owner, taken := owners[address]; taken {
				reason := fmt.Sprintf("has the address %s, which service %q has too", address, owner)
				return fault(reason, "services", name, "addresses")
			}
			owners[address] = name
		}
	}
	return nil
}

func checkTargets(d Document) *DocumentError {
	owners := map[netip.AddrPort]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Targets)) {
		target := d.Targets[name]
		if _, ok := d.Services[target.Service]; !ok {
			return fault(fmt.Sprintf("names no service: %q", target.Service), "targets", name, "service")
		}
		if _, ok := d.AvailabilityZones[target.AvailabilityZone]; !ok {
			reason := fmt.Sprintf("names no availability zone: %q", target.AvailabilityZone)
			return fault(reason, "targets", name, "availability-zone")
		}
		if reason := addressFault(target.Address); reason != "" {
			return fault(reason, "targets", name, "address")
		}
		if owner, taken := owners[target.Address]; taken {
			reason := fmt.Sprintf("is the address %s, which target %q has too", target.Address, owner)
			return fault(reason, "targets", name, "address")
		}
		owners[target.Address] = name
		if target.Health != (netip.AddrPort{}) && addressFault(target.Health) != "" {
			return fault(addressFault(target.Health), "targets", name, "health")
		}
	}
	return nil
}

// addressFault says why an address can't be used; it is empty for a good one.
func addressFault(address netip.AddrPort) string {
	ip := address.Addr()
	switch {
	case !address.IsValid():
		return "has no address"
	case address.Port() == 0:
		return "has an address without a port"
	case ip.Zone() != "" || ip.Is4In6():
		return fmt.Sprintf("has the address %s, which is not plain IPv4 or IPv6", address)
	case ip.IsUnspecified() || ip.IsMulticast():
		return fmt.Sprintf("has the address %s, which is not unicast", address)
	}
	return ""
}

func fault(reason string, path ...string) *DocumentError {
	return &DocumentError{key: "/" + strings.Join(path, "/"), reason: reason}
}
