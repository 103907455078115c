// Package powerloss_test tests what controller/disk keeps when a process is killed or the
// power is lost, on a stand-in of a disk that forgets what was not synced. It is a
// package of its own since the tests of controller/disk limit the size of all files,
// also that of the record that go test keeps of the files that were opened.
package powerloss_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/consensus"
)

func TestPowerLoss(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "powerloss")
}

// entries returns n entries from an index onwards.
func entries(from, n uint64) (list []consensus.Entry) {
	for i := range n {
		list = append(list, consensus.Entry{
			Index: from + i,
			Term:  1,
			Payload: consensus.Data{
				Bytes: fmt.Append(nil, "entry ", from+i),
			},
		})
	}
	return list
}
