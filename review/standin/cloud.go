package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
)

// A cloud plays the platform's list of machines.
type cloud struct {
	address string
	server  *http.Server
	minions func() []*minion
}

func newCloud(c *cluster) (*cloud, error) {
	p := &cloud{
		address: net.JoinHostPort(c.subnet+".2", strconv.Itoa(c.ports.cloud)),
		minions: func() []*minion { return nil },
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /plantainladder/machines", func(w http.ResponseWriter, _ *http.Request) {
		list := []map[string]any{}
		for _, m := range p.minions() {
			list = append(list, map[string]any{
				"machineId": "m-" + m.cfg.id, "pool": m.cfg.service, "state": "up", "zone": m.cfg.zone,
				"labels": m.cfg.labels, "capacity": m.cfg.capacity, "id": m.cfg.id,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"machines": list, "nextToken": "",
		})
	})
	p.server = &http.Server{
		Handler: mux,
	}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

func (p *cloud) close() {
	_ = p.server.Close()
}
