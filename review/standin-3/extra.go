package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// sameName sends a desired state in which two routes, with other prefixes and services,
// have the same name. The pages list what makes a desired state invalid; this is not there.
func sameName(s *scene) int {
	names := [2]string{"r-quote", "r-quote"}
	if !s.trouble {
		names[1] = "r-other"
	}
	for i, service := range []string{"one", "two"} {
		if _, err := s.f.start("i-"+service, service, s.c.address(40+i, minionPort), whole, []string{"a", "r1"}, s.c.coreAddresses()); err != nil {
			s.rec.line("cannot run: %v", err)
			return unable
		}
	}
	routes := []map[string]any{route(names[0], "/one/", "one"), route(names[1], "/two/", "two")}
	if !s.putConfig(3, routes, []map[string]any{service("one", false), service("two", false)}) {
		return unable
	}
	time.Sleep(3 * time.Second)
	j := job{
		id:     "00000000000000b2",
		prefix: "/two/",
		steps:  []map[string]any{step(1, 3000)},
	}
	if !s.submit(j, 3*time.Second) {
		return unable
	}
	time.Sleep(time.Second)
	w := s.workerOf(j)
	if w == nil {
		return unable
	}
	s.rec.line("the job of /two/ is at work on %s of service %s", w.id, w.service)
	if w.service != "two" {
		return broken
	}
	return held
}

// unreadConfig sends desired states that can't be read in full: with bytes that are no
// UTF-8, with a text in place of the limits, and without routes, services and tenants.
func unreadConfig(s *scene) int {
	routes, services := []map[string]any{route("r-main", "/main/", "main")}, []map[string]any{service("main", false)}
	if !s.putConfig(3, routes, services) {
		return unable
	}
	document := map[string]any{
		"version": 5, "routes": routes, "services": services, "limits": map[string]any{"maxBodyBytes": 262144},
		"tenants": []any{map[string]any{"name": "tenant-one", "apiKeys": []string{key}}},
	}
	sound, _ := json.Marshal(document)
	document["version"], document["limits"] = 7, "none"
	mistyped, _ := json.Marshal(document)
	bodies := [][]byte{bytes.Replace(sound, []byte("tenant-one"), []byte("tenant-\xff\xfe"), 1), mistyped, []byte(`{"version":9}`)}
	if !s.trouble {
		bodies = [][]byte{sound}
	}
	accepted := 0
	for i, body := range bodies {
		status, answer := call(context.Background(), time.Second, http.MethodPut, s.c.coreAddresses()[i%len(s.c.cores)], "", "/plantainladder/config", "", body)
		s.rec.line("operator: PUT config %q: %d %s", body, status, answer)
		if status == http.StatusOK {
			accepted++
		}
	}
	status, answer := call(context.Background(), time.Second, http.MethodGet, s.c.coreAddresses()[0], "", "/plantainladder/config", "", nil)
	s.rec.line("operator: GET config: %d %q", status, answer)
	if s.trouble && accepted > 0 {
		return broken
	}
	return held
}
