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

// namePattern returns the pattern that names of services, targets and zones must
// match. It is compiled on first use, since a balancer doesn't need it for its
// start, which callers wait for.
var namePattern = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
})

// Validate checks names, values, addresses and references between entries. Its
// error is a DocumentError for the first invalid value: the checks run in that
// order, each of them by section and name.
func Validate(d Document) error {
	checks := []func(Document) *DocumentError{
		checkNames,
		checkValues,
		checkServices,
		checkTargets,
	}
	for _, check := range checks {
		if invalid := check(d); invalid != nil {
			return invalid
		}
	}
	return nil
}

// checkNames checks that all names match namePattern.
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
				return newDocumentError("has a name that does not match "+namePattern().String(), section.name, name)
			}
		}
	}
	return nil
}

// checkValues checks the rules in the `validate` tags of the types.
func checkValues(d Document) *DocumentError {
	err := loader.Validate("", d)
	var value *loader.ValueError
	if !errors.As(err, &value) {
		return nil
	}
	// The validator's key, such as targets[bd-01].weight, is turned into a JSON
	// pointer. Names contain no brackets, but may contain dots, which stay as they
	// are.
	key := strings.NewReplacer("[", "/", "]", "", ".", "/").Replace(value.Key())
	if name := firstBracketed(value.Key()); name != "" {
		before, after, _ := strings.Cut(value.Key(), "["+name+"]")
		key = before + "/" + name + strings.ReplaceAll(after, ".", "/")
	}
	return &DocumentError{key: "/" + key, reason: "breaks the rule " + value.Rule()}
}

// firstBracketed returns the text in the first pair of brackets in key, or "".
func firstBracketed(key string) string {
	_, rest, _ := strings.Cut(key, "[")
	name, _, _ := strings.Cut(rest, "]")
	return name
}

// checkServices checks the addresses of services. Two services can't have the same
// address.
func checkServices(d Document) *DocumentError {
	owners := map[netip.AddrPort]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		for _, address := range d.Services[name].Addresses {
			if reason := invalidAddressReason(address); reason != "" {
				return newDocumentError(reason, "services", name, "addresses")
			}
			if owner, taken := owners[address]; taken {
				reason := fmt.Sprintf("has the address %s, which service %q has too", address, owner)
				return newDocumentError(reason, "services", name, "addresses")
			}
			owners[address] = name
		}
	}
	return nil
}

// checkTargets checks the service, zone and addresses of each target. Two targets
// can't have the same address.
func checkTargets(d Document) *DocumentError {
	owners := map[netip.AddrPort]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Targets)) {
		target := d.Targets[name]
		if _, ok := d.Services[target.Service]; !ok {
			return newDocumentError(fmt.Sprintf("names a service that does not exist: %q", target.Service), "targets", name, "service")
		}
		if _, ok := d.AvailabilityZones[target.AvailabilityZone]; !ok {
			reason := fmt.Sprintf("names an availability zone that does not exist: %q", target.AvailabilityZone)
			return newDocumentError(reason, "targets", name, "availability-zone")
		}
		if reason := invalidAddressReason(target.Address); reason != "" {
			return newDocumentError(reason, "targets", name, "address")
		}
		if owner, taken := owners[target.Address]; taken {
			reason := fmt.Sprintf("is the address %s, which target %q has too", target.Address, owner)
			return newDocumentError(reason, "targets", name, "address")
		}
		owners[target.Address] = name
		if target.Health != (netip.AddrPort{}) && invalidAddressReason(target.Health) != "" {
			return newDocumentError(invalidAddressReason(target.Health), "targets", name, "health")
		}
	}
	return nil
}

// invalidAddressReason returns why an address can't be used, or "" for a valid one.
func invalidAddressReason(address netip.AddrPort) string {
	ip := address.Addr()
	switch {
	case !address.IsValid():
		return "has no address"
	case address.Port() == 0:
		return "has an address without a port"
	case ip.Zone() != "" || ip.Is4In6():
		return fmt.Sprintf("has the address %s, which has a zone or is an IPv4-mapped IPv6 address", address)
	case ip.IsUnspecified() || ip.IsMulticast():
		return fmt.Sprintf("has the address %s, which is not unicast", address)
	}
	return ""
}

// newDocumentError returns the error for the value at path.
func newDocumentError(reason string, path ...string) *DocumentError {
	return &DocumentError{key: "/" + strings.Join(path, "/"), reason: reason}
}
