package main

import (
	"errors"
	"sync/atomic"
	"time"
)

// playTwice: one start gets no answer, its minion crashes and is back under its id, and then
// the start is carried out by the boot that is there. All the while a job comes each second.
func playTwice(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		minions    = 8
		jobs       = 36
		armedAfter = 12
		crashAfter = 200 * time.Millisecond
		downFor    = 4500 * time.Millisecond
		lateBy     = 8 * time.Second
	)
	book := newRunBook()
	var isArmed atomic.Bool
	var orders atomic.Int64
	c := minionConfig{
		cpu:         32000,
		clockAtBoot: 600_000,
		runTime:     func(string) time.Duration { return 25 * time.Second },
		onRun:       book.note,
		onOrder:     func() { orders.Add(1) },
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
	for n := range jobs {
		if hasTrouble && n == armedAfter {
			rec.note("the next start is the one that is late; the minions have had %d orders so far", orders.Load())
			isArmed.Store(true)
		}
		if !d.submit(jobID(n), job(map[string]any{"count": 1, "cpu": 4000, "memMb": 1024, "gpu": 1, "estMs": 25000})) {
			return "", errors.New("a job was not accepted")
		}
		time.Sleep(time.Second)
		if len(book.violations()) > 0 {
			break
		}
	}
	rec.note("the minions have had %d orders, of which at most one was late", orders.Load())
	if v := book.violations(); len(v) > 0 {
		return "TWICE: " + v[0], nil
	}
	if !book.hasBegun(jobID(armedAfter) + ".0.0.0") {
		return "", errors.New("the task never began")
	}
	return "", nil
}
