package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// A cloud is a stand-in for the platform's list of machines.
type cloud struct {
	address  string
	server   *http.Server
	mu       sync.Mutex
	machines map[string]map[string]any
	order    []string
}

func newCloud(address string) (*cloud, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &cloud{
		address:  address,
		machines: map[string]map[string]any{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /plantainladder/machines", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		list := []any{}
		for _, id := range c.order {
			list = append(list, c.machines[id])
		}
		b, _ := json.Marshal(map[string]any{"machines": list, "nextToken": ""})
		c.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(b)
	})
	c.server = &http.Server{
		Handler: mux,
	}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// set records the state of a machine and of its minion.
func (c *cloud) set(cfg minionConfig, state, minionID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[cfg.machine] == nil {
		c.order = append(c.order, cfg.machine)
	}
	c.machines[cfg.machine] = map[string]any{
		"machineId": cfg.machine, "pool": "svc", "state": state, "zone": "za", "labels": cfg.labels(),
		"capacity": cfg.capacity(), "id": minionID,
	}
}

func (c *cloud) close() { _ = c.server.Close() }
