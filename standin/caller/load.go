// Package caller is a stand-in for callers: it sends requests at a constant rate
// and reports outcomes and latencies.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/standin/minion"
	"github.com/plantainladder/plantainladder/util"
)

// A Config configures Load.
type Config struct {
	// Addresses lists the gateways, or minions if Direct is true.
	Addresses []string
	// Organisation and Token identify the caller.
	Organisation, Token string
	// Class and Deadline are sent with each request.
	Class    string
	Deadline time.Duration
	// Idempotent tells the gateways that a request may run more than once.
	Idempotent bool
	// Rate is the number of requests per second.
	Rate float64
	// Duration is how long requests are sent.
	Duration time.Duration
	// RunMS is how long a stand-in minion runs a request, in milliseconds;
	// AnswerBytes is the size of its response.
	RunMS       int64
	AnswerBytes int
	// Direct sends the requests to minions instead of gateways.
	Direct bool
}

// A Report summarises the outcomes of a load.
type Report struct {
	// Sent is the number of requests sent.
	Sent int `json:"sent"`
	// Outcomes counts the requests by outcome and reason.
	Outcomes map[string]int `json:"outcomes"`
	// Done counts the complete responses, InTime those before the deadline.
	Done   int `json:"done"`
	InTime int `json:"in-time"`
	// P50MS, P99MS and MaxMS are latencies of complete responses, in
	// milliseconds.
	P50MS float64 `json:"p50-ms"`
	P99MS float64 `json:"p99-ms"`
	MaxMS float64 `json:"max-ms"`
	// GoodputPerSecond is the number of complete responses in time per second.
	GoodputPerSecond float64 `json:"goodput-per-second"`
}

type sample struct {
	outcome string
	latency time.Duration
}

// Load sends requests at a constant rate and returns the report. It is an open
// loop: a slow response delays no later request, and latency is measured from
// the time at which the request was scheduled.
func Load(ctx context.Context, cfg Config) Report {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
		},
	}
	total := int(cfg.Rate * cfg.Duration.Seconds())
	samples := make(chan sample, total)
	var next atomic.Uint64
	start := time.Now()
	for i := range total {
		sendAt := start.Add(time.Duration(float64(i) / cfg.Rate * float64(time.Second)))
		waitUntil(ctx, sendAt)
		if ctx.Err() != nil {
			total = i
			break
		}
		go func() {
			address := cfg.Addresses[next.Add(1)%uint64(len(cfg.Addresses))]
			samples <- send(ctx, client, cfg, address, sendAt)
		}()
	}
	return collect(cfg, samples, total)
}

const maxIdleConnsPerHost = 512

func waitUntil(ctx context.Context, sendAt time.Time) {
	d := time.Until(sendAt)
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func send(ctx context.Context, client *http.Client, cfg Config, address string, sendAt time.Time) sample {
	id := util.NewID()
	body, err := json.Marshal(minion.Work{
		ID:          id,
		RunMS:       cfg.RunMS,
		AnswerBytes: cfg.AnswerBytes,
	})
	if err != nil {
		return unanswered(err)
	}
	path := "/v1/requests"
	if cfg.Direct {
		path = "/v1/work"
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return unanswered(err)
	}
	req.Header.Set("Authorization", "Bearer "+cfg.Token)
	req.Header.Set(api.HeaderOrganisation, cfg.Organisation)
	req.Header.Set(api.HeaderClass, cfg.Class)
	req.Header.Set(api.HeaderDeadline, strconv.FormatInt(cfg.Deadline.Milliseconds(), 10))
	req.Header.Set(api.HeaderIdempotent, strconv.FormatBool(cfg.Idempotent))
	req.Header.Set(api.HeaderIdempotencyKey, id)
	req.Header.Set(api.HeaderRequestID, id)
	resp, err := client.Do(req)
	if err != nil {
		return unanswered(err)
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(resp.Body)
	if err != nil {
		return unanswered(err)
	}
	return classify(cfg, resp, reply, id, sendAt)
}

func unanswered(err error) sample {
	return sample{
		outcome: fmt.Sprintf("no-answer %T", err),
	}
}

// classify returns the outcome of a response. A success counts as done only if
// the body is complete and belongs to this request.
func classify(cfg Config, resp *http.Response, reply []byte, id string, sendAt time.Time) sample {
	outcome := resp.Header.Get(api.HeaderOutcome)
	if cfg.Direct && resp.StatusCode == http.StatusOK {
		outcome = api.OutcomeDone
	}
	if outcome != api.OutcomeDone {
		return sample{
			outcome: outcome + " " + resp.Header.Get(api.HeaderReason),
		}
	}
	if !bytes.HasPrefix(reply, []byte(id+" done")) || len(reply) < cfg.AnswerBytes {
		return sample{
			outcome: "wrong-answer",
		}
	}
	return sample{
		outcome: api.OutcomeDone,
		latency: time.Since(sendAt),
	}
}

func collect(cfg Config, samples <-chan sample, total int) Report {
	r := Report{
		Sent:     total,
		Outcomes: map[string]int{},
	}
	var latency []time.Duration
	for range total {
		s := <-samples
		r.Outcomes[s.outcome]++
		if s.outcome != api.OutcomeDone {
			continue
		}
		latency = append(latency, s.latency)
		if s.latency <= cfg.Deadline {
			r.InTime++
		}
	}
	r.Done = len(latency)
	r.GoodputPerSecond = float64(r.InTime) / cfg.Duration.Seconds()
	slices.Sort(latency)
	r.P50MS, r.P99MS, r.MaxMS = quantile(latency, 0.5), quantile(latency, 0.99), quantile(latency, 1)
	return r
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i].Microseconds()) / 1000
}
