package batcher

import (
	"encoding/binary"
	"net/netip"
	"unsafe"

	"golang.org/x/sys/unix"
)

// addressOf reads a socket address of either family from the kernel's buffer.
func addressOf(name *unix.RawSockaddrInet6) netip.AddrPort {
	if name.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), networkOrder(v4.Port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(name.Addr).Unmap(), networkOrder(name.Port))
}

// putAddress writes a socket address and returns its length.
func putAddress(name *unix.RawSockaddrInet6, a netip.AddrPort) uint32 {
	if a.Addr().Is4() {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
		v4.Family = unix.AF_INET
		v4.Port = networkOrder(a.Port())
		v4.Addr = a.Addr().As4()
		return unix.SizeofSockaddrInet4
	}
	name.Family = unix.AF_INET6
	name.Port = networkOrder(a.Port())
	name.Addr = a.Addr().As16()
	return unix.SizeofSockaddrInet6
}

// networkOrder converts a port between the machine's byte order and the network's.
func networkOrder(port uint16) uint16 {
	var bytes [2]byte
	binary.NativeEndian.PutUint16(bytes[:], port)
	return binary.BigEndian.Uint16(bytes[:])
}
