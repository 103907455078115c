package configuration_test

import (
	"math"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
)

// newReviewedDocument returns a document without findings.
func newReviewedDocument() configuration.Document {
	d := newDocument()
	for i := range d.Queues {
		d.Queues[i].MaxAttempts, d.Queues[i].Stretch = 3, 1.5
	}
	d.Organisations[0].GuaranteedAccelerators = 6
	d.Organisations[1].GuaranteedAccelerators = 2
	return d
}

// summary is what the tables below expect of a finding.
func summary(findings []configuration.Finding) []string {
	list := []string{}
	for _, f := range findings {
		list = append(list, string(f.Severity)+" "+f.Field+" "+f.Name)
	}
	return list
}

// An operator learnt of one refusal at a time, and of entries that never match only by
// the calls that failed.
var _ = DescribeTable("A review reports", func(change func(d *configuration.Document), want ...string) {
	d := newReviewedDocument()
	change(&d)
	Expect(summary(d.Review())).To(Equal(want))
},
	Entry("nothing about a document without problems", func(*configuration.Document) {}),
	Entry("each reason to refuse the document", func(d *configuration.Document) {
		d.Queues[0].Pool, d.Queues[1].Timeout, d.Queues[1].Prefix = "q", 0, "/a/"
		d.Organisations[1].Tokens[0] = "t1"
	}, "error queues.pool short", "error queues.timeout long", "error queues.prefix long", "error organisations.tokens farm"),
	Entry("a queue that another hides by its host and prefix", func(d *configuration.Document) {
		d.Queues[1].Prefix = "/a/"
	}, "error queues.prefix long"),
	Entry("entries that others hide by their names", func(d *configuration.Document) {
		d.Queues[1].Name = "short"
		d.Organisations[1].Name = "mill"
	}, "error queues.name short", "error organisations.name mill"),
	Entry("a queue whose prefix no path has", func(d *configuration.Document) { d.Queues[0].Prefix = "a/" }, "error queues.prefix short"),
	Entry("a queue whose host no call has", func(d *configuration.Document) { d.Queues[0].Host = "h:80" }, "error queues.host short"),
	Entry("a queue without a host", func(d *configuration.Document) { d.Queues[0].Host = "" }, "warning queues.host short"),
	Entry("no host that is an IPv6 address", func(d *configuration.Document) { d.Queues[0].Host = "::1" }),
	Entry("a queue that is not supported", func(d *configuration.Document) { d.Queues[0].RequiresPlacementAdvisor = true }, "warning queues.is-advised short"),
	Entry("a timeout that no call can keep", func(d *configuration.Document) { d.Queues[0].Timeout = 99 * time.Millisecond }, "warning queues.timeout short"),
	Entry("no timeout that a call can keep", func(d *configuration.Document) { d.Queues[0].Timeout = 100 * time.Millisecond }),
	Entry("a queue without attempts", func(d *configuration.Document) { d.Queues[0].MaxAttempts = 0 }, "warning queues.max-attempts short"),
	Entry("a stretch below 1", func(d *configuration.Document) { d.Queues[0].Stretch = 0.99 }, "warning queues.stretch short"),
	Entry("no stretch of 1", func(d *configuration.Document) { d.Queues[0].Stretch = 1 }),
	Entry("a negative slack", func(d *configuration.Document) { d.Queues[0].Slack = -1 }, "warning queues.slack short"),
	Entry("organisations whose tokens match no call", func(d *configuration.Document) {
		d.Organisations[0].Tokens, d.Organisations[1].Tokens = nil, []string{"t3", ""}
	}, "warning organisations.tokens mill", "warning organisations.tokens farm"),
	Entry("a negative guarantee", func(d *configuration.Document) { d.Organisations[0].GuaranteedAccelerators = -1 }, "warning organisations.guaranteed-accelerators mill"),
	Entry("a guarantee above the organisation's own limit", func(d *configuration.Document) { d.Organisations[0].Limit.Accelerators = 5 }, "warning organisations.guaranteed-accelerators mill"),
	Entry("no guarantee within it", func(d *configuration.Document) { d.Organisations[0].Limit.Accelerators = 6 }),
	Entry("a weight and a limit that are refused", func(d *configuration.Document) {
		d.Organisations[0].Weight, d.Organisations[0].Limit.MemoryMB = math.NaN(), -1
	}, "error organisations.weight mill", "error organisations.limit mill"),
	Entry("guarantees that no queue can use", func(d *configuration.Document) {
		d.Queues[0].Priority, d.Queues[1].Priority = 1, 1
	}, "warning organisations.guaranteed-accelerators mill", "warning organisations.guaranteed-accelerators farm"),
)

