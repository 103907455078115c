package speed_test

import (
	"math"
	"math/rand"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/speed"
)

func TestSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "speed")
}

// A pool is simulated workers with speeds, their estimates and the spread.
type pool struct {
	random    *rand.Rand
	speeds    []float64
	estimates []speed.Estimate
	spread    speed.Spread
}

// newPool returns a pool of 60 workers, whose speeds are the given ones in turn.
func newPool(seed int64, speeds ...float64) *pool {
	p := &pool{
		random: rand.New(rand.NewSource(seed)),
	}
	for i := range 60 {
		p.speeds = append(p.speeds, speeds[i%len(speeds)])
		p.estimates = append(p.estimates, speed.Estimate{})
	}
	return p
}

// run gives each worker a sample, whose error has a standard deviation.
func (p *pool) run(deviation float64) {
	for i := range p.speeds {
		p.add(i, math.Log(p.speeds[i])+p.random.NormFloat64()*deviation, deviation)
	}
	p.spread = p.spread.WithMedianOf(p.estimates)
}

func (p *pool) add(worker int, value, deviation float64) {
	sample := speed.Sample{
		Speed:    min(max(value, -speed.MaxDeviation), speed.MaxDeviation),
		Variance: deviation * deviation,
	}
	p.spread = p.spread.WithPair(p.estimates[worker], sample)
	p.estimates[worker] = p.estimates[worker].WithSample(sample)
}

func (p *pool) belief(worker int) speed.Belief {
	return p.spread.Belief(p.estimates[worker])
}

var _ = Describe("The spread of a pool", func() {
	// Otherwise chance would change where work goes in a pool of equal workers.
	It("is none while the workers are equal, however much the work of their runs differs", func() {
		for seed := range int64(20) {
			p := newPool(seed, 1)
			for range 10 {
				p.run(0.5)
				Expect(p.spread.IsUneven()).To(BeFalse())
				Expect(p.belief(0)).To(Equal(speed.Belief{}))
			}
		}
	})

	It("does not count while the slowest workers meet a target of 1.5 times the run time", func() {
		p := newPool(1, 0.8, 1, 1.25)
		for range 20 {
			p.run(0.1)
		}
		Expect(p.spread.IsUneven()).To(BeFalse())
	})

	It("shows within three runs of each worker that speeds differ by a factor of 2.7", func() {
		for seed := range int64(20) {
			p := newPool(seed, 0.6, 1, 1.6)
			for range 3 {
				p.run(0.25)
			}
			Expect(p.spread.IsUneven()).To(BeTrue())
			Expect(p.spread.Deviation()).To(BeNumerically("~", 0.4, 0.12))
		}
	})
})

var _ = Describe("The belief about a worker of an uneven pool", func() {
	newUneven := func() *pool {
		p := newPool(1, 0.6, 1, 1.6)
		for range 6 {
			p.run(0.15)
		}
		return p
	}

	It("tells the slow from the others", func() {
		p := newUneven()
		for i := range p.speeds {
			probability := p.belief(i).ProbabilityAbove(0.75)
			if i%3 == 0 {
				Expect(probability).To(BeNumerically("<", 0.1))
				continue
			}
			Expect(probability).To(BeNumerically(">", 0.9))
		}
	})

	It("neither trusts nor rejects a worker without runs", func() {
		p := newUneven()
		b := p.spread.Belief(speed.Estimate{})
		Expect(b.Mean).To(BeZero())
		Expect(b.ProbabilityAbove(0.75)).To(And(BeNumerically(">", 0.5), BeNumerically("<", 0.9)))
		Expect(b.ProbabilityAbove(0)).To(Equal(1.0))
	})

	// A task with seven times the work of the others says nothing about its worker.
	It("is hardly changed by one run that is much longer than the others", func() {
		p := newUneven()
		p.add(1, -math.Log(7), 0.2)
		Expect(p.belief(1).ProbabilityAbove(0.75)).To(BeNumerically(">", 0.8))
	})

	It("follows a worker that turns slow, and forgives it", func() {
		p := newUneven()
		for range 4 {
			p.add(1, math.Log(0.5), 0.15)
		}
		Expect(p.belief(1).ProbabilityAbove(0.75)).To(BeNumerically("<", 0.1))
		for range 5 {
			p.add(1, 0, 0.15)
		}
		Expect(p.belief(1).ProbabilityAbove(0.75)).To(BeNumerically(">", 0.9))
	})
})

var _ = DescribeTable("The weighted median", func(want float64, list ...speed.Weighted) {
	Expect(speed.Median(list)).To(Equal(want))
},
	Entry("of nothing", 0.0),
	Entry("of an even number of equal weights is between the middle ones", 2.5,
		weighted(4, 1), weighted(1, 1), weighted(2, 1), weighted(3, 1)),
	Entry("is the value with more than half of the weight", 9.0, weighted(1, 1), weighted(9, 5), weighted(2, 1)),
)

func weighted(value, weight float64) speed.Weighted {
	return speed.Weighted{
		Value:  value,
		Weight: weight,
	}
}
