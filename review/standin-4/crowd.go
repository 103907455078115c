package main

import (
	"fmt"
	"net/http"
	"time"
)

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
