package controller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

func TestController(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controller")
}

// startController starts a controller that answers queries for the members, and
// returns its address.
func startController(answer func(ctx context.Context, self string) wire.LeaderReply[api.Members]) (address string) {
	s := rpc.NewServer(rpc.ServerConfig{
		MaxCalls: 8,
	})
	mux := http.NewServeMux()
	mux.Handle("/rpc", s)
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	address = strings.TrimPrefix(server.URL, "http://")
	rpc.Handle(s, wire.MethodMembers, func(ctx context.Context, _ wire.Empty) (wire.LeaderReply[api.Members], error) {
		return answer(ctx, address), nil
	})
	return address
}

func startClient(addresses ...string) *controller.LeaderClient {
	l := controller.NewLeaderClient(controller.Config{
		Addresses:  addresses,
		CountBytes: func(int, int) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go l.Run(ctx)
	return l
}

func queryMembers(l *controller.LeaderClient, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := controller.Query[wire.Empty, api.Members](ctx, l, wire.MethodMembers, wire.Empty{})
	return err
}

func lead(context.Context, string) wire.LeaderReply[api.Members] {
	return wire.LeaderReply[api.Members]{
		Leader: true,
	}
}

var _ = Describe("A client of the leader", func() {
	It("leaves a controller without a lease that names itself as the leader", func() {
		stale := startController(func(_ context.Context, self string) wire.LeaderReply[api.Members] {
			return wire.LeaderReply[api.Members]{
				Redirect: self,
			}
		})
		Expect(queryMembers(startClient(stale, startController(lead)), time.Second)).To(Succeed())
	})

	It("begins its next call at another controller if one has not answered", func() {
		silent := startController(func(ctx context.Context, _ string) wire.LeaderReply[api.Members] {
			<-ctx.Done()
			return wire.LeaderReply[api.Members]{}
		})
		l := startClient(silent, startController(lead))
		const timeout = 500 * time.Millisecond
		Expect(queryMembers(l, timeout)).NotTo(Succeed())
		Expect(queryMembers(l, timeout)).To(Succeed())
	})
})
