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

// A declaration returns the declared run time of a task from its actual one.
type declaration func(rng *rand.Rand, took time.Duration) time.Duration

// Each entry trains the model with 40 runs of a queue, whose run times vary by up
// to the factor and are declared with the error of the entry, and checks the
// prediction for one more task. Another queue must not be affected.
var _ = DescribeTable("Run time predictions",
	func(declare declaration, factor float64, asked, want time.Duration) {
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
	Entry("return the declared run time before any run was seen", nil, 1.0, 3*time.Second, 3*time.Second),
	Entry("follow declared run times that are correct", declaration(func(_ *rand.Rand, took time.Duration) time.Duration {
		return took
	}), 4.0, 2*time.Second, 2*time.Second),
	Entry("correct declared run times that are half of the actual ones", declaration(func(_ *rand.Rand, took time.Duration) time.Duration {
		return took / 2
	}), 4.0, 2*time.Second, 4*time.Second),
	Entry("follow the mean of the queue if declared run times are random", declaration(func(rng *rand.Rand, took time.Duration) time.Duration {
		return time.Duration((0.1 + 1.8*rng.Float64()) * float64(took))
	}), 1.1, time.Second, 6*time.Second),
)
