package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// warmUp is how long a deployment runs before its traffic, as the users' sheet has it.
const warmUp = 10 * time.Second

// startAll starts a deployment with minions and the first desired state.
func startAll(rec *recorder, program string, minions []minionConfig) (d *deployment, err error) {
	if d, err = newDeployment(rec, program, 3, 2, 1); err != nil {
		return d, err
	}
	beganAt := time.Now()
	if err = d.start(); err != nil {
		return d, err
	}
	for _, c := range minions {
		if _, err = d.addMinion(c); err != nil {
			return d, err
		}
	}
	if err = d.putConfig(20 * time.Second); err != nil {
		return d, err
	}
	time.Sleep(time.Until(beganAt.Add(warmUp)))
	return d, nil
}

// A runBook records which runs of each task are under way, and where.
type runBook struct {
	mu      sync.Mutex
	running map[string]map[string]bool
	starts  map[string]int
	broken  []string
}

func newRunBook() *runBook {
	return &runBook{
		running: map[string]map[string]bool{},
		starts:  map[string]int{},
	}
}

func (b *runBook) note(m *minion, task string, number int, event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := fmt.Sprintf("run %d on %s", number, m.cfg.id)
	if b.running[task] == nil {
		b.running[task] = map[string]bool{}
	}
	if event != "starts" {
		delete(b.running[task], key)
		return
	}
	b.starts[task]++
	for other := range b.running[task] {
		b.broken = append(b.broken, fmt.Sprintf("%s of task %s starts while %s is under way", key, task, other))
	}
	b.running[task][key] = true
}

func (b *runBook) violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.broken...)
}

func (b *runBook) hasBegun(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[task] > 0
}

// playTwice: one start gets no answer, its minion crashes and is back under its id, and then
// the start is carried out by the boot that is there. All the while a job comes each second.
func playTwice(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		minions    = 8
		jobs       = 36
		armedAfter = 12
		crashAfter = 200 * time.Millisecond
		downFor    = 4500 * time.Millisecond
		lateBy     = 8 * time.Second
	)
	book := newRunBook()
	var isArmed atomic.Bool
	var orders atomic.Int64
	c := minionConfig{
		cpu:         32000,
		clockAtBoot: 600_000,
		runTime:     func(string) time.Duration { return 25 * time.Second },
		onRun:       book.note,
		onOrder:     func() { orders.Add(1) },
		onStart: func(m *minion, _ order) time.Duration {
			if !isArmed.CompareAndSwap(true, false) {
				return 0
			}
			time.AfterFunc(crashAfter, m.crash)
			time.AfterFunc(crashAfter+downFor, func() { _ = m.boot() })
			return lateBy
		},
	}
	d, err := startAll(rec, program, copies(c, minions))
	defer d.close()
	if err != nil {
		return "", err
	}
	for n := range jobs {
		if hasTrouble && n == armedAfter {
			rec.note("the next start is the one that is late; the minions have had %d orders so far", orders.Load())
			isArmed.Store(true)
		}
		if !d.submit(jobID(n), job(map[string]any{"count": 1, "cpu": 4000, "memMb": 1024, "gpu": 1, "estMs": 25000})) {
			return "", errors.New("a job was not accepted")
		}
		time.Sleep(time.Second)
		if len(book.violations()) > 0 {
			break
		}
	}
	rec.note("the minions have had %d orders, of which at most one was late", orders.Load())
	if v := book.violations(); len(v) > 0 {
		return "TWICE: " + v[0], nil
	}
	if !book.hasBegun(jobID(armedAfter) + ".0.0.0") {
		return "", errors.New("the task never began")
	}
	return "", nil
}

// copies returns the configurations of a number of minions in two racks.
func copies(c minionConfig, n int) (list []minionConfig) {
	for i := range n {
		c.rack = fmt.Sprintf("r%d", i%2)
		list = append(list, c)
	}
	return list
}

