package node

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainladder/plantainladder/controller/gateway"
	"github.com/plantainladder/plantainladder/controller/operator"
	"github.com/plantainladder/plantainladder/controller/replica"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/util"
)

// handler returns the HTTP handler for RPC calls, health checks and metrics.
func (n *Node) handler() http.Handler {
	s := rpc.NewServer(rpc.ServerConfig{
		Token:      n.cfg.ClusterToken,
		MaxCalls:   maxConcurrentCalls,
		Frames:     n.cfg.Intake.Frames,
		Calls:      n.cfg.Intake.Calls,
		CountBytes: n.meters.countBytes,
	})
	replica.Register(s, replica.ServerConfig{
		Post:   n.loop.Post,
		Folder: n.folder,
	})
	gateway.Register(s, gateway.Config{
		Post:            n.loop.Post,
		Core:            n.loop.State,
		Clock:           time.Now,
		PendingRequests: n.pending,
		LimitOverage:    n.cfg.Dispatch.LimitOverage,
		Logger:          util.ForComponent(n.cfg.Logger, "controller/gateway"),
	})
	operator.Register(s, operator.Config{
		Post:            n.loop.Post,
		Core:            n.loop.State,
		PendingRequests: n.pending,
		ID:              n.folder.ID(),
		Token:           n.cfg.ClusterToken,
		Source:          n.cfg.Source,
	})
	mux := http.NewServeMux()
	mux.Handle("/rpc", s)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.meters.updateGauges(time.Now(), n.loop.State())
		metrics.WritePrometheus(w, true)
	})
	return mux
}

// serveReady responds with status 200 if the controller knows a leader, and with
// 503 otherwise.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.loop.State().Replica().Leader() == "" {
		http.Error(w, "no leader is known", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
