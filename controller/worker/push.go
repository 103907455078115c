// Package worker pushes the leader's orders to workers over HTTP.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/util"
)

const (
	pushTimeout         = 500 * time.Millisecond
	maxConcurrentPushes = 128
	maxReplyBytes       = 4 << 20
)

// A Config describes a Pusher.
type Config struct {
	// Token is the secret shared with workers.
	Token string
	// Source is the IP address to dial from; empty for any.
	Source string
	// Logger is the logger of this component.
	Logger zerolog.Logger
	// PushAnswered is called with the worker's answer to each push that succeeded.
	PushAnswered func(e control.PushAnswered)
}

// A Pusher pushes orders to workers, each push in its own goroutine.
type Pusher struct {
	cfg    Config
	client *http.Client
	slots  chan struct{}
}

// NewPusher returns a Pusher without connections.
func NewPusher(cfg Config) *Pusher {
	return &Pusher{
		cfg: cfg,
		client: &http.Client{
			Timeout: pushTimeout,
			Transport: &http.Transport{
				DialContext:         util.DialFrom(cfg.Source, pushTimeout),
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     10 * time.Second,
			},
		},
		slots: make(chan struct{}, maxConcurrentPushes),
	}
}

// A StatusError reports a worker's response with a status other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
}

// Error returns the status code.
func (e *StatusError) Error() string {
	return fmt.Sprintf("worker responded with HTTP status %d", e.Status)
}

// Push sends the orders of an effect without blocking. If too many pushes are in
// progress, it drops them, since the leader repeats orders that the worker has
// not confirmed.
func (p *Pusher) Push(ctx context.Context, f control.Push) {
	select {
	case p.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.slots }()
		reply, err := p.send(ctx, f)
		if err != nil {
			p.cfg.Logger.Debug().Err(err).Str("worker", f.Worker).Msg("Pushing orders to the worker failed.")
			// The next push must not reuse a connection that no longer responds.
			p.client.CloseIdleConnections()
			return
		}
		p.cfg.PushAnswered(control.PushAnswered{
			Worker:      f.Worker,
			Incarnation: reply.Incarnation,
			Sequence:    reply.Sequence,
			Reports:     reply.Reports,
		})
	}()
}

func (p *Pusher) send(ctx context.Context, f control.Push) (reply api.OrderReply, err error) {
	defer util.Annotate(&err, "worker: push orders")
	body, err := json.Marshal(api.Orders{
		Orders: f.Orders,
	})
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Authorization", "Bearer "+p.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return reply, &StatusError{
			Status: resp.StatusCode,
		}
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply)
	return reply, err
}
