package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// playLimit: as in playTwice, a start is carried out by the next life of its minion. The
// leader sees that run in the minion's list, and starts another one beside it.
func playLimit(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		minions    = 8
		capacity   = 32000
		crashAfter = 200 * time.Millisecond
		downFor    = 4500 * time.Millisecond
		lateBy     = 8 * time.Second
		longTask   = 25 * time.Second
	)
	var mu sync.Mutex
	var broken []string
	running := map[*minion]map[string]bool{}
	var isArmed atomic.Bool
	c := minionConfig{
		cpu:         capacity,
		clockAtBoot: 600_000,
		runTime: func(task string) time.Duration {
			if jobOf(task) < jobID(minions) {
				return time.Second
			}
			return longTask
		},
		onRun: func(m *minion, task string, number int, event string) {
			mu.Lock()
			defer mu.Unlock()
			if running[m] == nil {
				running[m] = map[string]bool{}
			}
			if event != "starts" {
				delete(running[m], task)
				return
			}
			running[m][task] = true
			if n := len(running[m]); n > 1 {
				broken = append(broken, fmt.Sprintf("run %d of %s brings %s to %d of %d thousandths of a core", number, task, m.cfg.id, n*capacity, capacity))
			}
		},
		onStart: func(m *minion, _ order) time.Duration {
			if !isArmed.CompareAndSwap(true, false) {
				return 0
			}
			time.AfterFunc(crashAfter, m.crash)
			time.AfterFunc(crashAfter+downFor, func() { _ = m.boot() })
			return lateBy
		},
	}
	d, err := startAll(rec, program, copies(c, minions))
	defer d.close()
	if err != nil {
		return "", err
	}
	hand := func(from, n int) error {
		for i := from; i < from+n; i++ {
			if !d.submit(jobID(i), job(map[string]any{"count": 1, "cpu": capacity, "memMb": 1024, "gpu": 1, "estMs": 25000})) {
				return errors.New("a job was not accepted")
			}
		}
		return nil
	}
	// Each of these runs for a second, on a minion of its own.
	if err = hand(0, minions); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	isArmed.Store(hasTrouble)
	if err = hand(minions, 1); err != nil {
		return "", err
	}
	time.Sleep(lateBy + 500*time.Millisecond)
	if err = hand(minions+1, minions-1); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if len(broken) > 0 {
		return "LIMIT: " + broken[0], nil
	}
	return "", nil
}
