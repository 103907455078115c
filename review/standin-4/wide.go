package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playWide: jobs of three steps of 72 small tasks come within two bursts. The accepted ones are
// asked for once the traffic has ended.
func playWide(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		minions = 12
		// bursts are two of 2.4 times the usual 3.33 jobs a second, of 6 s each.
		burstJobs = 96
		burstTime = 12 * time.Second
		finish    = 14 * time.Second
		askedFor  = 16 * time.Second
		tries     = 5
	)
	d, err := startSized(rec, program, 5, 3, 2, copies(minionConfig{
		cpu:     32000,
		isQuiet: true,
		runTime: func(string) time.Duration { return 2500 * time.Millisecond },
	}, minions))
	defer d.close()
	if err != nil {
		return "", err
	}
	accepted := []string{jobID(0)}
	if !d.submit(jobID(0), job(map[string]any{"count": 4, "cpu": 2800, "memMb": 15000, "gpu": 1, "estMs": 2500})) {
		return "", errors.New("the first job was not accepted")
	}
	time.Sleep(5 * time.Second)
	if _, state := d.state(jobID(0)); state != "completed" {
		return "", fmt.Errorf("the first job is %q", state)
	}
	if hasTrouble {
		step := map[string]any{"count": 72, "cpu": 10, "memMb": 10, "estMs": 2500}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := 1; i <= burstJobs; i++ {
			wg.Go(func() {
				if d.submit(jobID(i), job(step, step, step)) {
					mu.Lock()
					defer mu.Unlock()
					accepted = append(accepted, jobID(i))
				}
			})
			time.Sleep(burstTime / burstJobs)
		}
		wg.Wait()
	}
	rec.note("the traffic has ended; %d jobs are accepted", len(accepted))
	time.Sleep(finish)
	asked, silent := 0, 0
	for until := time.Now().Add(askedFor); time.Now().Before(until); asked++ {
		isAnswered := false
		for try := 0; try < tries && !isAnswered; try++ {
			status, _ := d.call(3*time.Second, http.MethodGet, d.front(try%len(d.fronts)), routeHost, prefix+accepted[asked%len(accepted)], nil)
			isAnswered = status == http.StatusOK
			time.Sleep(500 * time.Millisecond)
		}
		if !isAnswered {
			silent++
		}
	}
	if silent > 0 {
		return fmt.Sprintf("LOST: from %v after the end of the traffic on, %d of %d accepted jobs that were asked for got no answer in %d tries", finish, silent, asked, tries), nil
	}
	return "", nil
}
