package main

import (
	"fmt"
	"net/http"
	"time"
)

// A crowd is clients that nobody controls, which send bodies at once.
const (
	crowdBodies    = 40
	crowdBodyBytes = 256 << 10
)

// playCrowd: a crowd sends whole bodies of legal size to one core at once, three times to each of
// two of the three cores. The platform ends a process that uses more memory than its machine has,
// and starts it again.
func playCrowd(rec *recorder, program string, hasTrouble bool) (string, error) {
	const (
		// The rule allows no three ends on half of the core.
		crowdedCores = 2
		ends         = 3
		restartAfter = time.Second
		// calm is above catchUpS, so that one core at a time is away.
		calm = 5 * time.Second
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
	for len(body) < crowdBodyBytes-5 {
		body = append(body, ",{}"...)
	}
	body = append(body, "]}"...)
	rec.note("each of %d bodies has %d bytes", crowdBodies, len(body))
	for range ends {
		for i := range crowdedCores {
			if hasTrouble {
				for range crowdBodies {
					go d.call(10*time.Second, http.MethodPut, d.control(i), "", "/plantainladder/config", body)
				}
			}
			if !d.outgrows(d.cores[i], 4*time.Second) {
				return "", nil
			}
			time.Sleep(restartAfter)
			d.writeSettings(d.cores[i], d.seeds(), 1, false)
			if err = d.cores[i].start(); err != nil {
				return "", err
			}
			time.Sleep(calm)
		}
	}
	return fmt.Sprintf("Fault: the processes of %d of %d cores each ended %d times, over %d MB of memory", crowdedCores, len(d.cores), ends, coreMemoryMB), nil
}

// outgrows watches a core for some time, and ends it as the platform does once it uses more
// memory than its machine has. It reports whether it did.
func (d *deployment) outgrows(p *process, watchFor time.Duration) bool {
	peak := 0
	for began := time.Now(); time.Since(began) < watchFor; time.Sleep(10 * time.Millisecond) {
		peak = max(peak, p.residentMB())
		if peak > coreMemoryMB {
			d.rec.note("%s uses %d MB, more than the %d MB of its machine: the platform kills it", p.name, peak, coreMemoryMB)
			p.kill()
			return true
		}
	}
	d.rec.note("%s used %d MB at most", p.name, peak)
	return false
}
