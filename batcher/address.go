package batcher

import (
	"encoding/binary"
	"net/netip"
	"unsafe"

	"golang.org/x/sys/unix"
)

// addressOf returns the address in a socket address of the kernel, which is of the IPv4
// or IPv6 family.
func addressOf(sockaddr *unix.RawSockaddrInet6) netip.AddrPort {
	if sockaddr.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sockaddr))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), networkOrder(v4.Port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(sockaddr.Addr).Unmap(), networkOrder(sockaddr.Port))
}

// writeAddress writes a to a socket address of the kernel, and returns its length in
// bytes.
func writeAddress(sockaddr *unix.RawSockaddrInet6, a netip.AddrPort) uint32 {
	if a.Addr().Is4() {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sockaddr))
		v4.Family = unix.AF_INET
		v4.Port = networkOrder(a.Port())
		v4.Addr = a.Addr().As4()
		return unix.SizeofSockaddrInet4
	}
	sockaddr.Family = unix.AF_INET6
	sockaddr.Port = networkOrder(a.Port())
	sockaddr.Addr = a.Addr().As16()
	return unix.SizeofSockaddrInet6
}

// networkOrder converts a port between host and network byte order, in either
// direction.
func networkOrder(port uint16) uint16 {
	var bytes [2]byte
	binary.NativeEndian.PutUint16(bytes[:], port)
	return binary.BigEndian.Uint16(bytes[:])
}
