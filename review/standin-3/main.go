// Command standin-3 plays a case of the review against the project's own programs as
// processes on loopback addresses: usage standin-3 CASE RECORD. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it leaves the
// disruption out.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	unable = 2
)

// scene is what a case plays with.
type scene struct {
	rec     *record
	c       *cluster
	f       *fleet
	trouble bool
}

// play is how a case is played, on which deployment.
type play struct {
	layout layout
	run    func(s *scene) int
}

var cases = map[string]play{
	"crashed-twice": {
		layout: oneZone,
		run:    crashedTwice,
	},
	"odd-ping": {
		layout: oneZone,
		run:    oddPing,
	},
	"moved-route": {
		layout: oneZone,
		run:    movedRoute,
	},
	"lost-zone": {
		layout: threeZones,
		run:    lostZone,
	},
	// The following are no cases of the review; REPORT-2.md tells of them.
	"same-name": {
		layout: oneZone,
		run:    sameName,
	},
	"unread-config": {
		layout: oneZone,
		run:    unreadConfig,
	},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Println("usage: standin-3 CASE RECORD")
		os.Exit(unable)
	}
	os.Exit(cases[os.Args[1]].play(os.Args[2]))
}

func (p play) play(path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	s := &scene{
		rec:     rec,
		f:       newFleet(rec),
		trouble: os.Getenv("TROUBLE") != "0",
	}
	rec.line("the disruption is played: %v", s.trouble)
	s.c, err = newCluster(rec, p.layout)
	defer s.c.close()
	if err == nil {
		err = s.f.serveCloud(s.c.address(120, cloudPort))
	}
	if err != nil {
		rec.line("cannot run: %v", err)
		return unable
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- p.run(s) }()
	code := unable
	select {
	case code = <-result:
	case <-signals:
		rec.line("interrupted")
	case <-time.After(110 * time.Second):
		rec.line("took too long")
	}
	for _, m := range s.f.minions {
		m.end()
	}
	rec.line("%s", map[int]string{held: "HELD", broken: "BROKEN", unable: "COULD NOT RUN"}[code])
	fmt.Println(map[int]string{held: "held", broken: "broken", unable: "could not run"}[code])
	return code
}

const (
	host = "orders.example"
	key  = "key-of-tenant-one-0001"
)

// route returns a route of the desired state.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000, "targetCompletionMs": 1000,
		"priority": 1, "service": service, "maxAttempts": 3, "stretch": 3.0, "public": false,
	}
}

func service(name string, standby bool) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
		"enforcesCapacity": false, "standby": standby,
	}
}

