package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestEstimates learns from queues whose declared times are wrong in different
// ways and asks for the run time of one more task.
func TestEstimates(t *testing.T) {
	const (
		runs = 40
		took = 6 * time.Second
	)
	for _, c := range []struct {
		name string
		// declare returns what is declared for a task of a run time.
		declare func(rng *rand.Rand, took time.Duration) time.Duration
		// spread is how far run times differ from each other, as a factor.
		spread   float64
		declared time.Duration
		want     time.Duration
	}{
		{
			name:     "nothing learned",
			declared: 3 * time.Second,
			want:     3 * time.Second,
		},
		{
			name: "declared times are right and run times differ",
			declare: func(_ *rand.Rand, took time.Duration) time.Duration {
				return took
			},
			spread:   4,
			declared: 2 * time.Second,
			want:     2 * time.Second,
		},
		{
			name: "declared times are half of the true ones",
			declare: func(_ *rand.Rand, took time.Duration) time.Duration {
				return took / 2
			},
			spread:   4,
			declared: 2 * time.Second,
			want:     4 * time.Second,
		},
		{
			name: "declared times say nothing and run times are alike",
			declare: func(rng *rand.Rand, took time.Duration) time.Duration {
				return time.Duration((0.1 + 1.8*rng.Float64()) * float64(took))
			},
			spread:   1.1,
			declared: time.Second,
			want:     took,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(1, 2))
			e := newEstimates()
			for range runs {
				if c.declare == nil {
					break
				}
				factor := 1 + (c.spread-1)*rng.Float64()
				ran := time.Duration(factor * float64(took))
				e = e.withRun("queue", c.declare(rng, ran), ran)
			}
			got := e.of("queue", c.declared)
			g.Expect(got).To(BeNumerically("~", c.want, c.want/4))
			g.Expect(e.of("other", c.declared)).To(Equal(c.declared), "another queue")
		})
	}
}
