package encapsulator

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/ipv4"
)

// Sizes of buffers and queues.
const (
	socketBufferBytes  = 8 << 20
	maxPacketBytes     = 2048 // Geneve header and inner packet
	batchPackets       = 64   // read with one system call
	connQueueDatagrams = 512
)

// Tunnel is an outer UDP socket and the conns that are bound to inner addresses on
// it. The callbacks may be nil, are set before Run, and are called by Run.
type Tunnel struct {
	// OnUnknownDestination is called for each packet to whose inner destination no
	// conn is bound.
	OnUnknownDestination func(Datagram)
	// OnNewSource is called for the first packet from each inner source address that
	// is delivered to a conn.
	OnNewSource func(source netip.AddrPort, now time.Time)
	// OnPacket is called for each packet that arrives at the socket, also if it is
	// malformed or dropped.
	OnPacket func(now time.Time)

	socket  *net.UDPConn
	dropAll atomic.Bool

	mu    sync.RWMutex
	conns map[netip.AddrPort]*Conn

	// seenSources is used only by the goroutine that reads the socket.
	seenSources map[netip.AddrPort]struct{}
}

// Listen opens a tunnel whose outer socket is bound to address. It returns an error
// if the address can't be listened on.
func Listen(address string) (*Tunnel, error) {
	socket, err := ListenUDP(address)
	if err != nil {
		return nil, err
	}
	return &Tunnel{socket: socket, conns: map[netip.AddrPort]*Conn{}, seenSources: map[netip.AddrPort]struct{}{}}, nil
}

// ListenUDP opens a UDP socket with buffers of 8 MiB, or as large as the kernel
// allows. It returns an error if the address can't be listened on.
func ListenUDP(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolving %s", address)
	}
	socket, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	// The kernel limits the sizes without returning an error.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return socket, nil
}

// Address returns the outer address.
func (t *Tunnel) Address() netip.AddrPort {
	return t.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetDropAll makes the tunnel drop every packet in both directions, until it is
// called with false.
func (t *Tunnel) SetDropAll(on bool) { t.dropAll.Store(on) }

// Open returns a conn that is bound to the inner address local and sends its packets
// to the outer address peer. It returns an error if another conn is bound to local.
func (t *Tunnel) Open(local, peer netip.AddrPort) (*Conn, error) {
	c := &Conn{
		tunnel: t, local: local, peer: peer,
		queue: make(chan queuedDatagram, connQueueDatagrams), closed: make(chan struct{}), refused: make(chan struct{}),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.conns[local]; taken {
		return nil, errors.Newf("the inner address %s is in use", local)
	}
	t.conns[local] = c
	return c, nil
}

// Run delivers packets to the conns until ctx ends, and closes the socket then. It
// returns an error if a read fails before that.
func (t *Tunnel) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.socket.Close() })
	defer stop()
	err := ReadPackets(t.socket, func(data []byte, _ netip.AddrPort) { t.deliver(data) })
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// ReadPackets reads packets from socket in batches and calls handle for each, until
// a read fails; it returns that error. The slice data is valid only during the call.
func ReadPackets(socket *net.UDPConn, handle func(data []byte, from netip.AddrPort)) error {
	reader := ipv4.NewPacketConn(socket)
	messages := make([]ipv4.Message, batchPackets)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxPacketBytes)}
	}
	for {
		n, err := reader.ReadBatch(messages, 0)
		if err != nil {
			return errors.Wrap(err, "reading packets from the outer socket")
		}
		for _, m := range messages[:n] {
			handle(m.Buffers[0][:m.N], m.Addr.(*net.UDPAddr).AddrPort())
		}
	}
}

// deliver passes a packet to the conn that is bound to its inner destination, or
// closes the refusal channel of the conn whose datagram it reports as refused.
// Malformed packets are dropped.
func (t *Tunnel) deliver(data []byte) {
	if t.OnPacket != nil {
		t.OnPacket(time.Now())
	}
	if t.dropAll.Load() {
		return
	}
	d, err := Decode(data)
	if err != nil {
		return
	}
	if d.RefusedSource.IsValid() {
		if c := t.connAt(d.RefusedSource); c != nil {
			c.markRefused()
		}
		return
	}
	c := t.connAt(d.Destination)
	if c == nil {
		if t.OnUnknownDestination != nil {
			t.OnUnknownDestination(d)
		}
		return
	}
	t.reportNewSource(d.Source)
	c.enqueue(queuedDatagram{from: d.Source, payload: append([]byte(nil), d.Payload...)})
}

// reportNewSource calls OnNewSource for a source that it was not called for before.
func (t *Tunnel) reportNewSource(source netip.AddrPort) {
	if t.OnNewSource == nil {
		return
	}
	if _, known := t.seenSources[source]; known {
		return
	}
	t.seenSources[source] = struct{}{}
	t.OnNewSource(source, time.Now())
}

// connAt returns the conn that is bound to the inner address local, or nil.
func (t *Tunnel) connAt(local netip.AddrPort) *Conn {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.conns[local]
}

// removeConn unbinds the inner address local.
func (t *Tunnel) removeConn(local netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, local)
}

// send sends payload between the inner addresses from and to by way of the outer
// address peer.
func (t *Tunnel) send(from, to, peer netip.AddrPort, payload []byte) error {
	if t.dropAll.Load() {
		return nil
	}
	data, err := Encode(from, to, payload)
	if err != nil {
		return err
	}
	_, err = t.socket.WriteToUDPAddrPort(data, peer)
	return err
}
