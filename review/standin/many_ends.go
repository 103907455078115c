package main

import (
	"fmt"
	"net/http"
	"time"
)

// playManyEnds lets more than 500 tasks end on a minion that is cut off and runs on.
// After the cut the minion lists its ends 500 at a time.
func playManyEnds(rec *record, trouble bool) error {
	c, err := newCluster(rec, 5, 2)
	if err != nil {
		return err
	}
	defer c.close()
	if err = c.start(); err != nil {
		return err
	}
	j := newJudge(rec)
	f, err := c.newFleet(6, j, nil)
	if err != nil {
		return err
	}
	defer f.close()
	op := newOperator(rec, c.controls()...)
	if !op.configure(20*time.Second, desiredState(1, 1, key1, key2)) {
		return errNotReady
	}
	caller := newConsumer(rec, key1)
	// 16 jobs of 40 small tasks each, of 4 s: less than a quarter of a minion's room.
	time.Sleep(3 * time.Second)
	var ids []string
	for i := range 16 {
		id := fmt.Sprintf("5c0e7a21d94b%04x", 0x1000+i)
		body := jobBody("ms=4000", step{"count": 40, "cpu": 10, "memMb": 1, "estMs": 4000})
		if status := caller.submit(c.fronts, id, body); status != http.StatusOK {
			return fmt.Errorf("job %s was answered with %d", id, status)
		}
		ids = append(ids, id)
	}
	const tasks = 16 * 40
	if !waitFor(5*time.Second, func() bool { return j.startsOfAll(ids) >= tasks }) {
		return fmt.Errorf("only %d of %d tasks started", j.startsOfAll(ids), tasks)
	}
	busiest := 0
	for i, m := range f.minions {
		m.set(func() {
			if len(m.running) > len(f.minions[busiest].running) {
				busiest = i
			}
		})
	}
	if trouble {
		f.cut(rec, busiest)
		time.Sleep(5 * time.Second)
		f.heal(rec, busiest)
	}
	waitFor(25*time.Second, func() bool { return j.doneOfAll(ids) >= tasks && j.openEnds(f) == 0 })
	time.Sleep(2 * time.Second)
	for _, id := range ids {
		rec.line("JOB %s is %s", id, caller.state(c.fronts[0].front, id))
	}
	rec.line("%d tasks, %d starts", tasks, j.startsOfAll(ids))
	if n := j.checkTwice(); n > 0 {
		rec.broken("TWICE: %d of %d tasks ran twice", n, tasks)
	}
	return nil
}
