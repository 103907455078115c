package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// playStress hands in many small jobs, so that the cores save snapshots, while cores are
// killed, frozen and lose their disks, one or two at a time. It is a search, no case.
func playStress(rec *record, trouble bool) error {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	c, err := newCluster(rec, 5, 3)
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
	rec.sleepUntil(3)
	var mu sync.Mutex
	accepted := map[string]bool{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			caller := newConsumer(rec, key1)
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("%04x%08x0000", n, k)
				body := jobBody("ms=500", step{"count": 1, "cpu": 100, "memMb": 10, "estMs": 500}, step{"count": 2, "cpu": 100, "memMb": 10, "estMs": 500, "dependsOn": []int{0}})
				if caller.submit(c.fronts, id, body) == http.StatusOK {
					mu.Lock()
					accepted[id] = true
					mu.Unlock()
				}
			}
		}()
	}
	for trouble && time.Since(rec.began) < 60*time.Second {
		time.Sleep(time.Duration(1+random.IntN(4)) * time.Second)
		p := c.cores[random.IntN(5)]
		if random.IntN(3) == 0 {
			p = c.leader()
		}
		switch random.IntN(5) {
		case 0:
			c.kill(p)
			time.Sleep(time.Duration(random.IntN(5)) * time.Second)
			if err = c.startProcess(p, false); err != nil {
				return err
			}
		case 1:
			c.signal(p, syscall.SIGSTOP)
			time.Sleep(time.Duration(1+random.IntN(4)) * time.Second)
			c.signal(p, syscall.SIGCONT)
		case 2:
			c.kill(p)
			_ = os.RemoveAll(p.dataDir())
			rec.line("%s has lost its disk", p.name)
			time.Sleep(time.Duration(1+random.IntN(3)) * time.Second)
			if err = c.startProcess(p, false); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
		case 3:
			for _, q := range c.cores {
				c.kill(q)
			}
			for _, q := range c.cores {
				if err = c.startProcess(q, false); err != nil {
					return err
				}
			}
			time.Sleep(3 * time.Second)
		case 4:
			c.signal(p, syscall.SIGTERM)
			<-p.done
			if err = c.startProcess(p, false); err != nil {
				return err
			}
		}
	}
	rec.sleepUntil(62)
	close(stop)
	wg.Wait()
	time.Sleep(15 * time.Second)
	caller := newConsumer(rec, key1)
	states := map[string]int{}
	for id := range accepted {
		s := caller.state(c.fronts[0].front, id)
		states[s]++
		if s != "completed" {
			rec.line("STATE %s %s", id, s)
		}
		if s == "410" || s == "failed" || s == "cancelled" {
			rec.broken("LOST: job %s is %s", id, s)
		}
	}
	fmt.Println(len(accepted), "accepted:", states)
	if n := j.checkTwice(); n > 0 {
		rec.broken("TWICE: %d tasks", n)
	}
	for _, p := range c.all {
		if p.logHas("panic") || p.logHas("fatal") || p.logHas("Process failed") {
			rec.broken("CRASH %s", p.name)
		}
	}
	snaps := 0
	for _, p := range c.cores {
		if _, err := os.Stat(p.dataDir() + "/snapshot"); err == nil {
			snaps++
		}
	}
	fmt.Println(snaps, "cores have a snapshot")
	return nil
}
