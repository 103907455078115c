package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
)

// workerRetention is how long after its last contact a worker stays registered.
const workerRetention = 24 * time.Hour

// removeSilentWorkers removes workers without recent contact, so that the
// worker table does not fill up with machines that were replaced.
func (rc *reconciler) removeSilentWorkers() {
	for _, w := range rc.core.state.Workers() {
		if rc.now.Sub(rc.core.leadership.lastContactOf(w.Name)) > workerRetention {
			rc.propose(plantainladder.RemoveWorker{
				Name: w.Name,
			})
		}
	}
}

// dropRemovedWorkers drops the leader's records of workers that are no longer
// registered.
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
