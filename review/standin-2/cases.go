package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func cases() map[string]caseConfig {
	labels := [][]string{{"a", "r1-1"}, {"a", "r1-1"}, {"a", "r1-1"}, {"a", "r1-2"}, {"a", "r1-2"}, {"a", "r1-3"}}
	twice := append(append([][]string{}, labels...), labels...)
	return map[string]caseConfig{
		"revoked-on-public": {
			cores:  5,
			fronts: 3,
			labels: labels,
			run:    revokedOnPublic,
		},
		"pending-behind-cut": {
			cores:  5,
			fronts: 3,
			labels: labels,
			run:    pendingBehindCut,
		},
		"burst-of-wide-jobs": {
			cores:  5,
			fronts: 3,
			labels: twice,
			run:    burstOfWideJobs,
		},
	}
}

// Bounds of the settings.
const (
	configApply = 2000 * time.Millisecond
	cancelBound = 3000 * time.Millisecond
	visible     = 3000 * time.Millisecond
	finish      = 14 * time.Second
)

// errNotAccepted is why a case could not run.
var errNotAccepted = errors.New("a job was not accepted")

// revokedOnPublic hands a job in on a public route with a key, takes that key away, and
// asks for the job and cancels it: with the key as before, and without a key, since a
// public route needs none.
func revokedOnPublic(c *cluster, isTroubled bool) (string, error) {
	// 60 tasks of all accelerators of a minion keep the 6 minions busy for 25 s.
	id, a := c.submit(firstKey, `{"count":60,"cpu":1000,"memMb":256,"gpu":8,"estMs":2500}`)
	if a.status/100 != 2 {
		return "", errNotAccepted
	}
	time.Sleep(visible + time.Second)
	keys := []string{firstKey}
	if isTroubled {
		if err := c.configure(desiredState{
			isPublic: true,
			keys:     []string{secondKey},
		}); err != nil {
			return "", err
		}
		keys = []string{firstKey, ""}
	}
	time.Sleep(configApply + 500*time.Millisecond)
	broken := ""
	for _, f := range c.fronts {
		for _, key := range keys {
			if got := c.send(f, http.MethodGet, prefix+id, key, ""); got.status == http.StatusGone {
				broken = fmt.Sprintf("LOST: GET for the accepted job %s, which runs, is answered 410 at %s", id, f.name)
			}
		}
		// The tenant's other key shows that the job is there.
		c.send(f, http.MethodGet, prefix+id, secondKey, "")
	}
	a = c.send(c.fronts[0], http.MethodDelete, prefix+id, keys[len(keys)-1], "")
	time.Sleep(cancelBound + 500*time.Millisecond)
	before := c.startsOf(id)
	time.Sleep(3 * time.Second)
	if n := c.startsOf(id) - before; n > 0 && (a.status/100 == 2 || a.status == http.StatusGone) {
		broken += fmt.Sprintf("; UNASKED: %d of its tasks began later than %s after its cancelling was answered %d", n, cancelBound, a.status)
	}
	return broken, nil
}

// startsOf returns how many tasks of a job the minions have begun.
func (c *cluster) startsOf(id string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.minions {
		m.mu.Lock()
		n += m.begun[id]
		m.mu.Unlock()
	}
	return n
}

// An acceptedJob is a job with the time of its confirmation.
type acceptedJob struct {
	id string
	at time.Time
}

