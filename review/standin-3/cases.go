package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// task needs a quarter of a minion.
var small = resources{
	CPU:   4000,
	MemMb: 8000,
	GPU:   2,
}

var whole = resources{
	CPU:   32000,
	MemMb: 131072,
	GPU:   8,
}

func step(count int, estMs int, dependsOn ...int) map[string]any {
	m := map[string]any{"count": count, "cpu": small.CPU, "memMb": small.MemMb, "gpu": small.GPU, "estMs": estMs}
	if len(dependsOn) > 0 {
		m["dependsOn"] = dependsOn
	}
	return m
}

// movedRoute changes the service of two routes in a new desired state after jobs were
// accepted there. The service before is off for the one route; for the other one its
// minions leave afterwards, the second half a second after the first.
func movedRoute(s *scene) int {
	before, off := "old", "off"
	if !s.trouble {
		before, off = "new", "new"
	}
	services := []map[string]any{service("old", false), service("new", false), service("off", true)}
	for i, name := range []string{"old", "old", "new", "new"} {
		if _, err := s.f.start("i-"+name+string(rune('0'+i)), name, s.c.address(40+i, minionPort), whole, []string{"a", "r1"}, s.c.coreAddresses()); err != nil {
			s.rec.line("cannot run: %v", err)
			return unable
		}
	}
	if !s.putConfig(3, []map[string]any{route("r-moved", "/moved/", before), route("r-late", "/late/", off)}, services) {
		return unable
	}
	time.Sleep(3 * time.Second)
	moved := job{
		id:     "00000000000000a1",
		prefix: "/moved/",
		steps:  []map[string]any{step(4, 8000), step(4, 2000, 0)},
	}
	late := job{
		id:     "00000000000000b2",
		prefix: "/late/",
		steps:  []map[string]any{step(2, 2000)},
	}
	if !s.submit(moved, 8*time.Second, 2*time.Second) || !s.submit(late, 2*time.Second) {
		return unable
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		if !s.putConfig(7, []map[string]any{route("r-moved", "/moved/", "new"), route("r-late", "/late/", "new")}, services) {
			return unable
		}
		time.Sleep(configApply)
	}
	after := job{
		id:     "00000000000000c3",
		prefix: "/moved/",
		steps:  []map[string]any{step(2, 1000)},
	}
	if !s.submit(after, time.Second) {
		return unable
	}
	trafficEndedAt := time.Now()
	if s.trouble {
		var leaving sync.WaitGroup
		for _, m := range s.f.minions[:2] {
			leaving.Go(m.leave)
			time.Sleep(500 * time.Millisecond)
		}
		leaving.Wait()
	}
	if s.watch([]job{moved, late, after}, "new", small, trafficEndedAt, 40*time.Second) {
		return held
	}
	return broken
}

// anotherWriter sends a ping that another writer than the minion has written: under the
// minion's id, for a service that no desired state names.
func (s *scene) anotherWriter(id, address string) bool {
	body := map[string]any{
		"service": "telemetry", "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": whole, "labels": []string{"a", "r1"}, "clockMs": 5000, "seq": 1, "born": time.Now().UnixMilli(),
	}
	b, _ := json.Marshal(body)
	status, answer := put(context.Background(), s.c.coreAddresses()[0], id, body)
	s.rec.line("another writer: PUT instances/%s %s: %d %s", id, b, status, answer)
	return status != 0 && status < http.StatusInternalServerError
}

