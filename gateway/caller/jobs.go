package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/gateway/reply"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/wire"
)

const (
	commandTimeout = 8 * time.Second
	maxJobBody     = 64 << 10
)

func (h *Handler) registerJobs(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", h.submitJob)
	mux.HandleFunc("GET /v1/jobs", h.listJobs)
	mux.HandleFunc("GET /v1/jobs/{id}", h.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", h.cancelJob)
}

// submitJob submits a job. It responds that the job is accepted only after the
// command was committed.
func (h *Handler) submitJob(w http.ResponseWriter, r *http.Request) {
	var spec job.Spec
	if f := reply.Decode(w, r, maxJobBody, &spec); f != nil {
		h.fail(w, *f)
		return
	}
	if spec.Organisation == "" {
		spec.Organisation = r.Header.Get(api.HeaderOrganisation)
	}
	if f := h.Authenticate(r, spec.Organisation); f != nil {
		h.fail(w, *f)
		return
	}
	h.command(w, r, http.StatusAccepted, plantainladder.SubmitJob{
		Spec: spec,
	})
}

func (h *Handler) cancelJob(w http.ResponseWriter, r *http.Request) {
	organisation := r.Header.Get(api.HeaderOrganisation)
	if f := h.Authenticate(r, organisation); f != nil {
		h.fail(w, *f)
		return
	}
	h.command(w, r, http.StatusAccepted, plantainladder.CancelJob{
		ID:           r.PathValue("id"),
		Organisation: organisation,
	})
}

// command replicates a command and responds with its outcome. The command must
// be idempotent, since it may be repeated.
func (h *Handler) command(w http.ResponseWriter, r *http.Request, status int, c plantainladder.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	o, err := h.cfg.LeaderClient.Command(ctx, "", c)
	switch {
	case err != nil:
		h.fail(w, CommandFailure(err))
	case !o.IsAccepted():
		h.fail(w, *reply.Refused(o))
	default:
		reply.JSON(w, status, api.Accepted{
			Revision: o.Revision,
			Index:    o.Index,
		})
	}
}

// CommandFailure returns the failure for a command or a query that no leader
// replied to. The outcome is "not run" if it was not sent and "unknown" otherwise.
func CommandFailure(err error) reply.Failure {
	f := unknownFailure("no-leader", err.Error())
	var noLeader *controller.NoLeaderError
	if errors.As(err, &noLeader) && !noLeader.Sent {
		f.Body.Outcome = api.OutcomeNotRun
	}
	if reason, ok := controller.RefusalReason(err); ok {
		f.Body.Reason = reason
	}
	f.Status = http.StatusServiceUnavailable
	f.Body.RetryAfterMS = viewRetryAfter.Milliseconds()
	return *f
}

func (h *Handler) listJobs(w http.ResponseWriter, r *http.Request) {
	h.queryJobs(w, r, "")
}

func (h *Handler) getJob(w http.ResponseWriter, r *http.Request) {
	h.queryJobs(w, r, r.PathValue("id"))
}

func (h *Handler) queryJobs(w http.ResponseWriter, r *http.Request, id string) {
	organisation := r.Header.Get(api.HeaderOrganisation)
	if f := h.Authenticate(r, organisation); f != nil {
		h.fail(w, *f)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	list, err := controller.Query[api.JobsQuery, api.Jobs](ctx, h.cfg.LeaderClient, wire.MethodJobs, api.JobsQuery{
		ID:           id,
		Organisation: organisation,
	})
	switch {
	case err != nil:
		h.fail(w, CommandFailure(err))
	case id == "":
		reply.JSON(w, http.StatusOK, list)
	case len(list.Jobs) == 0:
		h.fail(w, *notFound("there is no such job"))
	default:
		reply.JSON(w, http.StatusOK, list.Jobs[0])
	}
}

func notFound(detail string) *reply.Failure {
	return reply.Refused(plantainladder.Outcome{
		Reason: plantainladder.RefusedNotFound,
		Detail: detail,
	})
}
