package wrapper

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

// Sizes of a link.
const (
	socketBufferBytes = 8 << 20
	maxPacketBytes    = 2048
	batchPackets      = 64
	queuePackets      = 512
)

// Link is the outer UDP socket and the virtual conns over it.
type Link struct {
	// Unclaimed is called for a packet whose inner destination has no conn; it
	// may be nil and is set before Run.
	Unclaimed func(Datagram)
	// Arrived is called for the first datagram of each inner source that has a
	// conn; it may be nil and is set before Run.
	Arrived func(source netip.AddrPort, now time.Time)
	// Received is called for each packet before it is delivered; it may be nil
	// and is set before Run.
	Received func(now time.Time)

	socket *net.UDPConn
	muted  atomic.Bool

	mu    sync.RWMutex
	conns map[netip.AddrPort]*Conn

	// arrived belongs to the goroutine that reads the socket.
	arrived map[netip.AddrPort]struct{}
}

// Listen opens the outer socket at address.
func Listen(address string) (*Link, error) {
	socket, err := ListenUDP(address)
	if err != nil {
		return nil, err
	}
	return &Link{socket: socket, conns: map[netip.AddrPort]*Conn{}, arrived: map[netip.AddrPort]struct{}{}}, nil
}

// ListenUDP opens a UDP socket with large buffers.
func ListenUDP(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolving %s", address)
	}
	socket, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	// The kernel caps the sizes without an error.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return socket, nil
}

// Address returns the outer address.
func (l *Link) Address() netip.AddrPort {
	return l.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Mute makes the link drop every packet in both directions until it is called
// with false.
func (l *Link) Mute(on bool) { l.muted.Store(on) }

// Open returns a conn at the inner address local whose packets go to the outer
// address peer.
func (l *Link) Open(local, peer netip.AddrPort) (*Conn, error) {
	c := &Conn{
		link: l, local: local, peer: peer,
		queue: make(chan packet, queuePackets), closed: make(chan struct{}), refused: make(chan struct{}),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, taken := l.conns[local]; taken {
		return nil, errors.Newf("the inner address %s is taken", local)
	}
	l.conns[local] = c
	return c, nil
}

// Run delivers packets until ctx ends; it closes the socket.
func (l *Link) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.socket.Close() })
	defer stop()
	batch := ReadBatch(l.socket, func(data []byte, _ netip.AddrPort) { l.deliver(data) })
	if ctx.Err() != nil {
		return nil
	}
	return batch
}

// ReadBatch reads socket in batches and calls handle for each datagram until a
// read fails; handle must not keep data.
func ReadBatch(socket *net.UDPConn, handle func(data []byte, from netip.AddrPort)) error {
	reader := ipv4.NewPacketConn(socket)
	messages := make([]ipv4.Message, batchPackets)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxPacketBytes)}
	}
	for {
		n, err := reader.ReadBatch(messages, 0)
		if err != nil {
			return errors.Wrap(err, "reading packets")
		}
		for _, m := range messages[:n] {
			handle(m.Buffers[0][:m.N], m.Addr.(*net.UDPAddr).AddrPort())
		}
	}
}

func (l *Link) deliver(data []byte) {
	if l.Received != nil {
		l.Received(time.Now())
	}
	if l.muted.Load() {
		return
	}
	d, err := Decode(data)
	if err != nil {
		return
	}
	if d.Refused.IsValid() {
		if c := l.find(d.Refused); c != nil {
			c.refuse()
		}
		return
	}
	c := l.find(d.Destination)
	if c == nil {
		if l.Unclaimed != nil {
			l.Unclaimed(d)
		}
		return
	}
	l.noteArrival(d.Source)
	c.push(packet{from: d.Source, payload: append([]byte(nil), d.Payload...)})
}

func (l *Link) noteArrival(source netip.AddrPort) {
	if l.Arrived == nil {
		return
	}
	if _, known := l.arrived[source]; known {
		return
	}
	l.arrived[source] = struct{}{}
	l.Arrived(source, time.Now())
}

func (l *Link) find(local netip.AddrPort) *Conn {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.conns[local]
}

func (l *Link) remove(local netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, local)
}

func (l *Link) send(from, to, peer netip.AddrPort, payload []byte) error {
	if l.muted.Load() {
		return nil
	}
	data, err := Encode(from, to, payload)
	if err != nil {
		return err
	}
	_, err = l.socket.WriteToUDPAddrPort(data, peer)
	return err
}
