// Package reply writes the JSON responses of the gateway's HTTP interface and
// decodes the bodies of its requests.
package reply

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/api"
)

// A Failure is a response that reports an error.
type Failure struct {
	// Status is the HTTP status code.
	Status int
	// Body is the body of the response.
	Body api.Error
}

// JSON writes body as JSON with an HTTP status code.
func JSON[T any](w http.ResponseWriter, status int, body T) {
	b, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "the response cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// RefusalCounter returns the counter of refusals with a reason.
func RefusalCounter(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("gateway_refusals_total{reason=%q}", reason))
}

// Fail writes a failure and counts it under its reason.
func Fail(w http.ResponseWriter, f Failure) {
	RefusalCounter(f.Body.Reason).Inc()
	w.Header().Set(api.HeaderOutcome, f.Body.Outcome)
	w.Header().Set(api.HeaderReason, f.Body.Reason)
	if ms := f.Body.RetryAfterMS; ms > 0 {
		seconds := (time.Duration(ms)*time.Millisecond + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	JSON(w, f.Status, f.Body)
}

// BadField returns the failure for a field with an invalid value.
func BadField(field, problem string) *Failure {
	return &Failure{
		Status: http.StatusBadRequest,
		Body: api.Error{
			Outcome: api.OutcomeNotRun,
			Reason:  string(plantainladder.RefusedBadField),
			Field:   field,
			Detail:  problem,
		},
	}
}

// Overloaded returns the failure for a call that the gateway could not queue.
func Overloaded() Failure {
	return Failure{
		Status: http.StatusServiceUnavailable,
		Body: api.Error{
			Outcome: api.OutcomeNotRun,
			Reason:  "gateway-busy",
			Detail:  "the gateway is overloaded; try another gateway",
		},
	}
}

// Refused returns the failure for a command that the controllers refused.
func Refused(o plantainladder.Outcome) *Failure {
	return &Failure{
		Status: statusOf(o.Reason),
		Body: api.Error{
			Outcome:  api.OutcomeNotRun,
			Reason:   string(o.Reason),
			Field:    o.Field,
			Detail:   o.Detail,
			Revision: o.Revision,
		},
	}
}

func statusOf(r plantainladder.Reason) int {
	switch r {
	case plantainladder.RefusedBadField:
		return http.StatusBadRequest
	case plantainladder.RefusedWrongRevision, plantainladder.RefusedKeyReuse, plantainladder.RefusedWrongState:
		return http.StatusConflict
	case plantainladder.RefusedNotFound, plantainladder.RefusedUnknownOrganisation:
		return http.StatusNotFound
	case plantainladder.RefusedNotOwner, plantainladder.RefusedClassNotAllowed:
		return http.StatusForbidden
	case plantainladder.RefusedInfeasible:
		return http.StatusUnprocessableEntity
	case plantainladder.RefusedTableFull, plantainladder.RefusedQueueFull, plantainladder.RefusedOverLimit:
		return http.StatusTooManyRequests
	case plantainladder.RefusedTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusInternalServerError
}

// Decode decodes a JSON body of at most limit bytes. It refuses unknown fields and
// more than one document. It returns nil if the body is valid.
func Decode[T any](w http.ResponseWriter, r *http.Request, limit int64, body *T) *Failure {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	err := d.Decode(body)
	if err == nil && !d.More() {
		return nil
	}
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		f := BadField("body", "is too large")
		f.Status = http.StatusRequestEntityTooLarge
		return f
	case errors.As(err, &wrongType):
		return BadField(wrongType.Field, "must be a "+wrongType.Type.String())
	case err == nil:
		return BadField("body", "must contain exactly one JSON document")
	}
	return BadField("body", err.Error())
}
