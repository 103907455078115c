package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// queue is the only queue's place and the tenant's key.
const (
	host   = "nony24.example"
	prefix = "/lohu930/"
	key1   = "d4a3hwrr6x73d3zji9n7"
	key2   = "3hh2b9wu3fexd9dnn2ct"
)

// desiredState returns a desired state with one queue, one service and one tenant.
func desiredState(version int, priority int, keys ...string) string {
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-ce7ejsm", "host": host, "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000,
			"targetCompletionMs": 1000, "priority": priority, "service": "pickpass", "maxAttempts": 3, "stretch": 3.0, "public": false,
		}},
		"services": []any{map[string]any{
			"name": "pickpass", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0,
			"coldPerS": 0.0, "enforcesCapacity": false, "standby": false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{
			"name": "kaje80", "apiKeys": keys, "priority": 1, "guaranteedGpus": map[string]int{"gpu": 16},
		}},
	})
	return string(b)
}

// call sends one request and returns the status, zero for no answer.
func call(ctx context.Context, client *http.Client, method, url, hostName, key, body string) (status int, answer string) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if body == "" {
		req.Body, req.ContentLength = http.NoBody, 0
	}
	if hostName != "" {
		req.Host = hostName
		req.Header.Set("X-Credential", key)
		req.Header.Set("X-Deadline-Ms", "3000")
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(b))
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
}

// An operator sends its orders to the cores in turn until one answers.
type operator struct {
	rec      *record
	controls []string
	at       int
	client   *http.Client
}

func newOperator(rec *record, controls ...string) *operator {
	return &operator{
		rec:      rec,
		controls: controls,
		client:   newHTTPClient(),
	}
}

// order sends an order until it gets a clear answer or the time is over. It moves on to
// another core after a failure, a 5xx, or a second without a response.
func (o *operator) order(limit time.Duration, method, path, body string) (status int, answer string) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		control := o.controls[o.at%len(o.controls)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, answer = call(ctx, o.client, method, "http://"+control+path, "", "", body)
		cancel()
		o.rec.line("OPERATOR %s %s to core %d: %d", method, path, o.at%len(o.controls)+1, status)
		if status/100 == 2 || status/100 == 4 && status != 408 && status != 429 {
			return status, answer
		}
		o.at++
		time.Sleep(100 * time.Millisecond)
	}
	return status, answer
}

func (o *operator) configure(limit time.Duration, document string) bool {
	status, _ := o.order(limit, http.MethodPut, "/plantainladder/config", document)
	return status/100 == 2
}

// A step is a step of a job.
type step map[string]any

func jobBody(spec string, steps ...step) string {
	b, _ := json.Marshal(map[string]any{
		"taskSpec": spec, "steps": steps,
	})
	return string(b)
}

// A consumer sends its calls to a front.
type consumer struct {
	rec    *record
	key    string
	client *http.Client
}

func newConsumer(rec *record, key string) *consumer {
	return &consumer{
		rec:    rec,
		key:    key,
		client: newHTTPClient(),
	}
}

// once sends a call to one front and waits for 3 s at most.
func (c *consumer) once(front, method, id, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, answer = call(ctx, c.client, method, "http://"+front+prefix+id, host, c.key, body)
	c.rec.line("CONSUMER %s %s: %d %s", method, id, status, answer)
	return status, answer
}

// submit hands a job in and repeats the call while its outcome is not clear.
func (c *consumer) submit(fronts []*process, id, body string) (status int) {
	for n := range 5 {
		status, _ = c.once(fronts[n%len(fronts)].front, http.MethodPost, id, body)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
	}
	return status
}

// state returns the state of a job, or the status as text if it is not 200.
func (c *consumer) state(front, id string) string {
	status, answer := c.once(front, http.MethodGet, id, "")
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var m struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &m)
	return m.State
}

// pending returns the number of jobs that the queue shows as not begun.
func (c *consumer) pending(front string) (n, status int) {
	status, answer := c.once(front, http.MethodGet, "", "")
	var m struct {
		PendingJobs int `json:"pendingJobs"`
	}
	_ = json.Unmarshal([]byte(answer), &m)
	return m.PendingJobs, status
}
