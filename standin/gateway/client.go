// Package gateway provides the stand-ins with a client of gateways. It uses only
// the published HTTP interface, as real minions, workers and callers do.
package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/plantainladder/plantainladder/util"
)

const (
	callTimeout   = 3 * time.Second
	maxReplyBytes = 4 << 20
)

// A Client sends requests to gateways in turn, as a load balancer does, each on
// a new connection.
type Client struct {
	addresses []string
	token     string
	next      atomic.Uint64
	http      *http.Client
}

// NewClient returns a client of the gateways at the given addresses. It dials
// from the local IP address source, or from any if source is empty.
func NewClient(addresses []string, token, source string) *Client {
	return &Client{
		addresses: addresses,
		token:     token,
		http: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				DialContext:       util.DialFrom(source, callTimeout),
				DisableKeepAlives: true,
			},
		},
	}
}

// A StatusError reports a reply of a gateway with a status other than 200.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Body is the body of the reply.
	Body string
}

// Error returns the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("gateway replied with status %d: %s", e.Status, e.Body)
}

// Put sends a JSON document to a path of the next gateway and returns the decoded
// reply. It returns a *StatusError if the status is not 200.
func Put[In, Out any](ctx context.Context, c *Client, path string, in In) (out Out, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return out, err
	}
	address := c.addresses[c.next.Add(1)%uint64(len(c.addresses))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return out, err
	}
	if resp.StatusCode != http.StatusOK {
		return out, &StatusError{
			Status: resp.StatusCode,
			Body:   string(reply),
		}
	}
	err = json.Unmarshal(reply, &out)
	return out, err
}
