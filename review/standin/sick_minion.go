package main

import (
	"fmt"
	"net/http"
	"time"
)

// playSickMinion hands in jobs that only one minion may run, which is unhealthy for 6.5 s
// and refuses every start. The queue is asked how many jobs have not begun.
func playSickMinion(rec *record, trouble bool) error {
	c, err := newCluster(rec, 5, 2)
	if err != nil {
		return err
	}
	defer c.close()
	if err = c.start(); err != nil {
		return err
	}
	j := newJudge(rec)
	f, err := c.newFleet(12, j, func(i int, cfg *minionConfig) {
		if i == 0 {
			cfg.labels = []string{"b", "r1-1"}
		}
	})
	if err != nil {
		return err
	}
	defer f.close()
	op := newOperator(rec, c.controls()...)
	if !op.configure(20*time.Second, desiredState(1, 1, key1)) {
		return errNotReady
	}
	rec.sleepUntil(4)
	sick := f.minions[0]
	if trouble {
		rec.line("SICK %s refuses starts with 503", sick.cfg.id)
		sick.set(func() { sick.isSick = true })
	}
	caller := newConsumer(rec, key1)
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("5c0e7a21d94b%04x", 0x1000+i)
		body := jobBody("ms=60000", step{"count": 1, "cpu": 3700, "memMb": 11000, "gpu": 1, "estMs": 2500, "requires": "b"})
		if status := caller.submit(c.fronts, id, body); status != http.StatusOK {
			return fmt.Errorf("job %s was answered with %d", id, status)
		}
		ids = append(ids, id)
	}
	accepted := time.Now()
	// visible_ms and 2 s after the last confirmation, until the minion is well again.
	time.Sleep(time.Until(accepted.Add(5300 * time.Millisecond)))
	for range 5 {
		waiting := 0
		for _, id := range ids {
			if j.startsOf(id) == 0 {
				waiting++
			}
		}
		for _, p := range c.fronts {
			n, status := caller.pending(p.front)
			rec.line("PENDING %s answers %d with %d; %d jobs have not begun", p.name, status, n, waiting)
			if status == http.StatusOK && 2*n < waiting {
				rec.broken("MIXED: %s gives %d pending jobs; %d were accepted over 5 s before and have not begun", p.name, n, waiting)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if trouble {
		rec.line("WELL %s", sick.cfg.id)
		sick.set(func() { sick.isSick = false })
	}
	return nil
}