// putConfig sends a desired state as the operator does, to one node after the other,
// until it is confirmed.
func (s *scene) putConfig(version int, routes, services []map[string]any) bool {
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-one", "apiKeys": []string{key}, "priority": 1, "guaranteedGpus": map[string]any{"gpu": 8}}},
	})
	addresses := s.c.coreAddresses()
	for i := range 60 {
		status, answer := call(context.Background(), time.Second, http.MethodPut, addresses[i%len(addresses)], "", "/plantainladder/config", "", body)
		s.rec.line("operator: PUT config version %d: %d %s", version, status, answer)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// job is a job as a consumer sends it.
type job struct {
	id, prefix string
	steps      []map[string]any
	extra      map[string]any
}

// submit hands a job in, with the same ID at the next front after no clear answer.
func (s *scene) submit(j job, runTimes ...time.Duration) bool {
	for i, step := range j.steps {
		s.f.mu.Lock()
		s.f.runTimes[fmt.Sprintf("%s.%d", j.id, i)] = runTimes[i]
		r := resources{}
		r.CPU, _ = step["cpu"].(int)
		r.MemMb, _ = step["memMb"].(int)
		r.GPU, _ = step["gpu"].(int)
		s.f.needs[fmt.Sprintf("%s.%d", j.id, i)] = r
		s.f.mu.Unlock()
	}
	message := map[string]any{"taskSpec": "spec of " + j.id, "steps": j.steps}
	for k, v := range j.extra {
		message[k] = v
	}
	body, _ := json.Marshal(message)
	for i := range 20 {
		status, answer := call(context.Background(), 3*time.Second, http.MethodPost, s.c.frontAddress(i), host, j.prefix+j.id, key, body)
		s.rec.line("consumer: POST %s%s: %d %s", j.prefix, j.id, status, answer)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for a job's state.
func (s *scene) state(j job) string {
	for i := range 3 {
		status, answer := call(context.Background(), 3*time.Second, http.MethodGet, s.c.frontAddress(i), host, j.prefix+j.id, key, nil)
		if status == http.StatusOK {
			var m struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(answer), &m)
			return m.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// running counts the runs of a job that are at work on any minion.
func (s *scene) running(j job) (n int) {
	s.f.mu.Lock()
	minions := append([]*minion{}, s.f.minions...)
	s.f.mu.Unlock()
	for _, m := range minions {
		m.mu.Lock()
		for k := range m.active {
			if len(k.task) > 16 && k.task[:16] == j.id {
				n++
			}
		}
		m.mu.Unlock()
	}
	return n
}

// room returns how many tasks with the given needs fit on the minions of a service that
// are up and do not drain, by what is not in use there, and the share of the service's
// accelerators that is in use, in percent.
func (s *scene) room(service string, needs resources) (tasks, usedPercent int) {
	s.f.mu.Lock()
	minions := append([]*minion{}, s.f.minions...)
	s.f.mu.Unlock()
	total, used := 0, 0
	for _, m := range minions {
		m.mu.Lock()
		if m.service == service && m.ctx.Err() == nil && m.state == "ready" {
			free := m.capacity
			for _, a := range m.active {
				free.CPU -= a.needs.CPU
				free.MemMb -= a.needs.MemMb
				free.GPU -= a.needs.GPU
				used += a.needs.GPU
			}
			total += m.capacity.GPU
			tasks += min(free.CPU/max(needs.CPU, 1), free.MemMb/max(needs.MemMb, 1), free.GPU/max(needs.GPU, 1))
		}
		m.mu.Unlock()
	}
	return tasks, 100 * used / max(total, 1)
}

// watch asks for jobs from finish_s after the end of the traffic on, for the given time. It
// returns false if a job that has not ended has nothing running for over 3 s in a row
// while its turn has come, there is room for it twice over, and under half of the service's
// capacity is in use.
func (s *scene) watch(jobs []job, service string, needs resources, trafficEndedAt time.Time, length time.Duration) bool {
	time.Sleep(time.Until(trafficEndedAt.Add(finishTime)))
	s.rec.line("the jobs are asked for from now on, %v after the end of the traffic", finishTime)
	idleSince := map[string]time.Time{}
	longest := map[string]time.Duration{}
	states := map[string]string{}
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		now := time.Now()
		open := 0
		for _, j := range jobs {
			if states[j.id] == "completed" {
				continue
			}
			if state := s.state(j); state != states[j.id] {
				s.rec.line("consumer: GET %s%s: %s", j.prefix, j.id, state)
				states[j.id] = state
			}
			if states[j.id] == "completed" {
				continue
			}
			open++
			room, used := s.room(service, needs)
			if s.running(j) > 0 || room < 2 || used >= 50 {
				delete(idleSince, j.id)
				continue
			}
			if idleSince[j.id].IsZero() {
				idleSince[j.id] = now
				s.rec.line("job %s has nothing running, service %s has room for %d such tasks, %d percent in use", j.id, service, room, used)
			}
			longest[j.id] = max(longest[j.id], now.Sub(idleSince[j.id]))
		}
		if open == 0 {
			break
		}
	}
	ok := true
	for _, j := range jobs {
		s.rec.line("job %s: state %q, nothing running for %.1f s at most while there was room", j.id, states[j.id], longest[j.id].Seconds())
		ok = ok && longest[j.id] <= 3*time.Second
	}
	return ok
}