// oddPing sends two pings of another writer while tasks are at work. Each has the id of the
// minion where the task runs, and a service that no desired state names. The first one has
// the writer's own address, the second one that of a third minion.
func oddPing(s *scene) int {
	for i := range 3 {
		if _, err := s.f.start("i-"+string(rune('0'+i)), "main", s.c.address(40+i, minionPort), whole, []string{"a", "r1"}, s.c.coreAddresses()); err != nil {
			s.rec.line("cannot run: %v", err)
			return unable
		}
	}
	// The writer's own server has none of the minions' paths.
	own := s.c.address(60, minionPort)
	listener, err := net.Listen("tcp", own)
	if err != nil {
		s.rec.line("cannot run: %v", err)
		return unable
	}
	go func() {
		_ = (&http.Server{
			Handler:           http.NotFoundHandler(),
			ReadHeaderTimeout: time.Second,
		}).Serve(listener)
	}()
	if !s.putConfig(3, []map[string]any{route("r-main", "/main/", "main")}, []map[string]any{service("main", false)}) {
		return unable
	}
	time.Sleep(3 * time.Second)
	first := job{
		id:     "00000000000000a1",
		prefix: "/main/",
		steps:  []map[string]any{step(1, 8000)},
	}
	second := job{
		id:     "00000000000000b2",
		prefix: "/main/",
		steps:  []map[string]any{step(1, 8000)},
	}
	if !s.submit(first, 8*time.Second) {
		return unable
	}
	time.Sleep(2 * time.Second)
	w := s.workerOf(first)
	if w == nil || s.trouble && !s.anotherWriter(w.id, own) {
		return unable
	}
	time.Sleep(time.Second)
	if !s.submit(second, 8*time.Second) {
		return unable
	}
	trafficEndedAt := time.Now()
	time.Sleep(2 * time.Second)
	w2 := s.workerOf(second)
	if w2 == nil {
		return unable
	}
	if s.trouble && !s.anotherWriter(w2.id, s.idle().address) {
		return unable
	}
	isServed := s.watch([]job{first, second}, "main", small, trafficEndedAt, 15*time.Second)
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.rec.line("TWICE is broken: %v; LOST is broken: %v", s.f.twice > 0, !isServed)
	if s.f.twice > 0 || !isServed {
		return broken
	}
	return held
}

// workerOf returns the minion where a run of a job is at work; nil for none.
func (s *scene) workerOf(j job) *minion {
	for _, m := range s.f.minions {
		m.mu.Lock()
		for k := range m.active {
			if strings.HasPrefix(k.task, j.id) {
				m.mu.Unlock()
				return m
			}
		}
		m.mu.Unlock()
	}
	s.rec.line("cannot run: no task of %s has begun", j.id)
	return nil
}

// idle returns a minion where nothing is at work.
func (s *scene) idle() *minion {
	for _, m := range s.f.minions {
		m.mu.Lock()
		n := len(m.active)
		m.mu.Unlock()
		if n == 0 {
			return m
		}
	}
	return s.f.minions[0]
}

// lostZone ends the two cores of one zone of three at the same moment, and keeps them down
// while the jobs are asked for.
func lostZone(s *scene) int {
	for i := range 2 {
		if _, err := s.f.start("i-"+string(rune('0'+i)), "main", s.c.address(40+i, minionPort), whole, []string{"a", "r1"}, s.c.coreAddresses()); err != nil {
			s.rec.line("cannot run: %v", err)
			return unable
		}
	}
	if !s.putConfig(3, []map[string]any{route("r-main", "/main/", "main")}, []map[string]any{service("main", false)}) {
		return unable
	}
	time.Sleep(8 * time.Second)
	first := job{
		id:     "00000000000000a1",
		prefix: "/main/",
		steps:  []map[string]any{step(2, 3000), step(2, 3000, 0)},
	}
	if !s.submit(first, 3*time.Second, 3*time.Second) {
		return unable
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.rec.line("zone z1 is lost: core-1 and core-2 end; core-3, core-4, core-5 and all other machines go on")
		for _, p := range s.c.cores[:2] {
			_ = p.cmd.Process.Kill()
		}
	}
	trafficEndedAt := time.Now()
	time.Sleep(time.Until(trafficEndedAt.Add(finishTime)))
	s.rec.line("the job is asked for from now on, %v after the end of the traffic", finishTime)
	answered := false
	for i := range 8 {
		status, answer := call(context.Background(), 3*time.Second, http.MethodGet, s.c.frontAddress(i), host, first.prefix+first.id, key, nil)
		s.rec.line("consumer: GET %s%s at front %d: %d %s", first.prefix, first.id, i%2+1, status, answer)
		if answered = status == http.StatusOK; answered {
			break
		}
		time.Sleep(time.Second)
	}
	s.rec.line("the job's state was told: %v", answered)
	if !answered {
		return broken
	}
	return held
}
