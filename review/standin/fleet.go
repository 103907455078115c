package main

import (
	"fmt"
	"sync"
	"time"
)

// A fleet is the minions of the service, each behind a proxy of its own.
type fleet struct {
	mu sync.Mutex
	// down holds the minions without power.
	down    map[int]bool
	minions []*minion
	proxies []*proxy
}

// newFleet starts n minions. The function change, if not nil, changes their
// configuration.
func (c *cluster) newFleet(n int, j *judge, change func(i int, cfg *minionConfig)) (f *fleet, err error) {
	f = &fleet{
		down: map[int]bool{},
	}
	for i := range n {
		cfg := minionConfig{
			id:      fmt.Sprintf("i-%08x", 0x7f3a91c0+i),
			service: "pickpass",
			zone:    zones[i%len(zones)],
			labels:  []string{"a", fmt.Sprintf("r1-%d", i%2+1)},
			capacity: capacity{
				CPU:   32000,
				MemMb: 131072,
				GPU:   8,
			},
			listen:    fmt.Sprintf("%s.%d:%d", c.subnet, 101+i, c.ports.minion),
			stopMs:    900,
			holdMaxMs: 10000,
		}
		cfg.announced = fmt.Sprintf("%s.%d:%d", c.subnet, 151+i, c.ports.minion)
		for k := range c.cores {
			cfg.controls = append(cfg.controls, c.cores[(i+k)%len(c.cores)].control)
		}
		if change != nil {
			change(i, &cfg)
		}
		p, err := newProxy(cfg.announced, cfg.listen)
		if err != nil {
			return f, err
		}
		f.proxies = append(f.proxies, p)
		m, err := newMinion(cfg, c.rec, j)
		if err != nil {
			return f, err
		}
		f.minions = append(f.minions, m)
	}
	c.cloud.minions = f.up
	return f, nil
}

// up returns the minions that have power.
func (f *fleet) up() (list []*minion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.minions {
		if !f.down[i] {
			list = append(list, m)
		}
	}
	return list
}

func (f *fleet) setDown(i int, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[i] = down
}

// cut cuts a minion off from all machines, and heal ends that.
func (f *fleet) cut(rec *record, i int) {
	rec.line("CUT %s from all machines", f.minions[i].cfg.id)
	f.minions[i].set(func() { f.minions[i].isCut = true })
	f.proxies[i].cut()
}

func (f *fleet) heal(rec *record, i int) {
	rec.line("HEAL %s", f.minions[i].cfg.id)
	f.minions[i].set(func() { f.minions[i].isCut = false })
	f.proxies[i].heal()
}

func (f *fleet) close() {
	for _, m := range f.minions {
		m.close()
	}
	for _, p := range f.proxies {
		p.close()
	}
}

// waitFor waits until a condition holds, or the time is over.
func waitFor(limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return condition()
}
