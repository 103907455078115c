// Package operator handles the calls of operators on contracts, data centres,
// jobs, members, claims and the status of the system.
package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/datacentre"
	"github.com/plantainladder/plantainladder/gateway/caller"
	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/gateway/reply"
	"github.com/plantainladder/plantainladder/wire"
)

const (
	callTimeout  = 8 * time.Second
	maxBodyBytes = 256 << 10
	maxIDLength  = 128
)

// A HandlerConfig configures the handler of operators' calls.
type HandlerConfig struct {
	// Token is the token that operators authenticate with.
	Token string
	// LeaderClient calls the leading controller.
	LeaderClient *controller.LeaderClient
	// State returns the gateway's published state.
	State func() admission.State
	// Logger is the logger of the package.
	Logger zerolog.Logger
}

// Register registers the handler of operators' calls with mux.
func Register(mux *http.ServeMux, cfg HandlerConfig) {
	for pattern, handler := range map[string]http.HandlerFunc{
		"GET /v1/contracts":                          cfg.listContracts,
		"GET /v1/contracts/{organisation}":           cfg.getContract,
		"PUT /v1/contracts/{organisation}":           cfg.putContract,
		"DELETE /v1/contracts/{organisation}":        cfg.dropContract,
		"GET /v1/data-centres":                       cfg.listDataCentres,
		"PUT /v1/data-centres/{name}":                cfg.setDataCentre,
		"GET /v1/workers":                            serveQuery[wire.Empty, api.Workers](cfg, wire.MethodWorkers),
		"DELETE /v1/workers/{name}":                  cfg.removeWorker,
		"GET /v1/minions":                            serveQuery[wire.Empty, api.Minions](cfg, wire.MethodMinions),
		"GET /v1/status":                             serveQuery[wire.Empty, api.Status](cfg, wire.MethodStatus),
		"GET /v1/in-force/{index}":                   cfg.inForce,
		"GET /v1/claims":                             serveQuery[wire.Empty, api.Claims](cfg, wire.MethodClaims),
		"POST /v1/claims/{organisation}/{id}/settle": cfg.resolveClaim,
		"GET /v1/operator/jobs":                      serveQuery[api.JobsQuery, api.Jobs](cfg, wire.MethodJobs),
		"GET /v1/operator/jobs/{id}":                 cfg.getJob,
		"DELETE /v1/operator/jobs/{id}":              cfg.cancelJob,
		"POST /v1/operator/jobs/{id}/release":        cfg.releaseJob,
		"GET /v1/members":                            serveQuery[wire.Empty, api.Members](cfg, wire.MethodMembers),
		"POST /v1/members":                           cfg.addMember,
		"POST /v1/members/form":                      cfg.formMembers,
		"DELETE /v1/members/{id}":                    cfg.removeMember,
	} {
		mux.Handle(pattern, reply.RequireToken(cfg.Token, handler))
	}
}

// serveQuery returns a handler that sends the leader a query without parameters
// and responds with the reply.
func serveQuery[Q, A any](cfg HandlerConfig, method string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		answerQuery[Q, A](cfg, w, r, method, q)
	}
}

func answerQuery[Q, A any](cfg HandlerConfig, w http.ResponseWriter, r *http.Request, method string, q Q) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	a, err := controller.Query[Q, A](ctx, cfg.LeaderClient, method, q)
	if err != nil {
		reply.Fail(w, caller.CommandFailure(err))
		return
	}
	reply.JSON(w, http.StatusOK, a)
}

