// Package batcher reads and writes UDP datagrams in batches, one system call for
// many, without an allocation for each datagram.
//
// # Usage
//
//	conn, err := batcher.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:6001"))
//	r := batcher.NewReader(conn)
//	n, err := r.Read()
//	for i := range n {
//		handle(r.Datagram(i), r.Source(i))
//	}
//	w := batcher.NewWriter(conn)
//	w.Add(datagram, destination)
//	sent, err := w.Flush()
//
// The batch calls of golang.org/x/net allocate an address for each datagram
// read, so this package makes the same two system calls itself. Readers and
// writers are not safe for use from several goroutines; each has its own.
package batcher

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// Datagrams is the largest number of datagrams in a batch.
	Datagrams = 64
	// HeadroomBytes is the space before each datagram read, for a longer header.
	HeadroomBytes = 64
	// datagramBytes is the largest datagram that is read whole.
	datagramBytes = 2048
	// socketBufferBytes is asked of the kernel for each direction.
	socketBufferBytes = 4 << 20
)

// Listen opens a UDP socket that several readers may share the address of.
func Listen(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: setReusePort}
	packet, err := config.ListenPacket(ctx, network(address.Addr()), address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	conn, ok := packet.(*net.UDPConn)
	if !ok {
		packet.Close()
		return nil, errors.Newf("listening on %s: not a UDP socket", address)
	}
	// The kernel may grant less; it then drops earlier under a burst.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

func network(a netip.Addr) string {
	if a.Is4() {
		return "udp4"
	}
	return "udp6"
}

func setReusePort(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return set
}

// header is the kernel's struct mmsghdr.
type header struct {
	message unix.Msghdr
	length  uint32
	_       [4]byte
}

// vector holds the system call's arguments for one batch.
type vector struct {
	headers [Datagrams]header
	slices  [Datagrams]unix.Iovec
	names   [Datagrams]unix.RawSockaddrInet6
	raw     syscall.RawConn
	call    func(fd uintptr) bool
	number  uintptr
	first   int
	count   int
	done    int
	errno   syscall.Errno
}

func (v *vector) init(conn *net.UDPConn, number uintptr) {
	raw, err := conn.SyscallConn()
	if err != nil {
		// Only a nil connection fails here.
		panic(err)
	}
	v.raw = raw
	v.number = number
	v.call = v.enter
	for i := range v.headers {
		m := &v.headers[i].message
		m.Iov = &v.slices[i]
		m.SetIovlen(1)
		m.Name = (*byte)(unsafe.Pointer(&v.names[i]))
	}
}

func (v *vector) enter(fd uintptr) bool {
	start := unsafe.Pointer(&v.headers[v.first])
	n, _, errno := syscall.Syscall6(v.number, fd, uintptr(start), uintptr(v.count), unix.MSG_DONTWAIT, 0, 0)
	if errno == unix.EAGAIN || errno == unix.EINTR {
		return false
	}
	v.errno = errno
	v.done = int(n)
	return true
}

// Reader reads batches of datagrams.
type Reader struct {
	vector  vector
	buffers [Datagrams][HeadroomBytes + datagramBytes]byte
}

// NewReader returns a Reader of conn.
func NewReader(conn *net.UDPConn) *Reader {
	r := &Reader{}
	r.vector.init(conn, unix.SYS_RECVMMSG)
	for i := range r.buffers {
		r.vector.slices[i].Base = &r.buffers[i][HeadroomBytes]
		r.vector.slices[i].SetLen(datagramBytes)
	}
	return r
}

// Read waits for at least one datagram and returns how many it read.
func (r *Reader) Read() (int, error) {
	v := &r.vector
	for i := range v.headers {
		v.headers[i].message.Namelen = unix.SizeofSockaddrInet6
	}
	v.first = 0
	v.count = Datagrams
	v.done = 0
	v.errno = 0
	if err := v.raw.Read(v.call); err != nil {
		return 0, errors.Wrap(err, "reading datagrams")
	}
	if v.errno != 0 {
		return 0, errors.Wrap(v.errno, "reading datagrams")
	}
	return v.done, nil
}

// Datagram returns the bytes of a datagram, valid until the next Read.
func (r *Reader) Datagram(i int) []byte {
	return r.buffers[i][HeadroomBytes : HeadroomBytes+int(r.vector.headers[i].length)]
}

// Truncated reports whether a datagram was longer than what is read whole.
func (r *Reader) Truncated(i int) bool {
	return r.vector.headers[i].message.Flags&unix.MSG_TRUNC != 0
}

// Headroom returns the buffer of a datagram from n bytes before it on.
func (r *Reader) Headroom(i, n int) []byte {
	return r.buffers[i][HeadroomBytes-n : HeadroomBytes+int(r.vector.headers[i].length)]
}

// Source returns who sent a datagram.
func (r *Reader) Source(i int) netip.AddrPort {
	return addressOf(&r.vector.names[i])
}

// Writer gathers datagrams and writes them in batches.
type Writer struct {
	vector  vector
	pending int
	failed  uint64
}

// NewWriter returns a Writer to conn.
func NewWriter(conn *net.UDPConn) *Writer {
	w := &Writer{}
	w.vector.init(conn, unix.SYS_SENDMMSG)
	return w
}

// Full reports whether Flush must be called before the next Add.
func (w *Writer) Full() bool { return w.pending == Datagrams }

// Pending returns how many datagrams wait for Flush.
func (w *Writer) Pending() int { return w.pending }

// Add takes a datagram, whose bytes must stay unchanged until Flush.
func (w *Writer) Add(datagram []byte, destination netip.AddrPort) {
	i := w.pending
	w.vector.slices[i].Base = unsafe.SliceData(datagram)
	w.vector.slices[i].SetLen(len(datagram))
	w.vector.headers[i].message.Namelen = putAddress(&w.vector.names[i], destination)
	w.pending++
}

// Flush writes what was added and returns how many datagrams the kernel took. A
// datagram that the kernel refuses is passed over and counted by Failed.
func (w *Writer) Flush() (int, error) {
	v := &w.vector
	sent := 0
	for v.first = 0; v.first < w.pending; {
		v.count = w.pending - v.first
		v.done = 0
		v.errno = 0
		if err := v.raw.Write(v.call); err != nil {
			w.pending = 0
			return sent, errors.Wrap(err, "writing datagrams")
		}
		if v.errno != 0 {
			w.failed++
			v.first++
			continue
		}
		v.first += v.done
		sent += v.done
	}
	w.pending = 0
	return sent, nil
}

// Failed returns how many datagrams the kernel has refused so far.
func (w *Writer) Failed() uint64 { return w.failed }