// playCrowd: clients that nobody controls send whole bodies of legal size to one core at once.
// The platform ends a process that uses more memory than its machine has.
func playCrowd(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		bodies     = 40
		bodyBytes  = 256 << 10
		memoryMB   = coreMemoryMB
		watchFor   = 12 * time.Second
		watchEvery = 10 * time.Millisecond
	)
	d, err := startAll(rec, program, copies(minionConfig{
		cpu:     32000,
		runTime: func(string) time.Duration { return time.Second },
	}, 2))
	defer d.close()
	if err != nil {
		return "", err
	}
	body := []byte(`{"version":1,"services":[],"tenants":[],"limits":{},"routes":[{}`)
	for len(body) < bodyBytes-5 {
		body = append(body, ",{}"...)
	}
	body = append(body, "]}"...)
	p := d.cores[0]
	rec.note("%s uses %d of %d MB; each of %d bodies has %d bytes", p.name, p.residentMB(), memoryMB, bodies, len(body))
	if hasTrouble {
		for range bodies {
			go d.call(10*time.Second, http.MethodPut, d.control(0), "", "/plantainladder/config", body)
		}
	}
	peak, began := 0, time.Now()
	for time.Since(began) < watchFor {
		time.Sleep(watchEvery)
		if n := p.residentMB(); n > peak {
			peak = n
		}
		if peak > memoryMB {
			rec.note("%s uses %d MB, more than the %d MB of its machine: the platform kills it", p.name, peak, memoryMB)
			p.kill()
			return fmt.Sprintf("Fault: %s used %d MB on a machine of %d MB", p.name, peak, memoryMB), nil
		}
	}
	rec.note("%s used %d MB at most", p.name, peak)
	return "", nil
}

// playPending: a minion is lost just after jobs were accepted. One job has no room, has not
// begun, and is not counted as pending.
func playPending(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		minions = 8
		// visible is visible_ms + 2 s.
		visible = 5 * time.Second
	)
	book := newRunBook()
	c := minionConfig{
		cpu:     16000,
		runTime: func(string) time.Duration { return 60 * time.Second },
		onRun:   book.note,
	}
	d, err := startAll(rec, program, copies(c, minions))
	defer d.close()
	if err != nil {
		return "", err
	}
	if hasTrouble {
		d.minions[minions-1].crash()
	}
	acceptedAt := map[string]time.Time{}
	for i := range minions {
		id := jobID(i)
		if !d.submit(id, job(map[string]any{"count": 1, "cpu": 16000, "memMb": 1024, "gpu": 1, "estMs": 60000})) {
			return "", errors.New("a job was not accepted")
		}
		acceptedAt[id] = time.Now()
	}
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) {
		time.Sleep(500 * time.Millisecond)
		// What the rule counts before the answer can only shrink until it comes.
		askedAt := time.Now()
		status, answer := d.call(3*time.Second, http.MethodGet, d.front(0), routeHost, prefix, nil)
		var m struct {
			PendingJobs *int `json:"pendingJobs"`
		}
		if json.Unmarshal([]byte(answer), &m) != nil || status != http.StatusOK || m.PendingJobs == nil {
			continue
		}
		owed := 0
		for id, at := range acceptedAt {
			if askedAt.Sub(at) > visible && !book.hasBegun(id+".0.0.0") {
				owed++
			}
		}
		rec.note("jobs accepted over 5 s before that have not begun: %d; pendingJobs: %d", owed, *m.PendingJobs)
		if 2**m.PendingJobs < owed {
			return fmt.Sprintf("MIXED: pendingJobs is %d, and %d jobs that were accepted over 5 s before have not begun", *m.PendingJobs, owed), nil
		}
	}
	return "", nil
}

