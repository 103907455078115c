package controller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

// startSubmitController starts a controller that answers submissions, and returns its
// address.
func startSubmitController(answer func(s wire.Submission) wire.LeaderReply[wire.Result]) (address string) {
	s := rpc.NewServer(rpc.ServerConfig{
		MaxCalls: 8,
	})
	mux := http.NewServeMux()
	mux.Handle("/rpc", s)
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	rpc.Handle(s, wire.MethodSubmit, func(_ context.Context, q wire.Submission) (wire.LeaderReply[wire.Result], error) {
		return answer(q), nil
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// accept records the identifiers of the calls whose submissions arrive, and accepts them.
func accept(calls chan<- string) func(s wire.Submission) wire.LeaderReply[wire.Result] {
	return func(s wire.Submission) wire.LeaderReply[wire.Result] {
		calls <- s.Spec.Call
		return wire.LeaderReply[wire.Result]{
			Leader: true,
			Body: wire.Result{
				Kind: wire.ResultDone,
			},
		}
	}
}

func submit(addresses ...string) {
	l := startClient(addresses...)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := controller.Submit(ctx, l, wire.Submission{})
	Expect(err).NotTo(HaveOccurred())
}

// A leader may have accepted a job whose answer was lost. The next one can tell that only
// by the identifier of the call; without it, it refuses what runs.
var _ = Describe("A submission to the leader", func() {
	var calls chan string

	BeforeEach(func() {
		calls = make(chan string, 2)
	})

	expectSameCall := func() {
		GinkgoHelper()
		var first, second string
		Expect(calls).To(Receive(&first))
		Expect(calls).To(Receive(&second))
		Expect(first).NotTo(BeEmpty())
		Expect(second).To(Equal(first))
	}

	It("has the same call's identifier when it is sent again since its outcome is unknown", func() {
		submit(startSubmitController(func(s wire.Submission) wire.LeaderReply[wire.Result] {
			calls <- s.Spec.Call
			return wire.LeaderReply[wire.Result]{
				OutcomeUnknown: true,
			}
		}), startSubmitController(accept(calls)))
		expectSameCall()
	})

	It("has the same call's identifier when it is sent again since its answer did not come in time", func() {
		submit(startSubmitController(func(s wire.Submission) wire.LeaderReply[wire.Result] {
			calls <- s.Spec.Call
			time.Sleep(2 * time.Second)
			return wire.LeaderReply[wire.Result]{}
		}), startSubmitController(accept(calls)))
		expectSameCall()
	})

	It("has another call's identifier if it is another call", func() {
		address := startSubmitController(accept(calls))
		submit(address)
		submit(address)
		Expect(<-calls).NotTo(Equal(<-calls))
	})
})
