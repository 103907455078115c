package caller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/admission"
	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/gateway/controller"
	"github.com/plantainladder/plantainladder/gateway/minion"
	"github.com/plantainladder/plantainladder/gateway/reply"
)

const (
	// MaxBodyBytes is the size in bytes of the largest body of a request.
	MaxBodyBytes    = 1 << 20
	defaultDeadline = 30 * time.Second
	maxDeadline     = 24 * time.Hour
	postTimeout     = 2 * time.Second
	maxKeyLength    = 128
)

// A Config configures a Handler.
type Config struct {
	// Gateway is the name of this gateway.
	Gateway string
	// EffectRouter passes effects to requests.
	EffectRouter *EffectRouter
	// Post queues an event for the event loop.
	Post func(ctx context.Context, e admission.Event) error
	// State returns the gateway's published state.
	State func() admission.State
	// Clock returns the current time.
	Clock func() time.Time
	// Minions sends requests to minions.
	Minions *minion.Client
	// LeaderClient calls the leading controller.
	LeaderClient *controller.LeaderClient
	// AllowAnonymous accepts callers without a token.
	AllowAnonymous bool
	// Logger is the logger of the package.
	Logger zerolog.Logger
}

// A Handler handles the calls of callers.
type Handler struct {
	cfg Config
}

// NewHandler returns a handler and creates its counters.
func NewHandler(cfg Config) *Handler {
	for _, r := range retryReasons() {
		retryCounter(r)
	}
	return &Handler{
		cfg: cfg,
	}
}

// Register registers the handler of callers' calls with mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/requests", h.serveRequest)
	mux.HandleFunc("POST /v1/requests/{path...}", h.serveRequest)
	h.registerJobs(mux)
}

// call is a caller's request, parsed and authenticated.
type call struct {
	request admission.Request
	work    minion.WorkRequest
	key     string
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	c, failure := h.parse(w, r)
	if failure != nil {
		h.fail(w, *failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.request.Deadline)
	defer cancel()
	if c.request.Idempotent {
		h.runIdempotent(ctx, w, c)
		return
	}
	h.runOnce(ctx, w, c)
}

func (h *Handler) fail(w http.ResponseWriter, f reply.Failure) {
	reply.Fail(w, f)
}

// parse authenticates the caller and parses its request. It returns a failure if
// the request is refused.
func (h *Handler) parse(w http.ResponseWriter, r *http.Request) (c call, failure *reply.Failure) {
	organisation := r.Header.Get(api.HeaderOrganisation)
	if failure = h.Authenticate(r, organisation); failure != nil {
		return c, failure
	}
	class, ok := admission.ParseClass(r.Header.Get(api.HeaderClass))
	if !ok {
		return c, reply.BadField(api.HeaderClass, `must be "urgent", "normal" or "batch"`)
	}
	deadline, ok := parseDeadline(r.Header.Get(api.HeaderDeadline))
	if !ok {
		return c, reply.BadField(api.HeaderDeadline, "must be a number of milliseconds from 1 to 86400000")
	}
	idempotent, ok := parseBool(r.Header.Get(api.HeaderIdempotent))
	if !ok {
		return c, reply.BadField(api.HeaderIdempotent, `must be "true" or "false"`)
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if !idempotent && (key == "" || len(key) > maxKeyLength) {
		return c, reply.BadField(api.HeaderIdempotencyKey, "must have 1 to 128 characters for a request that is not idempotent")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return c, bodyFailure(err)
	}
	now := h.cfg.Clock()
	return call{
		request: admission.Request{
			Organisation: organisation,
			Class:        class,
			Deadline:     now.Add(deadline),
			Idempotent:   idempotent,
			ArrivedAt:    now,
		},
		work: minion.WorkRequest{
			Organisation:  organisation,
			Class:         admission.ClassName(class),
			ContentType:   r.Header.Get("Content-Type"),
			Path:          strings.TrimPrefix(r.URL.EscapedPath(), "/v1/requests"),
			Body:          body,
			NewConnection: !idempotent,
		},
		key: key,
	}, nil
}

func bodyFailure(err error) *reply.Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &reply.Failure{
			Status: http.StatusRequestEntityTooLarge,
			Body: api.Error{
				Outcome: api.OutcomeNotRun,
				Reason:  "body-too-large",
				Detail:  fmt.Sprintf("the body may have at most %d bytes", tooLarge.Limit),
			},
		}
	}
	return reply.BadField("body", "could not be read completely")
}

func parseDeadline(s string) (time.Duration, bool) {
	if s == "" {
		return defaultDeadline, true
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 1 || n > maxDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

func parseBool(s string) (value, ok bool) {
	switch s {
	case "true", "":
		return true, true
	case "false":
		return false, true
	}
	return false, false
}

// Authenticate returns nil if the caller may act for the organisation, and the
// failure to respond with otherwise.
func (h *Handler) Authenticate(r *http.Request, organisation string) *reply.Failure {
	if err := contract.CheckName(api.HeaderOrganisation, organisation); err != nil {
		return reply.BadField(err.Field, err.Problem)
	}
	s := h.cfg.State()
	if !s.Lease().IsValid(h.cfg.Clock()) {
		return notRunFailure(admission.RefusedViewExpired, viewRetryAfter)
	}
	c, ok := s.View().Contract(organisation)
	if !ok {
		return notRunFailure(admission.RefusedUnknownOrganisation, 0)
	}
	if h.cfg.AllowAnonymous || hasToken(c, r.Header.Get("Authorization")) {
		return nil
	}
	return &reply.Failure{
		Status: http.StatusUnauthorized,
		Body: api.Error{
			Outcome: api.OutcomeNotRun,
			Reason:  "wrong-token",
			Detail:  "the token does not belong to this organisation",
		},
	}
}

// viewRetryAfter tells callers when to retry after a failure to reach the leader.
const viewRetryAfter = 500 * time.Millisecond

func hasToken(c contract.Contract, header string) bool {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || c.TokenSHA256 == "" {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(c.TokenSHA256)) == 1
}
