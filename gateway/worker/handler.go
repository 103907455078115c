// Package worker receives the heartbeats of workers, forwards them to the leader
// and returns its replies.
package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/gateway/reply"
	"github.com/plantainladder/plantainladder/worker"
)

const (
	maxHeartbeatBytes = 1 << 20
	heartbeatTimeout  = 4 * time.Second
)

// A HandlerConfig configures the handler of workers' calls.
type HandlerConfig struct {
	// Token is the token that workers authenticate with.
	Token string
	// Heartbeat sends a heartbeat to the leader and waits for the reply.
	Heartbeat func(ctx context.Context, hb worker.Heartbeat) (worker.HeartbeatReply, error)
}

// Register registers the handler of workers' calls with mux.
func Register(mux *http.ServeMux, cfg HandlerConfig) {
	mux.Handle("PUT /v1/workers/{name}", reply.RequireToken(cfg.Token, http.HandlerFunc(cfg.serveHeartbeat)))
}

func (cfg HandlerConfig) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var hb worker.Heartbeat
	if f := reply.Decode(w, r, maxHeartbeatBytes, &hb); f != nil {
		reply.Fail(w, *f)
		return
	}
	if f := check(&hb, r); f != nil {
		reply.Fail(w, *f)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	answer, err := cfg.Heartbeat(ctx, hb)
	if err != nil {
		reply.Fail(w, reply.Failure{
			Status: http.StatusServiceUnavailable,
			Body: api.Error{
				Outcome: api.OutcomeUnknown,
				Reason:  "no-leader",
				Detail:  "no leading controller answered in time",
			},
		})
		return
	}
	reply.JSON(w, http.StatusOK, answer)
}

func check(hb *worker.Heartbeat, r *http.Request) *reply.Failure {
	if hb.Worker.Name != r.PathValue("name") {
		return reply.BadField("name", "must match the name in the path")
	}
	for field, value := range map[string]string{
		"name":        hb.Worker.Name,
		"data-centre": hb.Worker.DataCentre,
		"rack":        hb.Worker.Rack,
		"incarnation": hb.Worker.Incarnation,
	} {
		if err := contract.CheckName(field, value); err != nil {
			return reply.BadField(err.Field, err.Problem)
		}
	}
	address, ok := reply.FullAddress(hb.Worker.Address, r)
	if !ok {
		return reply.BadField("address", "must be a host and a port")
	}
	hb.Worker.Address = address
	return nil
}
