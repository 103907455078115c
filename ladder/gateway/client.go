// Package gateway provides the command line with a client of the operator
// interface of gateways.
package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/util"
)

const maxReplyBytes = 64 << 20

// A Config configures a Client.
type Config struct {
	// Addresses lists the gateways. They are tried in the given order.
	Addresses []string
	// Token is the token of the operators.
	Token string
	// Timeout is the time limit of one attempt.
	Timeout time.Duration
}

// A Client sends requests to gateways.
type Client struct {
	cfg  Config
	http *http.Client
}

// NewClient returns a client.
func NewClient(cfg Config) *Client {
	return &Client{
		cfg: cfg,
		http: &http.Client{
			Timeout: cfg.Timeout,
		},
	}
}

// A RefusedError reports a reply of a gateway with an error status.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// Body is the body of the reply.
	Body api.Error
}

// Error returns the reason, the field, the detail and the current revision, as
// far as the gateway has sent them.
func (e *RefusedError) Error() string {
	message := fmt.Sprintf("%s: %s", e.Body.Reason, e.Body.Detail)
	if e.Body.Field != "" {
		message = fmt.Sprintf("%s: %s: %s", e.Body.Reason, e.Body.Field, e.Body.Detail)
	}
	if e.Body.Revision > 0 {
		message += fmt.Sprintf(" (current revision %d)", e.Body.Revision)
	}
	return message
}

// IsFinal reports whether other gateways would refuse the request as well.
func (e *RefusedError) IsFinal() bool {
	return e.Status < http.StatusInternalServerError
}

// A Request is a request to a gateway.
type Request[In any] struct {
	// Method and Path are the HTTP method and the path.
	Method, Path string
	// Body is sent as JSON if HasBody is true.
	Body    In
	HasBody bool
}

// Do sends a request to one gateway after another until one accepts it or refuses
// it finally, and returns the decoded reply. All attempts have the same command
// identifier, so that an edit is applied at most once. Do returns a *RefusedError
// if the request was refused, or else the error of the last attempt.
func Do[In, Out any](ctx context.Context, c *Client, r Request[In]) (out Out, err error) {
	id := util.NewID()
	for _, address := range c.cfg.Addresses {
		out, err = attempt[In, Out](ctx, c, address, id, r)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) && refused.IsFinal() {
			return out, err
		}
	}
	return out, err
}

func attempt[In, Out any](ctx context.Context, c *Client, address, id string, r Request[In]) (out Out, err error) {
	defer util.Annotate(&err, r.Method+" http://"+address+r.Path)
	var body io.Reader
	if r.HasBody {
		b, err := json.Marshal(r.Body)
		if err != nil {
			return out, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, body)
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(api.HeaderCommandID, id)
	resp, err := c.http.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return out, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		refused := &RefusedError{
			Status: resp.StatusCode,
		}
		if json.Unmarshal(reply, &refused.Body) != nil {
			refused.Body.Reason = resp.Status
			refused.Body.Detail = string(reply)
		}
		return out, refused
	}
	err = json.Unmarshal(reply, &out)
	return out, err
}
