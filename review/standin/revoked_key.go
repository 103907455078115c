package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// leader returns the core that became leader last, by the cores' logs.
func (c *cluster) leader() *process {
	var found *process
	newest := ""
	for _, p := range c.cores {
		b, _ := os.ReadFile(filepath.Join(p.folder, "log"))
		for line := range strings.Lines(string(b)) {
			_, rest, _ := strings.Cut(line, `"time":"`)
			at, _, _ := strings.Cut(rest, `"`)
			if strings.Contains(line, "Replica role is now leader") && at > newest {
				newest, found = at, p
			}
		}
	}
	return found
}

// Figures of revoked-key.
const (
	callersAtOnce = 60
	keyRounds     = 6
)

// playRevokedKey kills the leader while many jobs are handed in, and takes their key away
// while there is no leader.
func playRevokedKey(rec *record, trouble bool) error {
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
	rec.sleepUntil(4)
	for round := 1; round <= keyRounds && time.Since(rec.began) < 90*time.Second; round++ {
		if err = playKeyRound(rec, c, j, op, round, trouble); err != nil {
			return err
		}
		if len(rec.problems()) > 0 {
			return nil
		}
	}
	return nil
}

func playKeyRound(rec *record, c *cluster, j *judge, op *operator, round int, trouble bool) error {
	var mu sync.Mutex
	rejected := map[string]int{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range callersAtOnce {
		wg.Add(1)
		go func() {
			defer wg.Done()
			caller := newConsumer(rec, key2)
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%02x%04x%06x0000", round, n, k)
				status, _ := caller.once(c.fronts[0].front, http.MethodPost, id, jobBody("ms=300", step{"count": 1, "cpu": 10, "memMb": 1, "estMs": 300}))
				if status == http.StatusUnauthorized {
					mu.Lock()
					rejected[id] = status
					mu.Unlock()
					// The consumer learns that its key is gone, and ends.
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	killed := c.leader()
	if trouble {
		c.signal(killed, syscall.SIGKILL)
	}
	version := 10 * round
	ok := op.configure(10*time.Second, desiredState(version, 1, key1))
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	if !ok {
		return fmt.Errorf("the desired state %d was not acknowledged", version)
	}
	time.Sleep(2 * time.Second)
	rec.line("Round %d: %d jobs were rejected with 401 at their only attempt", round, len(rejected))
	for id := range rejected {
		if j.startsOf(id) > 0 {
			rec.broken("REFUSED: job %s was rejected with 401 at its only attempt, and its task started", id)
		}
	}
	if trouble {
		<-killed.done
		if err := c.startProcess(killed, false); err != nil {
			return err
		}
	}
	if !op.configure(10*time.Second, desiredState(version+1, 1, key1, key2)) {
		return errNotReady
	}
	time.Sleep(4 * time.Second)
	return nil
}