var _ = DescribeTable("A review with workers reports", func(change func(w *pool.Worker), want ...string) {
	w := pool.Worker{
		ID:   "w",
		Pool: "p",
		Capacity: pool.ResourceVector{
			Accelerators: 8,
		},
	}
	change(&w)
	Expect(summary(newReviewedDocument().ReviewWorkers([]pool.Worker{
		w,
	}))).To(Equal(want))
},
	Entry("nothing if they serve all queues and guarantees", func(*pool.Worker) {}),
	Entry("guarantees that sum to more than they have", func(w *pool.Worker) { w.Capacity.Accelerators = 7 }, "warning organisations.guaranteed-accelerators farm"),
	Entry("queues whose pool has none", func(w *pool.Worker) { w.Pool = "q" },
		"warning queues.pool short", "warning queues.pool long", "warning organisations.guaranteed-accelerators mill"),
	Entry("queues whose pool has only one that leaves", func(w *pool.Worker) { w.Leaving = true },
		"warning queues.pool short", "warning queues.pool long", "warning organisations.guaranteed-accelerators mill"),
)

var _ = Describe("The differences of a document", func() {
	It("are none from itself, whatever its version", func() {
		d := newReviewedDocument()
		d.Version = 2
		Expect(d.DifferencesFrom(newReviewedDocument())).To(BeEmpty())
	})

	It("name each entry and field, and count tokens", func() {
		d := newReviewedDocument()
		d.Queues[0].Timeout, d.Queues[1].Name = 2*time.Second, "new"
		d.Organisations[0].Tokens = []string{"t2", "t4", "t5", "t5"}
		Expect(d.DifferencesFrom(newReviewedDocument())).To(Equal([]configuration.Difference{
			{
				List: configuration.ListQueues,
				Name: "short",
				Change: configuration.FieldChanged{
					Field: "timeout",
					Old:   "1s",
					New:   "2s",
				},
			},
			{
				List:   configuration.ListQueues,
				Name:   "new",
				Change: configuration.Added{},
			},
			{
				List:   configuration.ListQueues,
				Name:   "long",
				Change: configuration.Removed{},
			},
			{
				List: configuration.ListOrganisations,
				Name: "mill",
				Change: configuration.TokensChanged{
					Added:   2,
					Removed: 1,
				},
			},
		}))
	})

	// A field that is added to an entry later, but not to its comparison, would change
	// without being reported.
	DescribeTable("include every field of an entry", func(set func(d *configuration.Document, field int) (isName bool), fields int) {
		for i := range fields {
			d := newReviewedDocument()
			if isName := set(&d, i); !isName {
				Expect(d.DifferencesFrom(newReviewedDocument())).To(HaveLen(1), "field %d", i)
			}
		}
	},
		Entry("of a queue", func(d *configuration.Document, i int) bool { return changeField(&d.Queues[0], i) }, reflect.TypeFor[configuration.Queue]().NumField()),
		Entry("of a pool", func(d *configuration.Document, i int) bool { return changeField(&d.Pools[0], i) }, reflect.TypeFor[configuration.Pool]().NumField()),
		Entry("of an organisation", func(d *configuration.Document, i int) bool { return changeField(&d.Organisations[0], i) }, reflect.TypeFor[configuration.Organisation]().NumField()),
	)

	DescribeTable("have an effect only under a higher version", func(version uint64, timeout time.Duration, isFound bool) {
		d := newReviewedDocument()
		d.Version, d.Queues[0].Timeout = version, timeout
		findings := d.ReviewReplacement(newReviewedDocument())
		Expect(summary(findings)).To(HaveLen(map[bool]int{
			true:  1,
			false: 0,
		}[isFound]))
	},
		Entry("the same", uint64(1), 2*time.Second, true),
		Entry("the same, without differences", uint64(1), time.Second, false),
		Entry("a higher one", uint64(2), 2*time.Second, false),
	)
})

// changeField changes a field of an entry, and reports whether it is the name, by which
// entries are compared.
func changeField(entry any, i int) (isName bool) {
	v := reflect.ValueOf(entry).Elem()
	f := v.Field(i)
	switch f.Kind() {
	case reflect.String:
		f.SetString("changed")
	case reflect.Int, reflect.Int64:
		f.SetInt(math.MaxInt32)
	case reflect.Float64:
		f.SetFloat(math.MaxInt32)
	case reflect.Bool:
		f.SetBool(!f.Bool())
	case reflect.Slice:
		f.Set(reflect.ValueOf([]string{"changed", "t1", "t2"}))
	case reflect.Struct:
		f.Field(0).SetInt(math.MaxInt32)
	default:
		Fail("unknown kind of field: " + f.Kind().String())
	}
	return v.Type().Field(i).Name == "Name"
}
