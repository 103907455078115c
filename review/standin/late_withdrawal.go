package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playLateWithdrawal freezes a core for 4 s while the operator takes evacuations back, and
// evacuates the same zones again before the core wakes.
func playLateWithdrawal(rec *record, trouble bool) error {
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
	if !op.configure(20*time.Second, desiredState(1, 1, key1)) {
		return errNotReady
	}
	rec.sleepUntil(4)
	caller := newConsumer(rec, key1)
	frozen := c.cores[4]
	others := c.controls()[:4]
	evacuated := zones[:2]
	for round := 1; round <= 8 && time.Since(rec.began) < 100*time.Second; round++ {
		if trouble {
			c.signal(frozen, syscall.SIGSTOP)
		}
		woken := time.Now().Add(4 * time.Second)
		var wg sync.WaitGroup
		send := func(method, zone string, first bool) {
			o := newOperator(rec, others...)
			if first {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				status, _ := call(ctx, o.client, method, "http://"+frozen.control+"/plantainladder/evacuate/"+zone, "", "", "")
				cancel()
				rec.line("OPERATOR %s %s to %s: %d", method, zone, frozen.name, status)
				if status == http.StatusOK {
					return
				}
			}
			o.order(3*time.Second, method, "/plantainladder/evacuate/"+zone, "")
		}
		for _, method := range []string{http.MethodDelete, http.MethodPost} {
			for _, z := range evacuated {
				wg.Add(1)
				go func() {
					defer wg.Done()
					send(method, z, method == http.MethodDelete)
				}()
			}
			wg.Wait()
		}
		acked := time.Now()
		time.Sleep(time.Until(woken))
		if trouble {
			c.signal(frozen, syscall.SIGCONT)
		}
		time.Sleep(time.Until(acked.Add(5300 * time.Millisecond)))
		for i := range 6 {
			id := fmt.Sprintf("5c0e7a21d9%02x%04x", round, i)
			caller.submit(c.fronts, id, jobBody("ms=300", step{"count": 6, "cpu": 16000, "memMb": 11000, "gpu": 4, "estMs": 300}))
		}
		time.Sleep(2 * time.Second)
		n := 0
		for _, m := range f.minions {
			if m.cfg.zone == evacuated[0] || m.cfg.zone == evacuated[1] {
				n += j.startsOn(m.cfg.id, acked.Add(5*time.Second))
			}
		}
		rec.line("Round %d: %d starts in evacuated zones", round, n)
		if n > 0 {
			rec.broken("EVAC: round %d, %d tasks started in zones that were evacuated over 5 s before", round, n)
			return nil
		}
	}
	return nil
}
