package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	routeHost = "jobs.example"
	prefix    = "/queue/"
	apiKey    = "key-of-tenant-a"
)

func (d *deployment) config(version int) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-jobs", "host": routeHost, "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000, "targetCompletionMs": 3000,
				"priority": 1, "service": "svc", "maxAttempts": 3, "stretch": 3.0, "public": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "svc", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
				"enforcesCapacity": false, "standby": false,
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "apiKeys": []string{apiKey}, "priority": 1, "guaranteedGpus": map[string]int{"gpu": 0}}},
	})
	return b
}

// putConfig sends the next desired state until it is acknowledged.
func (d *deployment) putConfig(within time.Duration) error {
	d.version++
	body := d.config(d.version)
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		status, _ := d.call(time.Second, http.MethodPut, d.control(i%len(d.cores)), "", "/plantainladder/config", body)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no acknowledgement of the desired state within %v", within)
}

// call sends a request and returns its status, 0 without an answer, and the body.
func (d *deployment) call(timeout time.Duration, method, address, host, path string, body []byte) (status int, answer string) {
	return call(d.rec, timeout, method, address, host, path, body)
}

// job returns the body of a job.
func job(steps ...map[string]any) []byte {
	b, _ := json.Marshal(map[string]any{
		"taskSpec": "spec", "steps": steps,
	})
	return b
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+uint64(n)) }

// submit hands a job in as a consumer does, until it is accepted.
func (d *deployment) submit(id string, body []byte) bool {
	for i := range 8 {
		status, _ := d.call(3*time.Second, http.MethodPost, d.front(i%len(d.fronts)), routeHost, prefix+id, body)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state returns the state of a job.
func (d *deployment) state(id string) (status int, state string) {
	status, answer := d.call(3*time.Second, http.MethodGet, d.front(0), routeHost, prefix+id, nil)
	var m struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &m)
	return status, m.State
}
