package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of long-job: the time of a short task and of the long one, in milliseconds,
// and the bounds finish_s and 3 s of the rule.
const (
	shortMs     = 1000
	longMs      = 1800000
	finishAfter = 14 * time.Second
	longestIdle = 3 * time.Second
)

// playLongJob hands in a job of one task that takes half an hour, as it declares. With the
// disruption a burst of short jobs comes before it on the same queue. There are three
// minions, and nothing else runs.
func playLongJob(rec *record, trouble bool) error {
	c, err := newCluster(rec, 5, 2)
	if err != nil {
		return err
	}
	defer c.close()
	if err = c.start(); err != nil {
		return err
	}
	j := newJudge(rec)
	f, err := c.newFleet(3, j, nil)
	if err != nil {
		return err
	}
	defer f.close()
	op := newOperator(rec, c.controls()...)
	if !op.configure(20*time.Second, desiredState(1, 1, key1)) {
		return errNotReady
	}
	rec.sleepUntil(4)
	caller := newConsumer(rec, key1)
	var ids []string
	if trouble {
		for i := range 20 {
			id := fmt.Sprintf("5c0e7a21d94b%04x", 0x1000+i)
			body := jobBody(fmt.Sprintf("ms=%d", shortMs), step{"count": 1, "cpu": 3700, "memMb": 11000, "gpu": 1, "estMs": shortMs})
			if status := caller.submit(c.fronts, id, body); status != http.StatusOK {
				return fmt.Errorf("job %s was answered with %d", id, status)
			}
			ids = append(ids, id)
		}
	}
	if !waitFor(15*time.Second, func() bool { return j.doneOfAll(ids) == len(ids) }) {
		return fmt.Errorf("only %d of %d short jobs are done", j.doneOfAll(ids), len(ids))
	}
	time.Sleep(time.Second)
	const long = "7734a870cec93d57"
	body := jobBody(fmt.Sprintf("ms=%d", longMs), step{"count": 1, "cpu": 3700, "memMb": 11000, "gpu": 1, "estMs": longMs})
	if status := caller.submit(c.fronts, long, body); status != http.StatusOK {
		return fmt.Errorf("job %s was answered with %d", long, status)
	}
	rec.line("The traffic is over.")
	over := time.Now()
	time.Sleep(time.Until(over.Add(finishAfter)))
	idleSince := time.Now()
	for time.Since(rec.began) < 110*time.Second {
		if f.runs(long) > 0 {
			idleSince = time.Now()
		}
		if idle := time.Since(idleSince); idle > longestIdle+200*time.Millisecond {
			rec.broken("LOST: job %s has had nothing running for %v while the three minions were idle; %d runs have started so far, none ended done", long,
				idle.Round(10*time.Millisecond), j.startsOf(long))
			rec.line("JOB %s is %s", long, caller.state(c.fronts[0].front, long))
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	rec.line("JOB %s is %s after %d starts", long, caller.state(c.fronts[0].front, long), j.startsOf(long))
	return nil
}

// runs returns how many runs of a job are going on.
func (f *fleet) runs(job string) (n int) {
	for _, m := range f.minions {
		m.set(func() {
			for task := range m.running {
				if jobOf(task) == job {
					n++
				}
			}
		})
	}
	return n
}
