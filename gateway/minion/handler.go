package minion

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/gateway/reply"
	"github.com/plantainladder/plantainladder/minion"
)

const maxAnnouncementBytes = 4 << 10

// A HandlerConfig configures the handler of minions' calls.
type HandlerConfig struct {
	// Token is the token that minions authenticate with.
	Token string
	// Post queues an event for the event loop.
	Post func(ctx context.Context, e admission.Event) error
	// State returns the gateway's published state.
	State func() admission.State
	// Clock returns the current time.
	Clock func() time.Time
}

// Register registers the handler of minions' calls with mux.
func Register(mux *http.ServeMux, cfg HandlerConfig) {
	mux.Handle("PUT /v1/minions/{name}", reply.RequireToken(cfg.Token, http.HandlerFunc(cfg.announce)))
}

// announce handles an announcement. An address without a host is completed with
// the host that the announcement came from.
func (cfg HandlerConfig) announce(w http.ResponseWriter, r *http.Request) {
	var a minion.Announcement
	if f := reply.Decode(w, r, maxAnnouncementBytes, &a); f != nil {
		reply.Fail(w, *f)
		return
	}
	if a.Name != r.PathValue("name") {
		reply.Fail(w, *reply.BadField("name", "must match the name in the path"))
		return
	}
	if err := a.Check(); err != nil {
		reply.Fail(w, *reply.BadField(err.Field, err.Problem))
		return
	}
	address, ok := reply.FullAddress(a.Address, r)
	if !ok {
		reply.Fail(w, *reply.BadField("address", "must be a host and a port"))
		return
	}
	a.Address = address
	if err := cfg.Post(r.Context(), admission.AnnouncementReceived{
		Announcement: a,
	}); err != nil {
		reply.Fail(w, reply.Overloaded())
		return
	}
	reply.JSON(w, http.StatusOK, AnnounceReply(cfg.State(), cfg.Clock(), a.DataCentre))
}
