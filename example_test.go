package plantainladder_test

import (
	"fmt"

	plantainladder "github.com/plantainladder/plantainladder"
)

func ExampleState_Apply() {
	s := plantainladder.NewState()
	edit := plantainladder.Envelope{
		ID: "command-1",
		At: epoch,
		Command: plantainladder.SetDataCentre{
			Name:         "kigali-2",
			OutOfService: true,
		},
	}
	s, first := s.Apply(1, edit)
	s, resent := s.Apply(2, edit)
	fmt.Println(s.IsOutOfService("kigali-2"), first.Revision, resent.Revision)
	// Output: true 1 1
}
