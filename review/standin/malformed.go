package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// odd returns a value that a field of a message should not have.
func odd(r *rand.Rand) string {
	list := []string{
		"null", "-1", "0", "1e400", "9223372036854775807", "18446744073709551615", "9223372036854775808", "0.5", `""`, `"x"`, "[]", "{}", "true", `"\ud800"`,
		"[[]]", `[null]`, "1e18", "-9223372036854775808", `"` + strings.Repeat("a", 5000) + `"`, "4096", "[1,2,3]", `[-1]`, `[99]`,
	}
	return list[r.IntN(len(list))]
}

// mutate replaces the value of a random field of a JSON text, cuts the text or leaves it.
func mutate(r *rand.Rand, text string) string {
	for range 1 + r.IntN(3) {
		switch r.IntN(8) {
		case 0:
			text = text[:r.IntN(len(text)+1)]
		case 1:
			if n := len(text); n > 0 {
				b := []byte(text)
				b[r.IntN(n)] = byte(r.IntN(256))
				text = string(b)
			}
		default:
			var starts []int
			for i := range text {
				if text[i] == ':' {
					starts = append(starts, i)
				}
			}
			if len(starts) == 0 {
				return text
			}
			at := starts[r.IntN(len(starts))] + 1
			end, depth := at, 0
			for ; end < len(text); end++ {
				switch text[end] {
				case '[', '{':
					depth++
				case ']', '}':
					depth--
				}
				if depth < 0 || depth == 0 && text[end] == ',' {
					break
				}
			}
			text = text[:at] + odd(r) + text[min(end, len(text)):]
		}
		if text == "" {
			return text
		}
	}
	return text
}

// playMalformed sends malformed messages from all sides. It is a search, no case.
func playMalformed(rec *record, _ bool) error {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
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
	if !op.configure(20*time.Second, desiredState(1, 1, key1)) {
		return errNotReady
	}
	rec.sleepUntil(3)
	// A rogue minion answers orders with malformed lists.
	rogue := fmt.Sprintf("%s.140:%d", c.subnet, c.ports.minion)
	l, err := net.Listen("tcp", rogue)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	rogueHandler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		body := mutate(random, `{"clockMs":5000,"born":1700000000000,"running":[["7734a870cec93d57.0.0.0",1,"",5,0]],"finished":[[1,"7734a870cec93d57.0.0.0",1,"done",""]]}`)
		status := []int{200, 200, 200, 409, 500, 404}[random.IntN(6)]
		mu.Unlock()
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
	server := &http.Server{
		Handler: rogueHandler,
	}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	var wg sync.WaitGroup
	client := newHTTPClient()
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(uint64(seed), uint64(100+n)))
			for k := 0; time.Since(rec.began) < 40*time.Second; k++ {
				ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
				core := c.cores[r.IntN(5)].control
				front := c.fronts[r.IntN(2)].front
				switch r.IntN(6) {
				case 0, 1:
					b, _ := json.Marshal(map[string]any{
						"service": "pickpass", "address": rogue, "zone": "naches", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
						"capacity": f.minions[0].cfg.capacity, "labels": []string{"a", "r1-1"}, "clockMs": 5000 + k, "seq": k + 1, "born": 1700000000000,
					})
					call(ctx, client, http.MethodPut, "http://"+core+"/plantainladder/instances/"+fmt.Sprintf("i-rogue%d", r.IntN(3)), "", "", mutate(r, string(b)))
				case 2:
					call(ctx, client, http.MethodPut, "http://"+core+"/plantainladder/config", "", "", mutate(r, strings.Replace(desiredState(1, 1, key1), `"version":1`, `"version":0`, 1)))
				case 3:
					call(ctx, client, []string{"POST", "DELETE"}[r.IntN(2)], "http://"+core+"/plantainladder/evacuate/"+[]string{"x%20y", "%00", strings.Repeat("z", 300), "..", "q"}[r.IntN(5)], "", "", "")
				case 4:
					body := jobBody("ms=100", step{"count": 2, "cpu": 100, "memMb": 10, "gpu": 1, "estMs": 100, "gang": false, "maxPerServer": 1, "dataRack": "r1-1", "requires": "a", "checkpointable": true}, step{"count": 1, "cpu": 10, "estMs": 100, "dependsOn": []int{0}})
					body = strings.TrimSuffix(body, "}") + fmt.Sprintf(`,"repeatCount":2,"startAtMs":%d,"intervalMs":1000}`, time.Now().UnixMilli())
					call(ctx, client, "POST", "http://"+front+prefix+fmt.Sprintf("%016x", r.Uint64()), host, key1, mutate(r, body))
				case 5:
					call(ctx, client, []string{"GET", "DELETE", "PATCH"}[r.IntN(3)], "http://"+front+prefix+[]string{"%2e%2e", "", "a/b", strings.Repeat("f", 3000), "%ff"}[r.IntN(5)], host, key1, "")
				}
				cancel()
			}
		}()
	}
	wg.Wait()
	for _, p := range c.all {
		select {
		case <-p.done:
			rec.broken("CRASH: %s has ended", p.name)
		default:
		}
		if p.logHas("panic") {
			rec.broken("PANIC in %s", p.name)
		}
	}
	caller := newConsumer(rec, key1)
	const id = "5c0e7a21d94b36f8"
	status := caller.submit(c.fronts, id, jobBody("ms=500", step{"count": 6, "cpu": 1000, "memMb": 100, "gpu": 1, "estMs": 500}))
	if !waitFor(45*time.Second, func() bool { return caller.state(c.fronts[0].front, id) == "completed" }) {
		rec.broken("HANG: job answered with %d is %s", status, caller.state(c.fronts[0].front, id))
	}
	return nil
}
