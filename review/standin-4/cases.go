package main

import (
	"fmt"
	"sync"
	"time"
)

// warmUp is how long a deployment runs before its traffic, as the users' sheet has it.
const warmUp = 10 * time.Second

// startAll starts a deployment of three cores and two fronts with minions and the first desired
// state.
func startAll(rec *recorder, program string, minions []minionConfig) (d *deployment, err error) {
	return startSized(rec, program, 3, 2, 1, minions)
}

// startSized starts a deployment of which some cores may be lost.
func startSized(rec *recorder, program string, cores, fronts, tolerated int, minions []minionConfig) (d *deployment, err error) {
	if d, err = newDeployment(rec, program, cores, fronts, tolerated); err != nil {
		return d, err
	}
	beganAt := time.Now()
	if err = d.start(); err != nil {
		return d, err
	}
	for _, c := range minions {
		if _, err = d.addMinion(c); err != nil {
			return d, err
		}
	}
	if err = d.putConfig(20 * time.Second); err != nil {
		return d, err
	}
	time.Sleep(time.Until(beganAt.Add(warmUp)))
	return d, nil
}

// A runBook records which runs of each task are under way, and where.
type runBook struct {
	mu      sync.Mutex
	running map[string]map[string]bool
	starts  map[string]int
	broken  []string
}

func newRunBook() *runBook {
	return &runBook{
		running: map[string]map[string]bool{},
		starts:  map[string]int{},
	}
}

func (b *runBook) note(m *minion, task string, number int, event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := fmt.Sprintf("run %d on %s", number, m.cfg.id)
	if b.running[task] == nil {
		b.running[task] = map[string]bool{}
	}
	if event != "starts" {
		delete(b.running[task], key)
		return
	}
	b.starts[task]++
	for other := range b.running[task] {
		b.broken = append(b.broken, fmt.Sprintf("%s of task %s starts while %s is under way", key, task, other))
	}
	b.running[task][key] = true
}

func (b *runBook) violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.broken...)
}

func (b *runBook) hasBegun(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[task] > 0
}

func (b *runBook) isRunning(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running[task]) > 0
}

// inUse returns how many runs are under way.
func (b *runBook) inUse() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, runs := range b.running {
		n += len(runs)
	}
	return n
}

// copies returns the configurations of a number of minions in two racks.
func copies(c minionConfig, n int) (list []minionConfig) {
	for i := range n {
		c.rack = fmt.Sprintf("r%d", i%2)
		list = append(list, c)
	}
	return list
}
