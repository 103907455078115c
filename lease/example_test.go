package lease_test

import (
	"fmt"
	"time"

	"github.com/plantainladder/plantainladder/lease"
)

func ExampleLease_WithExtension() {
	asked := time.Unix(1_700_000_000, 0)
	l := lease.Lease{}.WithExtension(asked, lease.ViewDuration)
	fmt.Println(l.IsValid(asked.Add(2*time.Second)), l.IsValid(asked.Add(3*time.Second)))
	// Output: true false
}
