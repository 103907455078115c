package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// elections counts how often a core has become leader, by the cores' logs.
func (c *cluster) elections() (n int) {
	for _, p := range c.cores {
		b, _ := os.ReadFile(p.folder + "/log")
		n += strings.Count(string(b), "Replica role is now leader")
	}
	return n
}

// Figures of wide-job: the large jobs, the tasks of each, and for how long no job may be asked
// for in vain.
const (
	wideJobs       = 56
	wideTasks      = 72
	longestSilence = 30 * time.Second
)

// playWideJob hands in a small job, which completes, and with the disruption 56 jobs at
// once, of 72 tasks of a hundredth of a core each. Nothing else runs.
func playWideJob(rec *record, trouble bool) error {
	c, err := newCluster(rec, 5, 2)
	if err != nil {
		return err
	}
	defer c.close()
	if err = c.start(); err != nil {
		return err
	}
	j := newJudge(rec)
	f, err := c.newFleet(12, j, nil)
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
	const small = "5c0e7a21d94b36f8"
	if status := caller.submit(c.fronts, small, jobBody("ms=1000", step{"count": 4, "cpu": 2800, "memMb": 15000, "gpu": 1, "estMs": 1000})); status != http.StatusOK {
		return fmt.Errorf("job %s was answered with %d", small, status)
	}
	if !waitFor(10*time.Second, func() bool { return caller.state(c.fronts[0].front, small) == "completed" }) {
		return errNotReady
	}
	if trouble {
		done := make(chan int)
		for i := range wideJobs {
			go func() {
				body := jobBody("ms=2000", step{"count": wideTasks, "cpu": 10, "memMb": 10, "estMs": 2000})
				done <- newConsumer(rec, key1).submit(c.fronts, fmt.Sprintf("7734a870cec9%04x", i), body)
			}()
		}
		for range wideJobs {
			<-done
		}
	}
	rec.line("The traffic is over.")
	time.Sleep(finishAfter)
	answeredAt := time.Now()
	for n := 0; time.Since(rec.began) < 100*time.Second; n++ {
		asked := time.Now()
		if caller.state(c.fronts[n%2].front, small) == "completed" {
			answeredAt = time.Now()
		}
		if silence := time.Since(answeredAt); silence > longestSilence {
			rec.broken("LOST: job %s, completed before, gets no answer for %v from 14 s after the end of the traffic on; of the %d tasks of the large jobs %d have begun; %d leaders were elected",
				small, silence.Round(time.Second), wideJobs*wideTasks, j.begun()-4, c.elections())
			return nil
		}
		time.Sleep(time.Until(asked.Add(time.Second)))
	}
	rec.line("%d leaders were elected", c.elections())
	return nil
}
