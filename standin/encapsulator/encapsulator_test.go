package encapsulator_test

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/standin/encapsulator"
)

// endpoints returns a source and a destination address for each address family.
func endpoints() map[string][2]netip.AddrPort {
	return map[string][2]netip.AddrPort{
		"ipv4": {netip.MustParseAddrPort("203.0.113.1:10000"), netip.MustParseAddrPort("198.51.100.10:443")},
		"ipv6": {netip.MustParseAddrPort("[2001:db8::1]:10000"), netip.MustParseAddrPort("[2001:db8::2]:443")},
	}
}

// Decode must return the addresses and the payload that Encode was given, and the
// checksums of the encoded packet must be valid.
func TestDecodeInvertsEncodeAndChecksumsAreValid(t *testing.T) {
	for name, ends := range endpoints() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := encapsulator.Encode(ends[0], ends[1], []byte("payload"))
			is.NoErr(err)
			d, err := encapsulator.Decode(data)
			is.NoErr(err)
			is.Equal(d.Source, ends[0])
			is.Equal(d.Destination, ends[1])
			is.Equal(string(d.Payload), "payload")
			packet := gopacket.NewPacket(data, layers.LayerTypeGeneve, gopacket.Default)
			udp := packet.Layer(layers.LayerTypeUDP).(*layers.UDP)
			is.NoErr(udp.SetNetworkLayerForChecksum(packet.NetworkLayer()))
			faults, mismatches := packet.VerifyChecksums()
			is.NoErr(faults)
			is.Equal(len(mismatches), 0)
		})
	}
}

// FuzzDecode checks that Decode does not panic on malformed packets, and that it
// never returns a payload longer than the packet.
func FuzzDecode(f *testing.F) {
	for _, ends := range endpoints() {
		data, err := encapsulator.Encode(ends[0], ends[1], []byte("payload"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := encapsulator.Decode(data)
		if err == nil && len(d.Payload) > len(data) {
			t.Fatal("the payload is longer than the packet")
		}
	})
}
