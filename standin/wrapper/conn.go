package wrapper

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// packet is a datagram that waits to be read.
type packet struct {
	from    netip.AddrPort
	payload []byte
}

// Conn is a net.PacketConn at an inner address.
type Conn struct {
	link        *Link
	local, peer netip.AddrPort
	queue       chan packet

	closeOnce sync.Once
	closed    chan struct{}

	refuseOnce sync.Once
	refused    chan struct{}

	heard    atomic.Int64
	deadline deadline
}

var _ net.PacketConn = (*Conn)(nil)

// ReadFrom reads one datagram; what does not fit into b is cut off.
func (c *Conn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case <-c.deadline.expired():
		return 0, nil, os.ErrDeadlineExceeded
	default:
	}
	select {
	case p := <-c.queue:
		return copy(b, p.payload), net.UDPAddrFromAddrPort(p.from), nil
	case <-c.deadline.expired():
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends one datagram to the inner address to.
func (c *Conn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, &net.AddrError{Err: "not a UDP address", Addr: to.String()}
	}
	inner := udp.AddrPort()
	inner = netip.AddrPortFrom(inner.Addr().Unmap(), inner.Port())
	if err := c.link.send(c.local, inner, c.peer, b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close frees the inner address.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.link.remove(c.local)
		close(c.closed)
	})
	return nil
}

// Refused returns a channel that is closed once a packet of the conn was
// refused as administratively prohibited.
func (c *Conn) Refused() <-chan struct{} { return c.refused }

// LocalAddr returns the inner address.
func (c *Conn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.local) }

// SetDeadline sets the deadline of reads; writes do not block.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadline.set(t)
	return nil
}

// SetWriteDeadline does nothing, since writes do not block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// Heard returns when the last packet arrived; it is zero if none has.
func (c *Conn) Heard() time.Time {
	ns := c.heard.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

func (c *Conn) push(p packet) {
	c.heard.Store(time.Now().UnixNano())
	select {
	case c.queue <- p:
	default: // A full queue drops, as a socket does.
	}
}

func (c *Conn) refuse() {
	c.refuseOnce.Do(func() { close(c.refused) })
}

// UDPAddr returns a as the address type that package net uses.
func UDPAddr(a netip.AddrPort) *net.UDPAddr { return net.UDPAddrFromAddrPort(a) }