// command replicates a command and responds with its outcome. The identifier in
// the request's header makes it safe to send the command again.
func (cfg HandlerConfig) command(w http.ResponseWriter, r *http.Request, c plantainladder.Command) {
	id := r.Header.Get(api.HeaderCommandID)
	if len(id) > maxIDLength {
		reply.Fail(w, *reply.BadField(api.HeaderCommandID, "must have at most 128 characters"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	o, err := cfg.LeaderClient.Command(ctx, id, c)
	switch {
	case err != nil:
		reply.Fail(w, caller.CommandFailure(err))
	case !o.IsAccepted():
		reply.Fail(w, *reply.Refused(o))
	default:
		cfg.Logger.Info().Str("command", wire.CommandName(c)).Uint64("index", o.Index).Msg("Operator command was committed.")
		reply.JSON(w, http.StatusOK, api.Accepted{
			Revision: o.Revision,
			Index:    o.Index,
		})
	}
}

func (cfg HandlerConfig) listContracts(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, api.Contracts{
		Contracts: cfg.State().View().Contracts(),
	})
}

func (cfg HandlerConfig) getContract(w http.ResponseWriter, r *http.Request) {
	c, ok := cfg.State().View().Contract(r.PathValue("organisation"))
	if !ok {
		reply.Fail(w, notFound("there is no such contract"))
		return
	}
	reply.JSON(w, http.StatusOK, c)
}

func notFound(detail string) reply.Failure {
	return *reply.Refused(plantainladder.Outcome{
		Reason: plantainladder.RefusedNotFound,
		Detail: detail,
	})
}

func (cfg HandlerConfig) putContract(w http.ResponseWriter, r *http.Request) {
	var c contract.Contract
	if f := reply.Decode(w, r, maxBodyBytes, &c); f != nil {
		reply.Fail(w, *f)
		return
	}
	if c.Organisation != r.PathValue("organisation") {
		reply.Fail(w, *reply.BadField("organisation", "must be the one in the path"))
		return
	}
	cfg.command(w, r, plantainladder.PutContract{
		Contract: c,
	})
}

func (cfg HandlerConfig) dropContract(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		reply.Fail(w, *reply.BadField("revision", "must be a number"))
		return
	}
	cfg.command(w, r, plantainladder.DropContract{
		Organisation: r.PathValue("organisation"),
		Revision:     revision,
	})
}

func (cfg HandlerConfig) listDataCentres(w http.ResponseWriter, _ *http.Request) {
	known := map[string]bool{}
	out := api.DataCentres{
		DataCentres: cfg.State().View().DataCentres(),
	}
	for _, d := range out.DataCentres {
		known[d.Name] = true
	}
	for _, m := range cfg.State().Minions().All() {
		if name := m.Announcement.DataCentre; !known[name] {
			known[name] = true
			out.DataCentres = append(out.DataCentres, datacentre.DataCentre{
				Name: name,
			})
		}
	}
	reply.JSON(w, http.StatusOK, out)
}

func (cfg HandlerConfig) setDataCentre(w http.ResponseWriter, r *http.Request) {
	var d api.SetDataCentre
	if f := reply.Decode(w, r, maxBodyBytes, &d); f != nil {
		reply.Fail(w, *f)
		return
	}
	cfg.command(w, r, plantainladder.SetDataCentre{
		Name:         r.PathValue("name"),
		OutOfService: d.OutOfService,
		Revision:     d.Revision,
	})
}

func (cfg HandlerConfig) removeWorker(w http.ResponseWriter, r *http.Request) {
	cfg.command(w, r, plantainladder.RemoveWorker{
		Name: r.PathValue("name"),
	})
}

func (cfg HandlerConfig) inForce(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.PathValue("index"), 10, 64)
	if err != nil {
		reply.Fail(w, *reply.BadField("index", "must be a number"))
		return
	}
	answerQuery[api.InForce, api.InForce](cfg, w, r, wire.MethodInForce, api.InForce{
		Index: index,
	})
}

func (cfg HandlerConfig) resolveClaim(w http.ResponseWriter, r *http.Request) {
	var body api.ResolveClaim
	if f := reply.Decode(w, r, maxBodyBytes, &body); f != nil {
		reply.Fail(w, *f)
		return
	}
	cfg.command(w, r, plantainladder.ResolveClaim{
		Key: claim.Key{
			Organisation: r.PathValue("organisation"),
			ID:           r.PathValue("id"),
		},
		Note: body.Note,
	})
}

func (cfg HandlerConfig) getJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	list, err := controller.Query[api.JobsQuery, api.Jobs](ctx, cfg.LeaderClient, wire.MethodJobs, api.JobsQuery{
		ID: r.PathValue("id"),
	})
	switch {
	case err != nil:
		reply.Fail(w, caller.CommandFailure(err))
	case len(list.Jobs) == 0:
		reply.Fail(w, notFound("there is no such job"))
	default:
		reply.JSON(w, http.StatusOK, list.Jobs[0])
	}
}

func (cfg HandlerConfig) cancelJob(w http.ResponseWriter, r *http.Request) {
	cfg.command(w, r, plantainladder.CancelJob{
		ID: r.PathValue("id"),
	})
}

func (cfg HandlerConfig) releaseJob(w http.ResponseWriter, r *http.Request) {
	cfg.command(w, r, plantainladder.ReleaseJob{
		ID: r.PathValue("id"),
	})
}
