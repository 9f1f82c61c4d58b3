package operator_test

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/operator"
)

// Two files are merged in the order of their base names. The later one sets a
// target to draining.
func ExampleMerge() {
	d, err := operator.Merge([]operator.File{
		{Path: "40-drain.json", Data: []byte(`{"targets": {"bd-01": {"state": "draining"}}}`)},
		{Path: "10-all.json", Data: []byte(`{
			"availability-zones": {"ne-a": {"state": "in"}},
			"services": {"booking-desk": {"addresses": ["198.51.100.10:443"], "protocol": "quic"}},
			"targets": {"bd-01": {"service": "booking-desk", "availability-zone": "ne-a", "address": "127.0.0.1:7001"}}
		}`)},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(d.Targets["bd-01"].State)
	// Output: draining
}

// The error for an invalid value names its file, line and key.
func ExampleMerge_invalid() {
	_, err := operator.Merge([]operator.File{
		{Path: "10-all.json", Data: []byte("{\n  \"services\": {\"booking-desk\": {\"addresses\": [], \"protocol\": \"quic\"}}\n}")},
	})
	var invalid *operator.DocumentError
	fmt.Println(errors.As(err, &invalid))
	fmt.Println(err)
	// Output:
	// true
	// 10-all.json:2: key "/services/booking-desk/addresses": breaks the rule min=1
}
