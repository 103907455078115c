package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// A recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	beganAt time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{
		file:    f,
		beganAt: time.Now(),
	}, nil
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.beganAt).Seconds(), fmt.Sprintf(format, args...))
}

var client = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// call sends a request over a channel of its own and records it with its answer.
func call(rec *recorder, timeout time.Duration, method, address, host, path string, body []byte) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
		req.Header.Set("X-Credential", apiKey)
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	req.Header.Set("Content-Type", "application/json")
	sentAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		rec.note("%s %s %s: sent, no answer after %.3f s", address, method, path, time.Since(sentAt).Seconds())
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	answer = strings.TrimSpace(string(b))
	rec.note("%s %s %s: %d %.120s, after %.3f s", address, method, path, resp.StatusCode, answer, time.Since(sentAt).Seconds())
	return resp.StatusCode, answer
}
