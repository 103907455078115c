package main

import (
	"fmt"
	"time"
)

// crashedTwice lets a minion crash under the tasks of several jobs that take an hour, and
// then the minion where these have been started again. A small job is handed in after that.
func crashedTwice(s *scene) int {
	const minions = 6
	for i := range minions {
		if !s.boot(fmt.Sprintf("i-%d", i), i) {
			return unable
		}
	}
	if !s.putConfig(3, []map[string]any{route("r-main", "/main/", "main")}, []map[string]any{service("main", false)}) {
		return unable
	}
	time.Sleep(3 * time.Second)
	var long []job
	for i := range minions {
		j := job{
			id:     fmt.Sprintf("00000000000000a%d", i),
			prefix: "/main/",
			steps:  []map[string]any{oneGPU(3_600_000)},
		}
		long = append(long, j)
		if !s.submit(j, time.Hour) {
			return unable
		}
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		for range 2 {
			if !s.crashBusiest() {
				return unable
			}
			time.Sleep(5 * time.Second)
		}
	}
	small := job{
		id:     "00000000000000b7",
		prefix: "/main/",
		steps:  []map[string]any{oneGPU(1000)},
	}
	if !s.submit(small, time.Second) {
		return unable
	}
	trafficEndedAt := time.Now()
	time.Sleep(3 * time.Second)
	for _, j := range long {
		s.rec.line("job %s has %d runs at work", j.id, s.running(j))
	}
	if s.watch([]job{small}, "main", resources{
		CPU:   3700,
		MemMb: 11000,
		GPU:   1,
	}, trafficEndedAt, 20*time.Second) {
		return held
	}
	return broken
}

func oneGPU(estMs int) map[string]any {
	return map[string]any{"count": 1, "cpu": 3700, "memMb": 11000, "gpu": 1, "estMs": estMs}
}

// boot starts the next boot of a minion of the service main.
func (s *scene) boot(id string, n int) bool {
	_, err := s.f.start(id, "main", s.c.address(40+n, minionPort), whole, []string{"a", "r1"}, s.c.coreAddresses())
	if err != nil {
		s.rec.line("cannot run: %v", err)
	}
	return err == nil
}

// crashBusiest ends the minion with the most runs. It is back 2 s later, under its id.
func (s *scene) crashBusiest() bool {
	var busiest *minion
	most := 0
	for _, m := range s.f.minions {
		m.mu.Lock()
		n := len(m.active)
		m.mu.Unlock()
		if m.ctx.Err() == nil && n > most {
			busiest, most = m, n
		}
	}
	if busiest == nil {
		s.rec.line("cannot run: nothing is at work")
		return false
	}
	s.rec.line("minion %s crashes under %d tasks", busiest.id, most)
	busiest.end()
	time.Sleep(2 * time.Second)
	var n int
	_, _ = fmt.Sscanf(busiest.id, "i-%d", &n)
	return s.boot(busiest.id, n)
}
