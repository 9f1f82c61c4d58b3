package server

import (
	"fmt"
	"net/netip"

	"trefoilspring.example/trefoilspring/peer"
)

// SettingsError reports settings that don't fit together.
type SettingsError struct {
	path   string
	key    string
	reason string
}

// Path returns the settings file.
func (e *SettingsError) Path() string { return e.path }

// Key returns the key whose value is at fault.
func (e *SettingsError) Key() string { return e.key }

// Reason returns what is wrong with the value.
func (e *SettingsError) Reason() string { return e.reason }

func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: key %q: %s", e.path, e.key, e.reason)
}

// Check checks what the values say together; path only serves the errors, which
// are SettingsErrors.
func (s *Settings) Check(path string) error {
	c := checker{path: path, names: map[string]string{}, addresses: map[netip.AddrPort]string{}}
	c.name("name", s.Name)
	c.address("data-address", s.DataAddress)
	c.address("peer-address", s.PeerAddress)
	c.address("admin-address", s.AdminAddress)
	if !s.AdminAddress.Addr().IsLoopback() {
		c.fail("admin-address", "must be a loopback address, since it has no access control")
	}
	for i, address := range s.FabricAddresses {
		c.address(fmt.Sprintf("fabric-addresses[%d]", i), address)
	}
	for i := range s.Peers {
		c.peer(fmt.Sprintf("peers[%d]", i), &s.Peers[i])
	}
	return c.err
}

// checker keeps the first fault.
type checker struct {
	path      string
	names     map[string]string
	addresses map[netip.AddrPort]string
	err       error
}

func (c *checker) fail(key, reason string) {
	if c.err == nil {
		c.err = &SettingsError{path: c.path, key: key, reason: reason}
	}
}

func (c *checker) peer(key string, p *peer.Contact) {
	c.name(key+".name", p.Name)
	c.address(key+".data-address", p.DataAddress)
	c.address(key+".peer-address", p.PeerAddress)
}

func (c *checker) name(key, name string) {
	if other, taken := c.names[name]; taken {
		c.fail(key, fmt.Sprintf("the name %q is that of %q already", name, other))
	}
	c.names[name] = key
}

// address checks an address of its own for each key. UDP and TCP ports differ,
// but one number for one purpose keeps mistakes visible.
func (c *checker) address(key string, a netip.AddrPort) {
	if !a.IsValid() || a.Addr().IsUnspecified() || a.Port() == 0 {
		c.fail(key, "must be one address with a port, such as 192.0.2.1:4789")
		return
	}
	if other, taken := c.addresses[a]; taken {
		c.fail(key, fmt.Sprintf("the address %s is that of %q already", a, other))
	}
	c.addresses[a] = key
}
