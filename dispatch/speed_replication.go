package dispatch

import (
	"maps"
	"math"
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/speed"
)

const (
	// minReplicatedChange is the change of the logarithm of a speed from which on it is
	// replicated again: half of the difference that places work elsewhere.
	minReplicatedChange = 0.1
	// maxReplicatedSpeeds bounds the speeds of one round.
	maxReplicatedSpeeds = 64
	// replicationInterval is the time between two comparisons of all speeds with the
	// replicated ones. Rounds are far more frequent.
	replicationInterval = 250 * time.Millisecond
)

// changedSpeeds returns the speeds that differ from the replicated ones, so that the next
// leader knows them: those of the workers of uneven pools, and none for pools that have become
// equal.
func (s *reconciliation) changedSpeeds() (list []plantainladder.WorkerSpeed) {
	if s.now.Sub(s.dispatcher.speedsComparedAt) < replicationInterval {
		return nil
	}
	s.dispatcher.speedsComparedAt = s.now
	for _, w := range s.state.Workers {
		learned, ok := s.learnedSpeed(w)
		isCloser := learned.Precision >= 2*w.SpeedPrecision && learned.Precision > 0
		isOver := learned.Precision == 0 && w.SpeedPrecision > 0
		if !ok || math.Abs(learned.LogSpeed-w.LogSpeed) < minReplicatedChange && !isCloser && !isOver {
			continue
		}
		list = append(list, learned)
		if len(list) == maxReplicatedSpeeds {
			break
		}
	}
	return list
}

// learnedSpeed returns what is to be replicated of a worker's speed. It reports false if this
// leader knows nothing about it.
func (s *reconciliation) learnedSpeed(w pool.Worker) (learned plantainladder.WorkerSpeed, ok bool) {
	learned.Worker, learned.Incarnation = w.ID, w.Incarnation
	spread := s.dispatcher.spreads[w.Pool]
	if spread.IsEqual() {
		return learned, true
	}
	v, ok := s.dispatcher.workerView(w.ID)
	if !ok || !spread.IsUneven() || !v.speed.HasSamples() || v.worker.Incarnation != w.Incarnation {
		return learned, false
	}
	learned.LogSpeed, learned.Precision = spread.Relative(v.speed), v.speed.Precision()
	return learned, true
}

// adoptSpeeds takes over the speeds that earlier leaders have learned, once in a term and for
// workers of which this leader has no runs yet.
func (s *reconciliation) adoptSpeeds() {
	if s.dispatcher.hasAdoptedSpeeds {
		return
	}
	s.dispatcher.hasAdoptedSpeeds = true
	adopted := map[string][]speed.Estimate{}
	for _, w := range s.state.Workers {
		if w.SpeedPrecision <= 0 {
			continue
		}
		v, ok := s.dispatcher.workerView(w.ID)
		if !ok {
			v = newWorkerView(s.now, w)
		}
		if v.worker.Incarnation != w.Incarnation || v.speed.HasSamples() {
			continue
		}
		v.speed = speed.NewEstimate(w.LogSpeed, w.SpeedPrecision)
		s.dispatcher = s.dispatcher.withView(v)
		adopted[w.Pool] = append(adopted[w.Pool], v.speed)
	}
	for name, list := range adopted {
		if len(list) >= minAdoptedSpeeds {
			s.dispatcher.spreads = maps.Clone(s.dispatcher.spreads)
			s.dispatcher.spreads[name] = speed.NewSpread(list)
		}
	}
}

// minAdoptedSpeeds is the number of workers with replicated speeds from which on a pool
// counts as uneven for a new leader. Only speeds of uneven pools are replicated.
const minAdoptedSpeeds = 8
