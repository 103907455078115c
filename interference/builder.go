package interference

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/speed"
)

// A builder is the mutable working state of a With.
type builder struct {
	now   time.Time
	pairs map[Pair]evidence
	// cloned holds the pairs whose evidence is not shared with the Knowledge before.
	cloned  map[Pair]bool
	workers map[string]workerHistory
	known   Knowledge
	changes []Change
	// hasNewEffect is true if an effect that counts has new evidence.
	hasNewEffect bool
}

// learn adds the runs of a step that are not known yet.
func (b *builder) learn(step Step) {
	refs := b.references(step)
	for _, run := range step.Runs[step.Learned:] {
		for _, by := range run.Beside {
			if without, isJudged := refs.find(by); isJudged {
				b.learnPair(step, run, without)
			}
		}
	}
	for _, run := range step.Runs[step.Learned:] {
		b.addHistory(run.Worker, newPastRun(run, b.known.Cleared(step.Kind, run), refs))
	}
}

// learnPair adds what a run beside a kind tells about the kind.
func (b *builder) learnPair(step Step, run Run, refs kindReference) {
	by, without := refs.kind, refs.reference
	slowness, slownessVariance, ok := b.workers[run.Worker].ownSlowness(refs.digest)
	if !ok || without.runs < minReference {
		return
	}
	excess := b.known.clearedExcept(step.Kind, run, &by) - without.logTime - slowness
	pair := Pair{
		Slowed: step.Kind,
		By:     by,
	}
	before, isKnown := b.pairs[pair]
	if !isKnown && len(b.pairs) >= MaxPairs && !b.evictPairs() {
		return
	}
	after := before
	if !b.cloned[pair] {
		after, b.cloned[pair] = before.clone(), true
	}
	after.add(b.now, observation{
		excess:            speed.Bounded(excess),
		variance:          run.Variance,
		worker:            run.Worker,
		workerVariance:    slownessVariance,
		step:              step.Name,
		referenceVariance: without.variance,
	})
	b.pairs[pair] = after
	b.hasNewEffect = b.hasNewEffect || after.isEffect
	if after.isEffect != before.isEffect {
		b.changes = append(b.changes, Change{
			Effect:  after.effect(pair),
			IsBegun: after.isEffect,
		})
	}
}

func (b *builder) addHistory(worker string, past pastRun) {
	h, isKnown := b.workers[worker]
	if !isKnown && len(b.workers) >= MaxWorkers {
		return
	}
	first := max(len(h.runs)+1-maxHistory, 0)
	h.runs = append(slices.Clone(h.runs[first:]), past)
	h.seen = b.now
	b.workers[worker] = h
}

// evictPairs drops those pairs without an effect that were not seen for the longest time, and
// reports whether there were any. It drops several, so that it is rarely called.
func (b *builder) evictPairs() bool {
	var list []Pair
	for pair, e := range b.pairs {
		if !e.isEffect {
			list = append(list, pair)
		}
	}
	slices.SortFunc(list, func(x, y Pair) int {
		return cmp.Or(b.pairs[x].seen.Compare(b.pairs[y].seen), x.compare(y))
	})
	list = list[:min(len(list), MaxPairs/8)]
	for _, pair := range list {
		delete(b.pairs, pair)
	}
	return len(list) > 0
}

// dropUnseen drops the pairs and the workers without runs for the retention period.
func (b *builder) dropUnseen() {
	maps.DeleteFunc(b.workers, func(_ string, h workerHistory) bool {
		return b.now.Sub(h.seen) >= Retention
	})
	for pair, e := range b.pairs {
		if b.now.Sub(e.seen) < Retention {
			continue
		}
		delete(b.pairs, pair)
		if e.isEffect {
			b.changes = append(b.changes, Change{
				Effect:   e.effect(pair),
				IsUnseen: true,
			})
		}
	}
	slices.SortStableFunc(b.changes, func(x, y Change) int {
		return x.Effect.Pair.compare(y.Effect.Pair)
	})
}

func (b *builder) effects() (list []Effect) {
	for pair, e := range b.pairs {
		if e.isEffect {
			list = append(list, e.effect(pair))
		}
	}
	slices.SortFunc(list, func(x, y Effect) int {
		return x.Pair.compare(y.Pair)
	})
	return list
}
