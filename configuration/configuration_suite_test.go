package configuration_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration")
}

func newQueue(name, prefix string) configuration.Queue {
	return configuration.Queue{
		Name:    name,
		Host:    "h",
		Prefix:  prefix,
		Pool:    "p",
		Timeout: time.Second,
	}
}

func newDocument() configuration.Document {
	return configuration.Document{
		Version: 1,
		Queues: []configuration.Queue{
			newQueue("short", "/a/"),
			newQueue("long", "/a/b/"),
		},
		Pools: []configuration.Pool{
			{
				Name: "p",
			},
		},
		Organisations: []configuration.Organisation{
			{
				Name:   "mill",
				Tokens: []string{"t1", "t2"},
			},
			{
				Name:   "farm",
				Tokens: []string{"t3"},
			},
		},
	}
}

func newLimit(accelerators int) pool.ResourceVector {
	return pool.ResourceVector{
		Accelerators: accelerators,
	}
}

var _ = Describe("A document", func() {
	DescribeTable("reports the field whose value is not allowed", func(change func(d *configuration.Document), field string) {
		d := newDocument()
		change(&d)
		err := d.Check()
		if field == "" {
			Expect(err).To(BeNil())
			return
		}
		Expect(err).NotTo(BeNil())
		Expect(err.Field).To(Equal(field))
	},
		Entry("none, since all are valid", func(*configuration.Document) {}, ""),
		Entry("no version", func(d *configuration.Document) { d.Version = 0 }, "version"),
		Entry("no timeout", func(d *configuration.Document) { d.Queues[0].Timeout = 0 }, "queues.timeout"),
		Entry("an unknown pool", func(d *configuration.Document) { d.Queues[1].Pool = "q" }, "queues.pool"),
		Entry("two queues with the same host and prefix", func(d *configuration.Document) { d.Queues[1].Prefix = "/a/" }, "queues.prefix"),
		Entry("two queues with the same prefix on different hosts", func(d *configuration.Document) {
			d.Queues[1].Prefix, d.Queues[1].Host = "/a/", "i"
		}, ""),
		Entry("a token of two organisations", func(d *configuration.Document) { d.Organisations[1].Tokens[0] = "t2" }, "organisations.tokens"),
		Entry("a queue without a name", func(d *configuration.Document) { d.Queues[0].Name = "" }, "queues.name"),
		Entry("an organisation without a name", func(d *configuration.Document) { d.Organisations[0].Name = "" }, "organisations.name"),
		Entry("a weight and a limit", func(d *configuration.Document) {
			d.Organisations[1].Weight, d.Organisations[1].Limit = 0.25, newLimit(pool.MaxLimitAmount)
		}, ""),
		Entry("a negative weight", func(d *configuration.Document) { d.Organisations[1].Weight = -0.1 }, "organisations.weight"),
		Entry("a weight that is no number", func(d *configuration.Document) { d.Organisations[1].Weight = math.NaN() }, "organisations.weight"),
		Entry("an infinite weight", func(d *configuration.Document) { d.Organisations[1].Weight = math.Inf(1) }, "organisations.weight"),
		Entry("a negative limit", func(d *configuration.Document) { d.Organisations[1].Limit = newLimit(-1) }, "organisations.limit"),
		Entry("a limit that overflows with its overage", func(d *configuration.Document) {
			d.Organisations[1].Limit = newLimit(math.MaxInt)
		}, "organisations.limit"),
	)

	It("finds the queue with the longest prefix", func() {
		d := newDocument()
		q, ok := d.MatchQueue("h", "/a/b/0123")
		Expect(ok).To(BeTrue())
		Expect(q.Name).To(Equal("long"))
		q, _ = d.MatchQueue("h", "/a/c")
		Expect(q.Name).To(Equal("short"))
		_, ok = d.MatchQueue("other", "/a/c")
		Expect(ok).To(BeFalse())
	})

	It("finds the organisation of a token, and none for the empty token", func() {
		d := newDocument()
		o, ok := d.OrganisationByToken("t2")
		Expect(ok).To(BeTrue())
		Expect(o.Name).To(Equal("mill"))
		_, ok = d.OrganisationByToken("")
		Expect(ok).To(BeFalse())
	})
})
