package gateway_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/workflow"
)

// document returns a configuration with the queues at /ID/ and one organisation.
func document(version uint64, tokens []string, queues ...string) plantainladder.PutConfiguration {
	d := configuration.Document{
		Version: version,
		Pools: []configuration.Pool{
			{
				Name: "p",
			},
		},
		Organisations: []configuration.Organisation{
			{
				Name:   "o",
				Tokens: tokens,
			},
		},
	}
	for _, q := range queues {
		d.Queues = append(d.Queues, configuration.Queue{
			Name:        q,
			Host:        "h",
			Prefix:      "/" + q + "/",
			Pool:        "p",
			MaxAttempts: 3,
			Timeout:     time.Second,
		})
	}
	return plantainladder.PutConfiguration{
		Document: d,
	}
}

func submission(id string) plantainladder.SubmitWorkflow {
	return plantainladder.SubmitWorkflow{
		Spec:  spec(id),
		Token: "t1",
	}
}

func spec(id string) workflow.Spec {
	return workflow.Spec{
		ID:    id,
		Queue: "q",
		Steps: []workflow.Step{
			{
				Tasks: 1,
			},
		},
	}
}

func request(path, token string) wire.WorkflowRequest {
	return wire.WorkflowRequest{
		Host:  "h",
		Path:  path,
		Token: token,
	}
}

func call[Q, A any](c *rpc.Client, method string, q Q) wire.LeaderReply[A] {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := rpc.Call[Q, wire.LeaderReply[A]](ctx, c, method, q)
	Expect(err).NotTo(HaveOccurred())
	return r
}

// An earlier leader's lease is judged by the steady clock, which does not count the
// time for which a machine is suspended. Its state is older than what a later leader has
// acknowledged meanwhile.
var _ = Describe("A leader that was suspended until another was elected", func() {
	var g *group
	var old *host
	var c *rpc.Client

	BeforeEach(func() {
		g = newGroup()
		g.submit(document(1, []string{"t1"}, "q"))
		g.submit(submission("j1"))
		old = g.leader()
		c = g.serve(old)
		Expect(call[wire.WorkflowRequest, wire.Result](c, wire.MethodLookup, request("/q/j1", "t1"))).
			To(HaveField("Body.Status", workflow.StatusPending))
		g.suspend(old)
	})

	isAnswered := func(method string, req wire.WorkflowRequest) wire.LeaderReply[wire.Result] {
		g.wake(old)
		if method == wire.MethodSubmit {
			return call[wire.Submission, wire.Result](c, method, wire.Submission{
				WorkflowRequest: req,
				Spec:            spec(""),
			})
		}
		return call[wire.WorkflowRequest, wire.Result](c, method, req)
	}

	DescribeTable("refuses nothing that was acknowledged meanwhile", func(method, path, token string) {
		g.submit(document(2, []string{"t1", "t2"}, "q", "r"))
		g.submit(submission("j2"))
		Expect(isAnswered(method, request(path, token)).Leader).To(BeFalse())
	},
		Entry("a submission to a new route", wire.MethodSubmit, "/r/j3", "t1"),
		Entry("a submission with a new key", wire.MethodSubmit, "/q/j3", "t2"),
		Entry("a cancellation on a new route", wire.MethodCancel, "/r/j3", "t1"),
		Entry("a lookup on a new route", wire.MethodLookup, "/r/j3", "t1"),
		Entry("a lookup with a new key", wire.MethodLookup, "/q/j1", "t2"),
		Entry("a lookup of a new job", wire.MethodLookup, "/q/j2", "t1"),
		Entry("the number of pending jobs", wire.MethodLookup, "/q/", "t1"),
	)

	It("shows no job in the state before its cancellation", func() {
		g.submit(plantainladder.CancelWorkflow{
			ID:    "j1",
			Queue: "q",
			Token: "t1",
		})
		Expect(isAnswered(wire.MethodLookup, request("/q/j1", "t1")).Leader).To(BeFalse())
	})

	It("answers no query from its state", func() {
		g.wake(old)
		Expect(call[api.JobsQuery, api.Jobs](c, wire.MethodJobs, api.JobsQuery{
			ID: "j",
		}).Leader).To(BeFalse())
	})
})

// Each refusal must not cost a round of messages of its own, and no sync of a disk: a
// caller with a wrong key would slow down all others.
var _ = Describe("A burst of refusals", func() {
	It("shares two rounds of messages to the group and writes nothing", func() {
		const calls = 200
		g := newGroup()
		g.submit(document(1, []string{"t1"}, "q"))
		l := g.leader()
		c := g.serve(l)
		sent, syncs, before := g.sent, g.syncs, g.confirmations
		g.isHeld = true
		replies := make(chan wire.LeaderReply[wire.Result], calls)
		for range calls {
			go func() {
				defer GinkgoRecover()
				replies <- call[wire.WorkflowRequest, wire.Result](c, wire.MethodLookup, request("/q/j", "wrong"))
			}()
		}
		Eventually(func() int {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.confirmations - before
		}).WithTimeout(5 * time.Second).Should(Equal(calls))
		Consistently(replies).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
		g.mu.Lock()
		g.isHeld = false
		g.deliver()
		g.mu.Unlock()
		for range calls {
			Eventually(replies).WithTimeout(5 * time.Second).Should(Receive(HaveField("Body.Kind", wire.ResultBadToken)))
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		// A round is a message to each of the two others and its answer.
		Expect(g.sent - sent).To(BeNumerically("<=", 8))
		Expect(g.syncs - syncs).To(BeZero())
	})
})
