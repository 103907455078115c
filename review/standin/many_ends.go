package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of many-ends: the jobs of a round, their tasks, and the longest time of all
// rounds.
const (
	jobsPerRound  = 16
	tasksPerJob   = 40
	tasksPerRound = jobsPerRound * tasksPerJob
	maxRounds     = 6
	lastRoundAt   = 85
)

// playManyEnds lets more than 500 tasks end on a minion that is cut off and runs on.
// After the cut the minion lists its ends 500 at a time. It plays rounds until the rule
// is broken.
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
	rec.sleepUntil(4)
	for round := 1; round <= maxRounds && time.Since(rec.began) < lastRoundAt*time.Second; round++ {
		if err = playEndsOfRound(rec, c, f, j, caller, round, trouble); err != nil {
			return err
		}
		if n := j.checkTwice(); n > 0 {
			rec.broken("TWICE: in round %d, %d of %d tasks ran twice", round, n, tasksPerRound)
			return nil
		}
	}
	return nil
}

func playEndsOfRound(rec *record, c *cluster, f *fleet, j *judge, caller *consumer, round int, trouble bool) error {
	var ids []string
	for i := range jobsPerRound {
		id := fmt.Sprintf("5c0e7a21d94b%04x", round*0x1000+i)
		// Each task takes a hundredth of a core for 4 s, all of them a fifth of a minion.
		body := jobBody("ms=4000", step{"count": tasksPerJob, "cpu": 10, "memMb": 1, "estMs": 4000})
		if status := caller.submit(c.fronts, id, body); status != http.StatusOK {
			return fmt.Errorf("job %s was answered with %d", id, status)
		}
		ids = append(ids, id)
		time.Sleep(150 * time.Millisecond)
	}
	if !waitFor(2*time.Second, func() bool { return j.startsOfAll(ids) >= tasksPerRound }) {
		return fmt.Errorf("only %d of %d tasks started", j.startsOfAll(ids), tasksPerRound)
	}
	busiest, most := 0, 0
	for i, m := range f.minions {
		m.set(func() {
			if len(m.running) > most {
				busiest, most = i, len(m.running)
			}
		})
	}
	if trouble {
		f.cut(rec, busiest)
		time.Sleep(4500 * time.Millisecond)
		// The cut ends while an order has been on its way for a while.
		waitFor(time.Second, func() bool {
			age := f.proxies[busiest].sinceLast()
			return age > 350*time.Millisecond && age < 500*time.Millisecond
		})
		f.heal(rec, busiest)
	}
	waitFor(10*time.Second, func() bool { return j.doneOfAll(ids) >= tasksPerRound && j.openEnds(f) == 0 })
	time.Sleep(500 * time.Millisecond)
	for _, id := range ids {
		rec.line("JOB %s is %s", id, caller.state(c.fronts[0].front, id))
	}
	rec.line("Round %d: %d tasks, %d starts", round, tasksPerRound, j.startsOfAll(ids))
	return nil
}
