package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// An answer is the status and the body of a response; status 0 stands for none.
type answer struct {
	status int
	body   string
}

// send sends a call of a consumer to a front and records both ways.
func (c *cluster) send(front *process, method, path, key, body string) answer {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+c.address(front.ip, portFront)+path, reader)
	if err != nil {
		return answer{}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("X-Credential", key)
	}
	client := &http.Client{
		Timeout: 3 * time.Second,
	}
	a := answer{}
	resp, err := client.Do(req)
	if err == nil {
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a = answer{
			status: resp.StatusCode,
			body:   strings.TrimSpace(string(b)),
		}
	}
	c.rec.write("consumer", "%s %s at %s with key %q -> %d %s", method, path, front.name, key, a.status, a.body)
	return a
}

// submit hands a job in and tries again four times at other fronts, a second later each
// time, if it was not accepted or has no clear answer.
func (c *cluster) submit(key, steps string) (id string, a answer) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	body := fmt.Sprintf(`{"taskSpec":"review","steps":[%s]}`, steps)
	first := rand.IntN(len(c.fronts))
	for i := range 5 {
		if i > 0 {
			time.Sleep(time.Second)
		}
		a = c.send(c.fronts[(first+i)%len(c.fronts)], http.MethodPost, prefix+id, key, body)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout && a.status != http.StatusServiceUnavailable {
			break
		}
	}
	return id, a
}

// A desiredState is what differs between the desired states of the cases.
type desiredState struct {
	isPublic bool
	keys     []string
}

// configure sends a new desired state, to the cores in turn, until it is acknowledged.
func (c *cluster) configure(d desiredState) error {
	c.version++
	body, _ := json.Marshal(map[string]any{
		"version": c.version,
		"routes": []map[string]any{{
			"name": "r-ce7ejsm", "host": host, "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000,
			"targetCompletionMs": 1000, "priority": 1, "service": service, "maxAttempts": 3, "stretch": 3.0, "public": d.isPublic,
		}},
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
			"coldStartS": 0.0, "coldPerS": 0.0, "enforcesCapacity": false, "standby": false,
		}},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": d.keys, "priority": 1, "guaranteedGpus": map[string]int{"gpu": 8}}},
	})
	client := &http.Client{
		Timeout: time.Second,
	}
	for i := range 60 {
		core := c.cores[i%len(c.cores)]
		req, err := http.NewRequest(http.MethodPut, "http://"+c.address(core.ip, portControl)+"/plantainladder/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				c.rec.write("operator", "desired state %d acknowledged by %s: keys %v", c.version, core.name, d.keys)
				return nil
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return errors.New("the desired state is not acknowledged")
}