// pendingBehindCut cuts one of six minions off and hands in jobs that only that one may
// run, and reads the number of pending jobs while none of them has begun.
func pendingBehindCut(c *cluster, isTroubled bool) (string, error) {
	m := c.minions[len(c.minions)-1]
	// A job before, so that the minion has been in use.
	if _, a := c.submit(firstKey, `{"count":6,"cpu":1000,"memMb":256,"gpu":8,"estMs":2500}`); a.status/100 != 2 {
		return "", errNotAccepted
	}
	time.Sleep(5 * time.Second)
	if isTroubled {
		m.isCut.Store(true)
		c.rec.write("platform", "minion %s is cut off from all machines", m.id)
		time.AfterFunc(5500*time.Millisecond, func() {
			c.rec.write("platform", "minion %s is connected again", m.id)
			m.isCut.Store(false)
		})
	}
	var jobs []acceptedJob
	for range 6 {
		id, a := c.submit(firstKey, `{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estMs":2500,"requires":"r1-3"}`)
		if a.status/100 != 2 {
			return "", errNotAccepted
		}
		jobs = append(jobs, acceptedJob{
			id: id,
			at: time.Now(),
		})
	}
	broken := ""
	for n, from := 0, time.Now(); time.Since(from) < 12*time.Second; n++ {
		front := c.fronts[n%len(c.fronts)]
		// Jobs that were accepted over visible_ms + 2 s before the call.
		var due []acceptedJob
		for _, j := range jobs {
			if time.Since(j.at) > visible+2*time.Second {
				due = append(due, j)
			}
		}
		a := c.send(front, http.MethodGet, prefix, firstKey, "")
		waiting := 0
		for _, j := range due {
			if c.startsOf(j.id) == 0 {
				waiting++
			}
		}
		var count struct {
			PendingJobs *int `json:"pendingJobs"`
		}
		if err := json.Unmarshal([]byte(a.body), &count); err == nil && count.PendingJobs != nil && 2**count.PendingJobs < waiting {
			broken = fmt.Sprintf("MIXED: %s gives %d pending jobs, though %d were accepted over 5 s before and have not begun",
				front.name, *count.PendingJobs, waiting)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return broken, nil
}

// Figures of two bursts in a row: 2.4 times the usual 3.33 jobs a second for 6 s each.
const (
	burstJobs     = 96
	burstDuration = 12 * time.Second
	// askedFor is for how long jobs are asked for, from finish after the last job on.
	askedFor = 20 * time.Second
)

// burstOfWideJobs hands in jobs of three steps of 72 small tasks within 12 s, and asks for
// the accepted ones once the traffic has ended.
func burstOfWideJobs(c *cluster, isTroubled bool) (string, error) {
	small, a := c.submit(firstKey, `{"count":4,"cpu":2800,"memMb":15000,"gpu":1,"estMs":2500}`)
	if a.status/100 != 2 {
		return "", errNotAccepted
	}
	time.Sleep(5 * time.Second)
	if a = c.send(c.fronts[0], http.MethodGet, prefix+small, firstKey, ""); !strings.Contains(a.body, "completed") {
		return "", fmt.Errorf("the first job is not completed: %v", a)
	}
	accepted := []string{small}
	if isTroubled {
		accepted = append(accepted, c.burst()...)
	}
	c.rec.write("judge", "the traffic has ended; %d jobs are accepted", len(accepted))
	time.Sleep(finish)
	answered, asked, silent := 0, 0, ""
	for from := time.Now(); time.Since(from) < askedFor; asked++ {
		id := accepted[asked%len(accepted)]
		if c.isAnswered(id) {
			answered++
			continue
		}
		silent = id
	}
	c.rec.write("judge", "%d of %d jobs were answered for; %d tasks have begun", answered, asked, c.allStarts())
	if silent == "" {
		return "", nil
	}
	return fmt.Sprintf("LOST: from %s after the end of the traffic on, %d of %d accepted jobs that were asked for got no answer in %d tries, such as %s",
		finish, asked-answered, asked, tries, silent), nil
}

// tries is how often a consumer asks: once, and four times again.
const tries = 5

// isAnswered asks for a job at the fronts in turn until there is an answer.
func (c *cluster) isAnswered(id string) bool {
	for n := range tries {
		sentAt := time.Now()
		if a := c.send(c.fronts[n%len(c.fronts)], http.MethodGet, prefix+id, firstKey, ""); a.status == http.StatusOK {
			time.Sleep(time.Second - time.Since(sentAt))
			return true
		}
		time.Sleep(time.Second - time.Since(sentAt))
	}
	return false
}

// burst hands in the jobs of the burst and returns the accepted ones.
func (c *cluster) burst() (accepted []string) {
	step := `{"count":72,"cpu":10,"memMb":10,"estMs":2500}`
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range burstJobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if id, a := c.submit(firstKey, step+","+step+","+step); a.status/100 == 2 {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		}()
		time.Sleep(burstDuration / burstJobs)
	}
	wg.Wait()
	return accepted
}

// allStarts returns how many tasks the minions have begun.
func (c *cluster) allStarts() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.minions {
		m.mu.Lock()
		for _, begun := range m.begun {
			n += begun
		}
		m.mu.Unlock()
	}
	return n
}
