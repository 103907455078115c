package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
)

// forgetAfter is how long after its last beat a worker is forgotten.
const workerRetention = 24 * time.Hour

// forgetSilent removes the workers that were not heard for long, so that the
// table does not fill up with machines that were replaced.
func (rc *reconciler) removeSilentWorkers() {
	for _, w := range rc.core.state.Workers() {
		if rc.now.Sub(rc.core.leadership.lastContactOf(w.Name)) > workerRetention {
			rc.propose(plantainladder.RemoveWorker{
				Name: w.Name,
			})
		}
	}
}

// forgetRemoved drops what was heard of workers that are no longer registered.
func (rc *reconciler) dropRemovedWorkers() {
	l := *rc.core.leadership
	for itr := l.workers.Iterator(); !itr.Done(); {
		name, v, _ := itr.Next()
		_, known := rc.core.state.Worker(name)
		if !known && !v.isReachable(rc.now) {
			l.workers = l.workers.Delete(name)
			l.digests = l.digests.Delete(v.digest)
		}
	}
	rc.core.leadership = &l
}
