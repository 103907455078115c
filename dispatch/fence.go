package dispatch

// fenceOf returns the fence of orders to a worker. An incarnation that is not
// committed yet gets that of the one before, so that each leader of a later term has a
// higher fence.
func (s *reconciliation) fenceOf(v workerView) uint64 {
	return s.dispatcher.term + s.index.workers[v.worker.ID].Generation
}

// isFenced reports whether the worker's incarnation has answered an order with the
// present fence, so that it takes no order for an earlier one any more.
func (s *reconciliation) isFenced(v workerView) bool {
	return v.answeredFence >= s.fenceOf(v)
}

// hasFencedListing reports whether the worker has answered a Renew with the present fence. No
// order of an earlier leader or for an earlier incarnation can have started a run since.
func (s *reconciliation) hasFencedListing(v workerView) bool {
	return !v.listingSentAt.IsZero() && v.listingFence >= s.fenceOf(v)
}

// needsFence reports whether a worker must answer an order although it may be idle: starts for
// an earlier incarnation may reach the present one, which does not reject them before.
func (s *reconciliation) needsFence(v workerView) bool {
	maxDelay := s.dispatcher.cfg.MaxOrderDelay
	if s.now.Sub(s.dispatcher.termStartedAt) >= maxDelay && !v.isAnyStartOpen(s.now, maxDelay) {
		return false
	}
	w, isCommitted := s.index.workers[v.worker.ID]
	isCurrent := isCommitted && w.Incarnation == v.worker.Incarnation && !v.hasEnded
	return isCurrent && !s.isFenced(v) && s.hasRecentContact(v)
}

// maxIdleFences bounds the orders on their way to idle workers that need a fence. A new
// leader sends one to each worker.
const maxIdleFences = 32

// idleToFence returns the idle workers that get an order now because they need a fence.
func (s *reconciliation) idleToFence() (ids []string) {
	onTheirWay := 0
	for itr := s.dispatcher.views.Iterator(); !itr.Done(); {
		id, v, _ := itr.Next()
		switch {
		case !v.isIdle() || len(s.index.placedByWorker[id]) > 0 || !s.needsFence(*v):
		case v.renewsInFlight > 0:
			onTheirWay++
		default:
			ids = append(ids, id)
		}
	}
	return ids[:max(min(len(ids), maxIdleFences-onTheirWay), 0)]
}
