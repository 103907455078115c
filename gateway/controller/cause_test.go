package controller_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

// commandHandler answers the commands to the controller at an address.
type commandHandler func(ctx context.Context, self string) (wire.CommandReply, error)

func (h commandHandler) start() (address string) {
	s := rpc.NewServer(rpc.ServerConfig{
		MaxCalls: 8,
	})
	mux := http.NewServeMux()
	mux.Handle("/rpc", s)
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	address = strings.TrimPrefix(server.URL, "http://")
	rpc.Handle(s, wire.MethodCommand, func(ctx context.Context, _ wire.Command) (wire.CommandReply, error) {
		return h(ctx, address)
	})
	return address
}

// alwaysReply returns a handler that answers each command in the same way.
func alwaysReply(r wire.CommandReply) commandHandler {
	return func(context.Context, string) (wire.CommandReply, error) {
		return r, nil
	}
}

// A call that got answers from controllers that do not lead was said to have called none.
var _ = DescribeTable("A call that no leader answers tells the cause", func(h commandHandler, timeout time.Duration, cause string) {
	// Nothing listens on this port.
	address := "127.0.0.1:1"
	if h != nil {
		address = h.start()
	}
	l := startClient(address)
	counter := metrics.GetOrCreateCounter(`gateway_controller_failures_total{cause="` + cause + `"}`)
	before := counter.Get()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := l.Command(ctx, "", plantainladder.SetDataCentre{
		Name: "a",
	})
	var noLeader *controller.NoLeaderError
	Expect(errors.As(err, &noLeader)).To(BeTrue())
	Expect(controller.CauseName(noLeader.Cause)).To(Equal(cause), err.Error())
	Expect(counter.Get()).To(Equal(before + 1))
	switch cause {
	case "not-called":
		Expect(noLeader.LastCalled).To(BeEmpty())
		Expect(noLeader.Calls).To(BeZero())
		return
	case "not-reached":
		Expect(noLeader.Sent).To(BeFalse())
	case "failed", "no-reply", "outcome-unknown":
		Expect(noLeader.Sent).To(BeTrue())
	}
	Expect(noLeader.LastCalled).To(Equal(address))
	Expect(noLeader.Calls).To(BeNumerically(">", 0))
},
	Entry("if none was called", nil, time.Duration(0), "not-called"),
	Entry("if none was reached", nil, 200*time.Millisecond, "not-reached"),
	Entry("if none knows a leader", alwaysReply(wire.CommandReply{}), 200*time.Millisecond, "no-leader-known"),
	Entry("if a leader without a lease names itself", commandHandler(func(_ context.Context, self string) (wire.CommandReply, error) {
		return wire.CommandReply{
			Redirect: self,
		}, nil
	}), 200*time.Millisecond, "redirected"),
	Entry("if a controller fails", commandHandler(func(context.Context, string) (r wire.CommandReply, err error) {
		return r, errors.ErrUnsupported
	}), 200*time.Millisecond, "failed"),
	Entry("if a controller does not reply", commandHandler(func(ctx context.Context, _ string) (r wire.CommandReply, err error) {
		<-ctx.Done()
		return r, ctx.Err()
	}), 200*time.Millisecond, "no-reply"),
	Entry("if the leader is busy", alwaysReply(wire.CommandReply{
		Leader: true,
		Busy:   true,
	}), 200*time.Millisecond, "busy"),
	Entry("if the outcome is unknown", alwaysReply(wire.CommandReply{
		Leader:         true,
		OutcomeUnknown: true,
	}), 200*time.Millisecond, "outcome-unknown"),
	Entry("if the group is incomplete", alwaysReply(wire.CommandReply{
		Leader:          true,
		Busy:            true,
		GroupIncomplete: true,
	}), 200*time.Millisecond, "group-incomplete"),
	Entry("if the group is incomplete, by its reason", alwaysReply(wire.CommandReply{
		Leader:     true,
		Busy:       true,
		BusyReason: wire.BusyGroupIncomplete,
	}), 200*time.Millisecond, "group-incomplete"),
	Entry("if the leader commits nothing", alwaysReply(wire.CommandReply{
		Leader:     true,
		Busy:       true,
		BusyReason: wire.BusyCommitStalled,
	}), 200*time.Millisecond, "commit-stalled"),
)

// Many calls end while their last attempt is under way, which would hide the answers that
// came before.
var _ = Describe("A call whose end cuts its last attempt short", func() {
	It("tells the cause of the attempts before", func() {
		const timeout = 200 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		deadline, _ := ctx.Deadline()
		l := startClient(commandHandler(func(ctx context.Context, _ string) (r wire.CommandReply, err error) {
			if time.Until(deadline) < timeout/4 {
				<-ctx.Done()
			}
			return r, nil
		}).start())
		_, err := l.Command(ctx, "", plantainladder.SetDataCentre{
			Name: "a",
		})
		var noLeader *controller.NoLeaderError
		Expect(errors.As(err, &noLeader)).To(BeTrue())
		Expect(noLeader.Cause).To(Equal(&controller.NoLeaderKnownError{}))
		Expect(noLeader.Sent).To(BeTrue())
	})
})
