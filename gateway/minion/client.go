// Package minion speaks to minions: it sends them requests and takes their
// announcements.
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
	// MaxAnswerBytes is the largest answer of a minion in bytes.
	MaxAnswerBytes = 8 << 20
	dialTimeout    = time.Second
	idleTimeout    = 4 * time.Second
	maxIdlePerHost = 2
)

// A WorkRequest is one request as a minion gets it.
type WorkRequest struct {
	// Address is the minion's address.
	Address string
	// ID names this copy of the request; the answer must repeat it.
	ID string
	// Organisation, Class and ContentType go along.
	Organisation, Class, ContentType string
	// Path is what the caller wrote behind /v1/requests.
	Path string
	// Body is the whole body.
	Body []byte
	// NewConnection asks for a connection of its own.
	NewConnection bool
	// StartWithin is how long the right to start still holds.
	StartWithin time.Duration
}

// An Answer is a minion's whole answer.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the type of the body.
	ContentType string
	// Body is the whole body.
	Body []byte
}

// A DeclinedError says that the minion refused the request before it ran.
type DeclinedError struct {
	// Reason is the minion's word for it.
	Reason string
}

// Error returns the reason.
func (e *DeclinedError) Error() string {
	return "declined by the minion: " + e.Reason
}

// An UnsentError says that no byte of the request reached the minion.
type UnsentError struct {
	// Cause is what was seen.
	Cause error
}

// Error returns what was seen.
func (e *UnsentError) Error() string {
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns what was seen.
func (e *UnsentError) Unwrap() error {
	return e.Cause
}

// A NoAnswerError says that the request was sent and that no whole answer came.
type NoAnswerError struct {
	// Cause is what was seen.
	Cause error
}

// Error returns what was seen.
func (e *NoAnswerError) Error() string {
	return "broken off: " + e.Cause.Error()
}

// Unwrap returns what was seen.
func (e *NoAnswerError) Unwrap() error {
	return e.Cause
}

// A MismatchError reports an answer that belongs to another request or whose
// length cannot be checked.
type MismatchError struct {
	// Want and Got are the requests' identifiers.
	Want, Got string
}

// Error returns both identifiers.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the answer is for %q, not for %q, or has no length", e.Got, e.Want)
}

// A Client sends requests to minions.
type Client struct {
	token    string
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client that shows the given token to minions and dials
// from the given IP number, any if it is empty.
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

// CloseIdle closes the idle connections. One connection that went silent is a
// sign that others may have.
func (c *Client) CloseIdle() {
	c.pooled.CloseIdleConnections()
}

func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Send sends a request and returns the whole answer. It returns a
// *DeclinedError or an *UnsentError if the request certainly did not run, and
// a *NoAnswerError if it may have.
func (c *Client) Send(ctx context.Context, w WorkRequest) (a Answer, err error) {
	var mayBeSent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			// From here on bytes may leave this machine.
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
	// The body hides its type, so that the library cannot send it a second
	// time by itself.
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

// read returns an answer only if it is whole and for this request.
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

var errAnswerTooLarge = errors.New("the answer has more than 8388608 bytes")
