// Package minion sends requests to minions and receives their announcements.
package minion

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/util"
)

const (
	// MaxAnswerBytes is the size in bytes of the largest answer of a minion that is
	// accepted.
	MaxAnswerBytes = 8 << 20
	dialTimeout    = time.Second
	idleTimeout    = 4 * time.Second
	maxIdlePerHost = 2
)

// A WorkRequest is one copy of a caller's request, as it is sent to a minion.
type WorkRequest struct {
	// Address is the minion's address.
	Address string
	// ID identifies this copy of the request; the answer must repeat it.
	ID string
	// Organisation, Class and ContentType are passed on as headers.
	Organisation, Class, ContentType string
	// Path is the part of the caller's path after /v1/requests.
	Path string
	// Body is the complete body.
	Body []byte
	// NewConnection requests a new connection instead of one from the pool.
	NewConnection bool
	// StartWithin is the time within which the minion may start the request.
	StartWithin time.Duration
}

// An Answer is a minion's complete answer.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the content type of the body.
	ContentType string
	// Body is the complete body.
	Body []byte
}

// A DeclinedError reports that the minion declined the request without running
// it.
type DeclinedError struct {
	// Reason is the reason that the minion gave.
	Reason string
}

// Error returns the reason.
func (e *DeclinedError) Error() string {
	return "declined by the minion: " + e.Reason
}

// An UnsentError reports that no byte of the request was sent to the minion.
type UnsentError struct {
	// Cause is the underlying error.
	Cause error
}

// Error returns the cause.
func (e *UnsentError) Error() string {
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error {
	return e.Cause
}

// A NoAnswerError reports that the request was sent, or may have been sent, and
// that no complete answer came.
type NoAnswerError struct {
	// Cause is the underlying error.
	Cause error
}

// Error returns the cause.
func (e *NoAnswerError) Error() string {
	return "no complete answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error {
	return e.Cause
}

// A MismatchError reports an answer that belongs to another request or whose
// length is not known, so that a truncated body would go unnoticed.
type MismatchError struct {
	// Want and Got are the identifiers of the request that was sent and of the
	// one that was answered.
	Want, Got string
}

// Error returns both identifiers.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the answer is for request %q instead of %q, or its length is not known", e.Got, e.Want)
}

// A Client sends requests to minions.
type Client struct {
	token    string
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client that authenticates to minions with the token and
// dials from the local IP address source, or from any if source is empty.
func NewClient(token, source string) *Client {
	dial := util.DialFrom(source, dialTimeout)
	return &Client{
		token: token,
		pooled: &http.Client{
			Transport: &http.Transport{
				DialContext:         dial,
				MaxIdleConnsPerHost: maxIdlePerHost,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: returnRedirect,
		},
		unpooled: &http.Client{
			Transport: &http.Transport{
				DialContext:        dial,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: returnRedirect,
		},
	}
}

// CloseIdle closes the idle connections. If one connection has failed, others may
// have failed too.
func (c *Client) CloseIdle() {
	c.pooled.CloseIdleConnections()
}

func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Send sends a request and returns the complete answer. It returns a
// *DeclinedError or an *UnsentError if the request certainly did not run, and a
// *NoAnswerError if it may have run.
func (c *Client) Send(ctx context.Context, w WorkRequest) (a Answer, err error) {
	var mayBeSent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			// From here on the request may be sent.
			mayBeSent.Store(true)
		},
	}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), w)
	if err != nil {
		return a, &UnsentError{
			Cause: err,
		}
	}
	client := c.pooled
	if w.NewConnection {
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil && !mayBeSent.Load() {
		return a, &UnsentError{
			Cause: err,
		}
	}
	if err != nil {
		return a, &NoAnswerError{
			Cause: err,
		}
	}
	defer func() { _ = resp.Body.Close() }()
	return read(resp, w.ID)
}

func (c *Client) request(ctx context.Context, w WorkRequest) (req *http.Request, err error) {
	// net/http cannot rewind a body of this type, so it cannot send the request
	// a second time by itself.
	body := io.MultiReader(bytes.NewReader(w.Body))
	req, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Address+"/v1/work"+w.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(w.Body))
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", w.ContentType)
	req.Header.Set(api.HeaderRequestID, w.ID)
	req.Header.Set(api.HeaderOrganisation, w.Organisation)
	req.Header.Set(api.HeaderClass, w.Class)
	req.Header.Set(api.HeaderStartWithin, strconv.FormatInt(w.StartWithin.Milliseconds(), 10))
	return req, nil
}

// read returns the answer if it is complete and belongs to this request.
func read(resp *http.Response, id string) (a Answer, err error) {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(api.HeaderOutcome) == api.OutcomeNotRun {
		return a, &DeclinedError{
			Reason: resp.Header.Get(api.HeaderReason),
		}
	}
	hasLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if got := resp.Header.Get(api.HeaderRequestID); got != id || !hasLength {
		return a, &NoAnswerError{
			Cause: &MismatchError{
				Want: id,
				Got:  got,
			},
		}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return a, &NoAnswerError{
			Cause: err,
		}
	}
	if len(body) > MaxAnswerBytes {
		return a, &NoAnswerError{
			Cause: errAnswerTooLarge,
		}
	}
	return Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

var errAnswerTooLarge = errors.New("the answer is larger than 8388608 bytes")