// playReplaced: an idle minion is lost, and two seconds later a new minion boots at its
// address. A job that was placed on the lost one is answered with 421 there, and never runs.
func playReplaced(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		minions    = 8
		shortTask  = time.Second
		reuseAfter = 2200 * time.Millisecond
		// finish is finish_s, and idle the time for which the rule lets a job have nothing
		// running.
		finish = 14 * time.Second
		idle   = 3 * time.Second
	)
	book := newRunBook()
	c := minionConfig{
		cpu:     32000,
		runTime: func(string) time.Duration { return shortTask },
		onRun:   book.note,
	}
	d, err := startAll(rec, program, copies(c, minions))
	defer d.close()
	if err != nil {
		return "", err
	}
	hand := func(from, n int) error {
		for i := from; i < from+n; i++ {
			if !d.submit(jobID(i), job(map[string]any{"count": 1, "cpu": 32000, "memMb": 1024, "gpu": 1, "estMs": 1000})) {
				return errors.New("a job was not accepted")
			}
		}
		return nil
	}
	// Each minion has run something before.
	if err = hand(0, minions); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if hasTrouble {
		lost := d.minions[0]
		lost.awaitPing()
		lost.crash()
		time.Sleep(reuseAfter)
		next := lost.cfg
		next.id = "i-fff0"
		successor := &minion{
			cfg: next,
		}
		if err = successor.boot(); err != nil {
			return "", err
		}
		d.minions = append(d.minions, successor)
	}
	time.Sleep(100 * time.Millisecond)
	// One for each minion, so that none is spared.
	if err = hand(minions, minions+1); err != nil {
		return "", err
	}
	rec.note("the traffic ends")
	time.Sleep(finish)
	stuck := map[string]time.Time{}
	until := time.Now().Add(10 * time.Second)
	for time.Now().Before(until) {
		time.Sleep(500 * time.Millisecond)
		now := time.Now()
		for i := minions; i < 2*minions+1; i++ {
			id := jobID(i)
			_, state := d.state(id)
			if state != "running" && state != "pending" || book.isRunning(id+".0.0.0") || book.inUse() > 0 {
				delete(stuck, id)
				continue
			}
			if stuck[id].IsZero() {
				stuck[id] = now
			}
			if now.Sub(stuck[id]) > idle {
				return fmt.Sprintf("LOST: job %s is shown as %s %v after the end of the traffic, and nothing runs anywhere", id, state, finish+idle), nil
			}
		}
	}
	return "", nil
}

func (b *runBook) isRunning(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running[task]) > 0
}

// inUse returns how many runs are under way.
func (b *runBook) inUse() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, runs := range b.running {
		n += len(runs)
	}
	return n
}

// playLimit: as in playTwice, a start is carried out by the next life of its minion. The
// leader sees that run in the minion's list, and starts another one beside it.
func playLimit(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		minions    = 8
		capacity   = 32000
		crashAfter = 200 * time.Millisecond
		downFor    = 4500 * time.Millisecond
		lateBy     = 8 * time.Second
		longTask   = 25 * time.Second
	)
	var mu sync.Mutex
	var broken []string
	running := map[*minion]map[string]bool{}
	var isArmed atomic.Bool
	c := minionConfig{
		cpu:         capacity,
		clockAtBoot: 600_000,
		runTime: func(task string) time.Duration {
			if jobOf(task) < jobID(minions) {
				return time.Second
			}
			return longTask
		},
		onRun: func(m *minion, task string, number int, event string) {
			mu.Lock()
			defer mu.Unlock()
			if running[m] == nil {
				running[m] = map[string]bool{}
			}
			if event != "starts" {
				delete(running[m], task)
				return
			}
			running[m][task] = true
			if n := len(running[m]); n > 1 {
				broken = append(broken, fmt.Sprintf("run %d of %s brings %s to %d of %d thousandths of a core", number, task, m.cfg.id, n*capacity, capacity))
			}
		},
		onStart: func(m *minion, _ order) time.Duration {
			if !isArmed.CompareAndSwap(true, false) {
				return 0
			}
			time.AfterFunc(crashAfter, m.crash)
			time.AfterFunc(crashAfter+downFor, func() { _ = m.boot() })
			return lateBy
		},
	}
	d, err := startAll(rec, program, copies(c, minions))
	defer d.close()
	if err != nil {
		return "", err
	}
	hand := func(from, n int) error {
		for i := from; i < from+n; i++ {
			if !d.submit(jobID(i), job(map[string]any{"count": 1, "cpu": capacity, "memMb": 1024, "gpu": 1, "estMs": 25000})) {
				return errors.New("a job was not accepted")
			}
		}
		return nil
	}
	// Each of these runs for a second, on a minion of its own.
	if err = hand(0, minions); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	isArmed.Store(hasTrouble)
	if err = hand(minions, 1); err != nil {
		return "", err
	}
	time.Sleep(lateBy + 500*time.Millisecond)
	if err = hand(minions+1, minions-1); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if len(broken) > 0 {
		return "LIMIT: " + broken[0], nil
	}
	return "", nil
}
