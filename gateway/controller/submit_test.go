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

// refuseUnlessResent replies as a leader does whose configuration lacks the key of a job
// that was accepted before.
func refuseUnlessResent(s wire.Submission) wire.LeaderReply[wire.Result] {
	kind := wire.ResultBadToken
	if s.Resent {
		kind = wire.ResultDone
	}
	return wire.LeaderReply[wire.Result]{
		Leader: true,
		Body: wire.Result{
			Kind: kind,
		},
	}
}

func submit(addresses ...string) wire.ResultKind {
	l := startClient(addresses...)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := controller.Submit(ctx, l, wire.Submission{})
	Expect(err).NotTo(HaveOccurred())
	return r.Kind
}

// A leader may have accepted a job whose answer was lost. The next one can tell that only
// from a mark; without it, it refuses what runs.
var _ = Describe("A submission to the leader", func() {
	It("is marked as sent again if its outcome is unknown", func() {
		Expect(submit(startSubmitController(func(wire.Submission) wire.LeaderReply[wire.Result] {
			return wire.LeaderReply[wire.Result]{
				OutcomeUnknown: true,
			}
		}), startSubmitController(refuseUnlessResent))).To(Equal(wire.ResultDone))
	})

	It("is marked as sent again if its answer did not come in time", func() {
		Expect(submit(startSubmitController(func(wire.Submission) wire.LeaderReply[wire.Result] {
			time.Sleep(2 * time.Second)
			return wire.LeaderReply[wire.Result]{}
		}), startSubmitController(refuseUnlessResent))).To(Equal(wire.ResultDone))
	})

	It("is not marked if no controller can have got it", func() {
		const nobody = "127.0.0.1:1"
		notLeading := startSubmitController(func(wire.Submission) wire.LeaderReply[wire.Result] {
			return wire.LeaderReply[wire.Result]{}
		})
		Expect(submit(nobody, notLeading, startSubmitController(refuseUnlessResent))).To(Equal(wire.ResultBadToken))
	})
})
