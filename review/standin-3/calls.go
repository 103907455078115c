package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// serveCloud serves the platform's list of machines: one page with the minions that are
// up.
func (f *fleet) serveCloud(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /plantainladder/machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		machines := []map[string]any{}
		for _, m := range f.minions {
			if m.ctx.Err() == nil {
				machines = append(machines, map[string]any{
					"machineId": "m-" + m.id, "pool": m.service, "state": "up", "zone": "z1", "labels": m.labels,
					"capacity": m.capacity, "id": m.id,
				})
			}
		}
		f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": machines, "nextToken": nil})
	})
	go func() {
		_ = (&http.Server{
			Handler:           mux,
			ReadHeaderTimeout: time.Second,
		}).Serve(listener)
	}()
	return nil
}

// call makes one HTTP call. The status is 0 if there was no answer.
func call(ctx context.Context, timeout time.Duration, method, address, host, path, key string, body []byte) (status int, answer string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
	}
	if key != "" {
		req.Header.Set("X-Credential", key)
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(b.String())
}

var client = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}
