package main

import (
	"encoding/json"
	"net/http"
	"time"
)

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    uint64 `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

func (m *minion) decode(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (m *minion) answer(w http.ResponseWriter, reason string) {
	body := map[string]any{"clockMs": m.clockMs(time.Now())}
	if reason != "" {
		body["reason"] = reason
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(body)
}

// isFenced checks the fencing token of an order.
func (m *minion) isFenced(o order) bool {
	if o.FencingToken < m.fence {
		return true
	}
	m.fence = o.FencingToken
	return false
}

func (m *minion) extend(now time.Time, deadline int64) {
	m.endDue(now)
	m.lease = max(m.lease, min(deadline, m.clockMs(now)+longestHold.Milliseconds()))
}

func (m *minion) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	k := runKey{
		task: o.Task,
		run:  o.Run,
	}
	reason := ""
	switch {
	case m.isFenced(o):
		reason = "fence"
	case o.DeadlineMs < m.clockMs(now):
		reason = "late"
	default:
		m.extend(now, o.DeadlineMs)
		if m.active[k] != nil {
			break
		}
		if o.Run <= m.closed[o.Task] {
			reason = "old"
			break
		}
		m.f.mu.Lock()
		needs := m.f.needs[stepOf(o.Task)]
		m.f.mu.Unlock()
		m.active[k] = &activeRun{
			startedAt: now,
			needs:     needs,
		}
		m.f.noteStart(m, k)
	}
	m.f.rec.line("minion %s of %s: run-start %s run %d: %s", m.id, m.service, o.Task, o.Run, orText(reason, "begins"))
	m.answer(w, reason)
}

// noteStart records a start while another run of the task is at work on a minion that is
// up.
func (f *fleet) noteStart(m *minion, k runKey) {
	f.mu.Lock()
	others := append([]*minion{}, f.minions...)
	f.mu.Unlock()
	// Another minion may note a start as well, so that its lock must not be waited for here.
	go func() {
		for _, other := range others {
			if other == m || other.ctx.Err() != nil {
				continue
			}
			other.mu.Lock()
			other.endDue(time.Now())
			for o, a := range other.active {
				if o.task != k.task {
					continue
				}
				f.rec.line("TWICE: %s run %d begins on %s while run %d is at work on %s since %.1f s", k.task, k.run, m.id, o.run, other.id,
					time.Since(a.startedAt).Seconds())
				f.mu.Lock()
				f.twice++
				f.mu.Unlock()
			}
			other.mu.Unlock()
		}
	}()
}

func orText(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

func (m *minion) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reason := ""
	if m.isFenced(o) {
		reason = "fence"
	} else {
		m.closed[o.Task] = max(m.closed[o.Task], o.Run)
		if a := m.active[runKey{
			task: o.Task,
			run:  o.Run,
		}]; a != nil && a.stopAt.IsZero() {
			a.stopAt = time.Now().Add(200 * time.Millisecond)
		}
	}
	m.f.rec.line("minion %s: run-stop %s run %d: %s", m.id, o.Task, o.Run, orText(reason, "taken"))
	m.answer(w, reason)
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	wait := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for isFirst := true; ; isFirst = false {
		m.mu.Lock()
		if m.isFenced(o) {
			m.answer(w, "fence")
			m.mu.Unlock()
			return
		}
		now := time.Now()
		if isFirst {
			if o.DeadlineMs > 0 {
				m.extend(now, o.DeadlineMs)
			}
			var rest []endedRun
			for _, e := range m.finished {
				if e.n > o.AckCursor {
					rest = append(rest, e)
				}
			}
			m.finished = rest
		}
		running, finished := [][]any{}, [][]any{}
		for k, a := range m.active {
			m.f.mu.Lock()
			total := m.f.runTimes[stepOf(k.task)]
			m.f.mu.Unlock()
			running = append(running, []any{k.task, k.run, "", min(int(100*now.Sub(a.startedAt)/max(total, 1)), 99), a.needs.CPU})
		}
		for _, e := range m.finished[:min(len(m.finished), 500)] {
			finished = append(finished, []any{e.n, e.key.task, e.key.run, e.outcome, ""})
		}
		change := m.change
		reply := map[string]any{"clockMs": m.clockMs(now), "born": m.bootedAt.UnixMilli(), "running": running, "finished": finished}
		m.mu.Unlock()
		if len(finished) == 0 && o.WaitMs > 0 {
			isOver := false
			select {
			case <-change:
			case <-wait:
				isOver = true
			case <-r.Context().Done():
				return
			case <-m.ctx.Done():
				return
			}
			if !isOver {
				continue
			}
		}
		_ = json.NewEncoder(w).Encode(reply)
		return
	}
}
