package server

import (
	"fmt"
	"net/netip"

	"trefoilspring.example/trefoilspring/peer"
)

// SettingsError reports a value in the settings file that is invalid in itself or
// conflicts with another value.
type SettingsError struct {
	path   string
	key    string
	reason string
}

// Path returns the path of the settings file.
func (e *SettingsError) Path() string { return e.path }

// Key returns the key of the invalid value, such as "peers[0].name".
func (e *SettingsError) Key() string { return e.key }

// Reason returns why the value is invalid.
func (e *SettingsError) Reason() string { return e.reason }

func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: key %q: %s", e.path, e.key, e.reason)
}

// Check checks the rules that go beyond a single field: names and addresses must be
// unique, and the admin address must be on loopback. It returns the first violation as a
// SettingsError, which holds path as the path of the settings file.
func (s *Settings) Check(path string) error {
	c := settingsChecker{path: path, keysByName: map[string]string{}, keysByAddress: map[netip.AddrPort]string{}}
	c.checkName("name", s.Name)
	c.checkAddress("data-address", s.DataAddress)
	c.checkAddress("peer-address", s.PeerAddress)
	c.checkAddress("admin-address", s.AdminAddress)
	if !s.AdminAddress.Addr().IsLoopback() {
		c.setError("admin-address", "must be a loopback address, since it has no access control")
	}
	for i, address := range s.FabricAddresses {
		c.checkAddress(fmt.Sprintf("fabric-addresses[%d]", i), address)
	}
	for i := range s.Peers {
		c.checkPeer(fmt.Sprintf("peers[%d]", i), &s.Peers[i])
	}
	return c.err
}

// settingsChecker keeps the first error, and the key of each name and address that it
// has seen.
type settingsChecker struct {
	path          string
	keysByName    map[string]string
	keysByAddress map[netip.AddrPort]string
	err           error
}

// setError stores an error, unless there is an earlier one.
func (c *settingsChecker) setError(key, reason string) {
	if c.err == nil {
		c.err = &SettingsError{path: c.path, key: key, reason: reason}
	}
}

// checkPeer checks the name and the addresses of a peer.
func (c *settingsChecker) checkPeer(key string, p *peer.Contact) {
	c.checkName(key+".name", p.Name)
	c.checkAddress(key+".data-address", p.DataAddress)
	c.checkAddress(key+".peer-address", p.PeerAddress)
}

// checkName checks that no other key has the same balancer name.
func (c *settingsChecker) checkName(key, name string) {
	if other, taken := c.keysByName[name]; taken {
		c.setError(key, fmt.Sprintf("the name %q is already used by the key %q", name, other))
	}
	c.keysByName[name] = key
}

// checkAddress checks that an address is specific, has a port, and is used by one key
// only. A UDP and a TCP socket could share an address and port, but this is rejected too,
// so that a port number has one purpose and mistakes stay visible.
func (c *settingsChecker) checkAddress(key string, a netip.AddrPort) {
	if !a.IsValid() || a.Addr().IsUnspecified() || a.Port() == 0 {
		c.setError(key, "must be a specific IP address with a port, such as 192.0.2.1:4789")
		return
	}
	if other, taken := c.keysByAddress[a]; taken {
		c.setError(key, fmt.Sprintf("the address %s is already used by the key %q", a, other))
	}
	c.keysByAddress[a] = key
}
