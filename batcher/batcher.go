// Package batcher reads and writes UDP datagrams in batches. It makes one system call
// for many datagrams, and allocates nothing per datagram.
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
// The batch functions of golang.org/x/net allocate an address for each datagram that
// they read, so this package calls recvmmsg and sendmmsg itself. A Reader or Writer is
// not safe for concurrent use; each goroutine needs its own.
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
	// MaxDatagrams is the largest number of datagrams in a batch.
	MaxDatagrams = 64
	// HeadroomBytes is the free space before each datagram that was read. A longer
	// header can be written there.
	HeadroomBytes = 64
	// maxDatagramBytes is the length to which longer datagrams are truncated.
	maxDatagramBytes = 2048
	// socketBufferBytes is the buffer size requested from the kernel, in each
	// direction.
	socketBufferBytes = 4 << 20
)

// Listen opens a UDP socket on address. Several sockets may be open on one address.
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
	// The kernel may grant smaller buffers; it then drops datagrams earlier in a burst.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// network returns the name of the UDP network of a's family.
func network(a netip.Addr) string {
	if a.Is4() {
		return "udp4"
	}
	return "udp6"
}

// setReusePort lets other sockets bind to the same address.
func setReusePort(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// mmsghdr is the kernel's struct mmsghdr: one datagram of a batch.
type mmsghdr struct {
	message unix.Msghdr
	length  uint32
	_       [4]byte
}

// batch holds the arguments and results of a recvmmsg or sendmmsg call.
type batch struct {
	headers       [MaxDatagrams]mmsghdr
	iovecs        [MaxDatagrams]unix.Iovec
	sockaddrs     [MaxDatagrams]unix.RawSockaddrInet6
	rawConn       syscall.RawConn
	callback      func(fd uintptr) bool
	syscallNumber uintptr
	first         int // index of the first datagram to transfer
	count         int // number of datagrams to transfer
	done          int // number of datagrams transferred
	errno         syscall.Errno
}

// init prepares the batch for the system call with the given number on conn.
func (b *batch) init(conn *net.UDPConn, number uintptr) {
	rawConn, err := conn.SyscallConn()
	if err != nil {
		// SyscallConn only fails on a nil connection.
		panic(err)
	}
	b.rawConn = rawConn
	b.syscallNumber = number
	b.callback = b.syscallOnce
	for i := range b.headers {
		m := &b.headers[i].message
		m.Iov = &b.iovecs[i]
		m.SetIovlen(1)
		m.Name = (*byte)(unsafe.Pointer(&b.sockaddrs[i]))
	}
}

// syscallOnce makes the system call without blocking. It returns false if the call has
// to be repeated when the socket is ready.
func (b *batch) syscallOnce(fd uintptr) bool {
	start := unsafe.Pointer(&b.headers[b.first])
	n, _, errno := syscall.Syscall6(b.syscallNumber, fd, uintptr(start), uintptr(b.count), unix.MSG_DONTWAIT, 0, 0)
	if errno == unix.EAGAIN || errno == unix.EINTR {
		return false
	}
	b.errno = errno
	b.done = int(n)
	return true
}

// Reader reads batches of datagrams.
type Reader struct {
	batch   batch
	buffers [MaxDatagrams][HeadroomBytes + maxDatagramBytes]byte
}

// NewReader returns a Reader of conn.
func NewReader(conn *net.UDPConn) *Reader {
	r := &Reader{}
	r.batch.init(conn, unix.SYS_RECVMMSG)
	for i := range r.buffers {
		r.batch.iovecs[i].Base = &r.buffers[i][HeadroomBytes]
		r.batch.iovecs[i].SetLen(maxDatagramBytes)
	}
	return r
}

// Read waits until there is at least one datagram, reads up to MaxDatagrams of them and
// returns their number.
func (r *Reader) Read() (int, error) {
	b := &r.batch
	for i := range b.headers {
		b.headers[i].message.Namelen = unix.SizeofSockaddrInet6
	}
	b.first = 0
	b.count = MaxDatagrams
	b.done = 0
	b.errno = 0
	if err := b.rawConn.Read(b.callback); err != nil {
		return 0, errors.Wrap(err, "reading datagrams")
	}
	if b.errno != 0 {
		return 0, errors.Wrap(b.errno, "reading datagrams")
	}
	return b.done, nil
}

// Datagram returns datagram i of the last batch. Its bytes are valid until the next
// Read.
func (r *Reader) Datagram(i int) []byte {
	return r.buffers[i][HeadroomBytes : HeadroomBytes+int(r.batch.headers[i].length)]
}

// Truncated reports whether datagram i was too long for its buffer and was truncated.
func (r *Reader) Truncated(i int) bool {
	return r.batch.headers[i].message.Flags&unix.MSG_TRUNC != 0
}

// DatagramWithHeadroom returns datagram i together with the n bytes of free space before
// it. n is at most HeadroomBytes.
func (r *Reader) DatagramWithHeadroom(i, n int) []byte {
	return r.buffers[i][HeadroomBytes-n : HeadroomBytes+int(r.batch.headers[i].length)]
}

// Source returns the address of the sender of datagram i.
func (r *Reader) Source(i int) netip.AddrPort {
	return addressOf(&r.batch.sockaddrs[i])
}

// Writer collects datagrams and writes them in batches.
type Writer struct {
	batch   batch
	pending int
	failed  uint64
}

// NewWriter returns a Writer to conn.
func NewWriter(conn *net.UDPConn) *Writer {
	w := &Writer{}
	w.batch.init(conn, unix.SYS_SENDMMSG)
	return w
}

// Full reports whether the batch is full, so that Flush must be called before Add.
func (w *Writer) Full() bool { return w.pending == MaxDatagrams }

// Pending returns the number of datagrams in the batch.
func (w *Writer) Pending() int { return w.pending }

// Add adds a datagram to the batch, which must not be full. The bytes of the datagram
// must not change until Flush.
func (w *Writer) Add(datagram []byte, destination netip.AddrPort) {
	i := w.pending
	w.batch.iovecs[i].Base = unsafe.SliceData(datagram)
	w.batch.iovecs[i].SetLen(len(datagram))
	w.batch.headers[i].message.Namelen = writeAddress(&w.batch.sockaddrs[i], destination)
	w.pending++
}

// Flush writes the batch and returns how many datagrams the kernel accepted. It skips
// datagrams that the kernel rejects; Failed counts them. After an error, the rest of
// the batch is discarded.
func (w *Writer) Flush() (int, error) {
	b := &w.batch
	sent := 0
	for b.first = 0; b.first < w.pending; {
		b.count = w.pending - b.first
		b.done = 0
		b.errno = 0
		if err := b.rawConn.Write(b.callback); err != nil {
			w.pending = 0
			return sent, errors.Wrap(err, "writing datagrams")
		}
		if b.errno != 0 {
			w.failed++
			b.first++
			continue
		}
		b.first += b.done
		sent += b.done
	}
	w.pending = 0
	return sent, nil
}

// Failed returns the number of datagrams that the kernel has rejected so far.
func (w *Writer) Failed() uint64 { return w.failed }
