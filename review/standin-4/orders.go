package main

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// serve carries out an order to start or stop a run.
func (m *minion) serve(l *life, w http.ResponseWriter, r *http.Request, name string, f func(l *life, now time.Time, o order) string) {
	o, ok := m.read(l, w, r)
	if !ok {
		return
	}
	if name == "run-start" && m.cfg.onStart != nil {
		if late := m.cfg.onStart(m, o); late > 0 {
			m.note("%s: start of run %d of %s gets no answer; it is carried out %v later", m.cfg.id, o.Run, o.Task, late)
			time.AfterFunc(late, func() { m.carryOutLate(o) })
			hang(l, r)
			return
		}
	}
	m.mu.Lock()
	now := time.Now()
	reason := f(l, now, o)
	clock := l.clock(now)
	m.mu.Unlock()
	m.note("%s: %s of run %d of %s with token %d, deadline %d: %s", m.cfg.id, name, o.Run, o.Task, o.FencingToken, o.DeadlineMs, describe(reason))
	answer(w, reason, clock, l)
}

func describe(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

// hang keeps a request without an answer until its sender gives up or the boot ends.
func hang(l *life, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-l.ctx.Done():
	case <-time.After(30 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

// carryOutLate carries out a start that got no answer, by the boot that is there then.
func (m *minion) carryOutLate(o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.life
	if l.ctx.Err() != nil || m.closed {
		m.note("%s: late start of run %d of %s finds nobody", m.cfg.id, o.Run, o.Task)
		return
	}
	reason := m.start(l, time.Now(), o)
	m.note("%s: late start of run %d of %s with token %d, deadline %d: %s", m.cfg.id, o.Run, o.Task, o.FencingToken, o.DeadlineMs, describe(reason))
}

func (m *minion) read(l *life, w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	b, err := io.ReadAll(r.Body)
	if m.cfg.onOrder != nil {
		m.cfg.onOrder()
	}
	if r.Header.Get("X-Expect-Instance") != m.cfg.id {
		m.note("%s: an order for %s: 421", m.cfg.id, r.Header.Get("X-Expect-Instance"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err == nil {
		err = json.Unmarshal(b, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func answer(w http.ResponseWriter, reason string, clock int64, l *life) {
	w.Header().Set("Content-Type", "application/json")
	body := map[string]any{"clockMs": clock, "born": l.bootedAt.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(body)
}

// checkToken returns why an order is rejected, if its token is lower than one seen.
func (l *life) checkToken(o order) string {
	if o.FencingToken < l.token {
		return "fence"
	}
	l.token = o.FencingToken
	return ""
}

func (m *minion) extendLease(l *life, now time.Time, o order) {
	m.endDue(l, now)
	l.leaseUntil = max(l.leaseUntil, min(o.DeadlineMs, l.clock(now)+holdMax.Milliseconds()))
}

func (m *minion) start(l *life, now time.Time, o order) string {
	if reason := l.checkToken(o); reason != "" {
		return reason
	}
	if o.DeadlineMs < l.clock(now) {
		return "late"
	}
	m.extendLease(l, now, o)
	if r := l.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= l.closedRuns[o.Task] {
		return "old"
	}
	l.running[o.Task] = &run{
		task:      o.Task,
		number:    o.Run,
		startedAt: now,
	}
	m.event(o.Task, o.Run, "starts")
	return ""
}

func (m *minion) stop(l *life, now time.Time, o order) string {
	if reason := l.checkToken(o); reason != "" {
		return reason
	}
	l.closedRuns[o.Task] = max(l.closedRuns[o.Task], o.Run)
	if r := l.running[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime / 2)
	}
	return ""
}

// hold renews the lease and answers with both lists, at once if there are ends.
func (m *minion) hold(l *life, w http.ResponseWriter, r *http.Request) {
	o, ok := m.read(l, w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	now := time.Now()
	reason := l.checkToken(o)
	if reason == "" {
		m.extendLease(l, now, o)
		var rest []ended
		for _, f := range l.finished {
			if f.sequence > o.AckCursor {
				rest = append(rest, f)
			}
		}
		l.finished = rest
	}
	clock := l.clock(now)
	m.mu.Unlock()
	m.note("%s: hold with token %d, deadline %d, cursor %d: %s", m.cfg.id, o.FencingToken, o.DeadlineMs, o.AckCursor, describe(reason))
	if reason != "" {
		answer(w, reason, clock, l)
		return
	}
	deadline := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for isOver := false; ; {
		m.mu.Lock()
		body, changed, hasEnds := m.lists(l), l.changed, len(l.finished) > 0
		m.mu.Unlock()
		if hasEnds || isOver || o.WaitMs == 0 {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			return
		case <-l.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (m *minion) lists(l *life) []byte {
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, r := range l.running {
		percent := int(100 * now.Sub(r.startedAt) / max(m.cfg.runTime(r.task), 1))
		running = append(running, []any{r.task, r.number, "", min(percent, 99), 1000})
	}
	for _, f := range l.finished {
		finished = append(finished, []any{f.sequence, f.task, f.run, f.how, ""})
	}
	b, _ := json.Marshal(map[string]any{
		"clockMs": l.clock(now), "born": l.bootedAt.UnixMilli(), "running": running, "finished": finished,
	})
	return b
}
