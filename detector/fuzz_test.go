package detector_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/detector"
)

func FuzzReceive(f *testing.F) {
	source := newFleet(3)
	source.run(2 * time.Second)
	for _, d := range source.members[0].Beat(source.now) {
		encoded, err := cbor.Marshal(d.Message())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte{0x82, 0x00, 0x80})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var m detector.Message
		if cbor.Unmarshal(datagram, &m) != nil {
			return
		}
		fleet := newFleet(3)
		fleet.run(2 * time.Second)
		fleet.members[0].Receive(fleet.now, m)
		fleet.run(time.Second)
		for _, member := range fleet.members[0].Members(fleet.now) {
			if member.ID() == fleet.ids[0] {
				t.Fatal("a balancer is its own member")
			}
		}
	})
}
