package dispatch

// placeUrgent places a task group of the highest priority, by preemption if
// necessary. Of task groups with the same requirement only the first preempts
// at once; capacity that becomes free in the meantime serves the next. Groups
// that have waited for MaxStopDuration preempt independently of each other,
// because a guarantee has to be met in time.
func (p *placer) placeUrgent(f *fleet, g taskGroup) {
	isFirst := !p.blocked[g.requirement()]
	if !p.isBlocked(g) && p.tryPlaceUrgent(f, g) {
		return
	}
	p.blocked[g.requirement()] = true
	if g.isIsolated {
		p.wait(g, waitsForIsolation)
		return
	}
	p.wait(g, waitsForPreemption)
	hasWaited := p.s.now.Sub(g.wf.Submitted) >= p.s.dispatcher.cfg.MaxStopDuration
	if (isFirst || hasWaited) && !p.unpreemptable[g.requirement()] {
		p.unpreemptable[g.requirement()] = !p.preempt(f, g)
	}
}

// tryPlaceUrgent is tryPlace for a task group of the highest priority. A gang for which only
// workers are free that are too slow may get faster ones first; it reports true then too.
func (p *placer) tryPlaceUrgent(f *fleet, g taskGroup) bool {
	if !g.step.IsGang || g.neededSpeed <= 0 {
		return p.tryPlace(f, g)
	}
	list := p.freeGangAssignments(f, g)
	isFastEnough := list != nil && g.worstRank(list) < insufficientRank
	if !isFastEnough && p.preemptForSpeed(f, g) {
		p.blocked[g.requirement()] = p.blocked[g.requirement()] || list == nil
		return true
	}
	if list != nil {
		p.assign(g, list)
	}
	return list != nil
}
