package encapsulator

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// queuedDatagram is a received datagram that has not been read yet.
type queuedDatagram struct {
	from    netip.AddrPort
	payload []byte
}

// Conn is a net.PacketConn that is bound to an inner address of a Tunnel.
type Conn struct {
	tunnel      *Tunnel
	local, peer netip.AddrPort // inner and outer
	queue       chan queuedDatagram

	closeOnce sync.Once
	closed    chan struct{}

	refuseOnce sync.Once
	refused    chan struct{}

	lastReceived atomic.Int64 // in nanoseconds since 1970; 0 if none
	deadline     deadline
}

var _ net.PacketConn = (*Conn)(nil)

// ReadFrom reads one datagram; bytes that do not fit into b are discarded. It
// returns the inner source address, os.ErrDeadlineExceeded after the read deadline,
// and net.ErrClosed after Close.
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

// WriteTo sends one datagram to the inner address to, which must be a *net.UDPAddr.
// It returns net.ErrClosed after Close.
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
	if err := c.tunnel.send(c.local, inner, c.peer, b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close unbinds the inner address, so that it can be opened again.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.tunnel.removeConn(c.local)
		close(c.closed)
	})
	return nil
}

// Refused returns a channel that is closed when an ICMP message reports that a
// datagram of c was refused as administratively prohibited.
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

// LastReceived returns when the last datagram arrived; it is zero if none has.
func (c *Conn) LastReceived() time.Time {
	ns := c.lastReceived.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// enqueue stores a received datagram for ReadFrom, and drops it if the queue is full.
func (c *Conn) enqueue(p queuedDatagram) {
	c.lastReceived.Store(time.Now().UnixNano())
	select {
	case c.queue <- p:
	default: // Drops the datagram, as a socket with a full buffer does.
	}
}

// markRefused closes the channel that Refused returns.
func (c *Conn) markRefused() {
	c.refuseOnce.Do(func() { close(c.refused) })
}

// UDPAddr converts a to the address type of package net.
func UDPAddr(a netip.AddrPort) *net.UDPAddr { return net.UDPAddrFromAddrPort(a) }
