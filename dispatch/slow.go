package dispatch

import (
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/workflow"
)

// Finding and avoiding slow workers. The load that they answer: a part of the
// workers takes several times as long for everything, for some seconds, and
// looks healthy otherwise. A gang is as slow as its slowest member.
const (
	// slowFactor is how many times longer than expected the runs of a worker
	// take before it counts as slow. Estimates are off by less once learned.
	slowFactor = 2.5
	// slowPause is how long a slow worker gets nothing new. Each listing that
	// shows it slow begins it anew.
	slowPause = 3 * time.Second
	// paceEvery is the least time between two readings of a run's progress that
	// are compared.
	paceEvery = 400 * time.Millisecond
	// moveGain is how many times longer a run must be expected to take where it
	// is than elsewhere to be worth its stop.
	moveGain = 3
	// maxSlowShare is the part of a pool, as one in so many, that may be avoided
	// for being slow. Beyond it the estimates are wrong and not the workers.
	maxSlowShare = 3
)

// withPace returns r after a listing showed its progress: how many times longer
// than expected it takes. Progress counts from the first reading above zero,
// since the members of a gang wait for each other before.
func (r run) withPace(seenAt time.Time, percent int, expected time.Duration) run {
	switch {
	case r.paceFrom.IsZero():
		if percent > 0 {
			r.paceFrom, r.pacePercent = seenAt, percent
		}
		return r
	case seenAt.Sub(r.paceFrom) < paceEvery || percent >= donePercent:
		return r
	}
	nominal := float64(seenAt.Sub(r.paceFrom)) * 100 / float64(expected)
	r.slowness = nominal / max(float64(percent-r.pacePercent), 1)
	r.paceFrom, r.pacePercent = seenAt, percent
	return r
}

// withPaces returns v after its runs were compared with what is expected of them.
func (s *sweeper) withPaces(v view, tasks []workflow.PlacedTask) view {
	if !v.seenAt.After(v.pacedAt) {
		return v
	}
	v.pacedAt, v.isChanged = v.seenAt, true
	var seen []float64
	for _, t := range tasks {
		listed, ok := v.listed[t.Ref]
		if r := v.runs[t.Ref]; ok && !r.accepted.IsZero() {
			r = r.withPace(v.seenAt, listed.Percent, s.expected(t))
			v = v.withRun(t.Ref, r)
			if r.slowness > 0 && listed.Percent < donePercent {
				seen = append(seen, r.slowness)
			}
		}
	}
	if len(seen) == 0 {
		return v
	}
	slices.Sort(seen)
	v.slowness = seen[len(seen)/2]
	if v.slowness < slowFactor {
		v.slowUntil = time.Time{}
		return v
	}
	if v.slowUntil.IsZero() {
		s.note(Note{
			Text:   "Worker is slow and gets nothing new.",
			Worker: v.worker.ID,
			Reason: string(reasonSlow),
			Age:    s.now.Sub(v.seenAt),
		})
	}
	v.slowUntil = s.now.Add(slowPause)
	return v
}

// isWorthMoving reports whether an urgent run on a slow worker should be stopped
// and begun elsewhere: there it would end in a third of the time, the stop included.
// Other runs stay, since what they have done would be thrown away.
func (s *sweeper) isWorthMoving(v view, t workflow.PlacedTask, r run) bool {
	isUrgent := s.index.flows[t.Workflow].Terms.Priority == 0
	if !isUrgent || r.slowness < slowFactor || !s.now.Before(v.slowUntil) {
		return false
	}
	expected := s.expected(t)
	left := expected * time.Duration(100-v.listed[t.Ref].Percent) / 100
	here := time.Duration(float64(left) * r.slowness)
	elsewhere := expected
	if t.Terms.Checkpoints {
		elsewhere = left
	}
	return here > moveGain*(s.board.cfg.StopTakes+elsewhere)
}
