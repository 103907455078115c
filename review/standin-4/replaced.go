package main

import (
	"errors"
	"fmt"
	"time"
)

// playReplaced: an idle minion is lost, and two seconds later a new minion boots at its
// address. A job that was placed on the lost one is answered with 421 there, and never runs.
func playReplaced(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		minions    = 8
		shortTask  = time.Second
		reuseAfter = 2200 * time.Millisecond
		// finish is finish_s, and idle the time for which the rule lets a job have nothing
		// running.
		finish = 14 * time.Second
		idle   = 3 * time.Second
	)
	book := newRunBook()
	c := minionConfig{
		cpu:     32000,
		runTime: func(string) time.Duration { return shortTask },
		onRun:   book.note,
	}
	d, err := startAll(rec, program, copies(c, minions))
	defer d.close()
	if err != nil {
		return "", err
	}
	hand := func(from, n int) error {
		for i := from; i < from+n; i++ {
			if !d.submit(jobID(i), job(map[string]any{"count": 1, "cpu": 32000, "memMb": 1024, "gpu": 1, "estMs": 1000})) {
				return errors.New("a job was not accepted")
			}
		}
		return nil
	}
	// Each minion has run something before.
	if err = hand(0, minions); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if hasTrouble {
		lost := d.minions[0]
		lost.awaitPing()
		lost.crash()
		time.Sleep(reuseAfter)
		next := lost.cfg
		next.id = "i-fff0"
		successor := &minion{
			cfg: next,
		}
		if err = successor.boot(); err != nil {
			return "", err
		}
		d.minions = append(d.minions, successor)
	}
	time.Sleep(100 * time.Millisecond)
	// One for each minion, so that none is spared.
	if err = hand(minions, minions+1); err != nil {
		return "", err
	}
	rec.note("the traffic ends")
	time.Sleep(finish)
	stuck := map[string]time.Time{}
	until := time.Now().Add(10 * time.Second)
	for time.Now().Before(until) {
		time.Sleep(500 * time.Millisecond)
		now := time.Now()
		for i := minions; i < 2*minions+1; i++ {
			id := jobID(i)
			_, state := d.state(id)
			if state != "running" && state != "pending" || book.isRunning(id+".0.0.0") || book.inUse() > 0 {
				delete(stuck, id)
				continue
			}
			if stuck[id].IsZero() {
				stuck[id] = now
			}
			if now.Sub(stuck[id]) > idle {
				return fmt.Sprintf("LOST: job %s is shown as %s %v after the end of the traffic, and nothing runs anywhere", id, state, finish+idle), nil
			}
		}
	}
	return "", nil
}
