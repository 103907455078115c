package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// pingCount returns how many pings were acknowledged.
func (m *minion) pingCount() (n int) {
	m.set(func() { n = m.pings })
	return n
}

// ping announces the minion every 1.5 s, at the next control address if one does not
// acknowledge within a second.
func (m *minion) ping() {
	client := &http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	seq, at := 0, 0
	for m.ctx.Err() == nil {
		seq++
		isCut := false
		m.set(func() { isCut = m.isCut })
		body, _ := json.Marshal(map[string]any{
			"service": m.cfg.service, "address": m.cfg.announced, "zone": m.cfg.zone, "version": "v1", "slots": 8,
			"state": "ready", "coldLeftMs": 0, "capacity": m.cfg.capacity, "labels": m.cfg.labels,
			"clockMs": m.clock(), "seq": seq, "born": m.began.UnixMilli(),
		})
		pause := 1500 * time.Millisecond
		switch {
		case isCut:
			pause = time.Second
		case !m.sendPing(client, m.cfg.controls[at%len(m.cfg.controls)], body):
			at++
			pause = 50 * time.Millisecond
		}
		select {
		case <-m.ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (m *minion) sendPing(client *http.Client, control string, body []byte) bool {
	req, err := http.NewRequestWithContext(m.ctx, http.MethodPut, "http://"+control+"/plantainladder/instances/"+m.cfg.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return false
	}
	m.set(func() { m.pings++ })
	return true
}
