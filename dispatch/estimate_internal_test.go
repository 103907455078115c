package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// declared returns what is declared for a task of a run time.
type declared func(rng *rand.Rand, took time.Duration) time.Duration

// Each entry learns from a queue whose declared times are wrong in its own way,
// and whose run times differ by a factor, and asks for one more task.
var _ = DescribeTable("Learned run times",
	func(declare declared, factor float64, asked, want time.Duration) {
		const (
			runs = 40
			took = 6 * time.Second
		)
		rng := rand.New(rand.NewPCG(1, 2))
		e := newRunTimes()
		for range runs {
			if declare == nil {
				break
			}
			ran := time.Duration((1 + (factor-1)*rng.Float64()) * float64(took))
			e = e.withRun("queue", declare(rng, ran), ran)
		}
		Expect(e.predict("queue", asked)).To(BeNumerically("~", want, want/4))
		Expect(e.predict("other", asked)).To(Equal(asked), "another queue")
	},
	Entry("know nothing at first", nil, 1.0, 3*time.Second, 3*time.Second),
	Entry("follow declared times that are right", declared(func(_ *rand.Rand, took time.Duration) time.Duration {
		return took
	}), 4.0, 2*time.Second, 2*time.Second),
	Entry("correct declared times that are half of the true ones", declared(func(_ *rand.Rand, took time.Duration) time.Duration {
		return took / 2
	}), 4.0, 2*time.Second, 4*time.Second),
	Entry("follow the mean if declared times say nothing", declared(func(rng *rand.Rand, took time.Duration) time.Duration {
		return time.Duration((0.1 + 1.8*rng.Float64()) * float64(took))
	}), 1.1, time.Second, 6*time.Second),
)
