package detector_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/detector"
)

func FuzzReceive(f *testing.F) {
	senders := newFleet(3)
	senders.run(2 * time.Second)
	for _, d := range senders.members[0].Heartbeat(senders.now) {
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
		receivers := newFleet(3)
		receivers.run(2 * time.Second)
		receivers.members[0].Receive(receivers.now, m)
		receivers.run(time.Second)
		for _, member := range receivers.members[0].Members(receivers.now) {
			if member.ID() == receivers.ids[0] {
				t.Fatal("Members lists the balancer itself")
			}
		}
	})
}
