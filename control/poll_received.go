package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/worker"
)

// Timing of workers' heartbeats.
const (
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval = 1500 * time.Millisecond
	// startWindow is how long after a heartbeat a worker may start tasks. It
	// covers one heartbeat interval and one poll interval of a gateway. It is
	// shorter than three seconds, so that no task starts later than that after
	// its data centre was taken out of service, even if the leader that
	// answered the heartbeat has failed since.
	startWindow = 2800 * time.Millisecond
)

func (c Core) stepPollReceived(now time.Time, e PollReceived) (Core, []Effect) {
	if !c.HasLease(now) {
		return c, []Effect{
			Reply{
				Token: e.Token,
				Answer: NotLeader{
					Redirect: c.LeaderAddress(),
				},
			},
		}
	}
	l := *c.leadership
	for _, h := range e.Poll.Minions {
		l.minions = l.minions.WithAnnouncement(now, h.Announcement, milliseconds(h.AgeMS))
	}
	reply := PollReply{
		Leader:      true,
		Addresses:   c.addresses(),
		Index:       c.state.Index(),
		Contracts:   c.state.ContractsSince(e.Poll.Index),
		DataCentres: c.state.DataCentresSince(e.Poll.Index),
		Minions:     l.missingMinions(now, e.Poll),
	}
	l.allocations, reply.Grant = l.allocations.WithRequest(now, e.Poll.RenewalRequest, c.capacity(&l))
	l.gateways = l.gateways.Set(e.Poll.RenewalRequest.Gateway, gateway{
		index:       e.Poll.Index,
		leaseExpiry: now.Add(lease.ViewDuration + lease.DriftMargin),
	})
	c.leadership = &l
	c, out := c.stepHeartbeats(now, e.Poll.Heartbeats, &reply)
	c = c.stepCompactHeartbeats(now, e.Poll.CompactHeartbeats, &reply)
	for _, t := range e.Poll.LegacyHeartbeats {
		reply.ResendWorkers = append(reply.ResendWorkers, t.Worker)
	}
	return c, append(out, Reply{
		Token: e.Token,
		Answer: PollResult{
			Reply: reply,
		},
	})
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func (c Core) addresses() []string {
	var list []string
	for _, m := range c.replica.Members().Members {
		list = append(list, m.Address)
	}
	return list
}

// capacity returns the total of each resource that is divided among gateways.
func (c Core) capacity(l *leadership) map[lease.Resource]int {
	m := map[lease.Resource]int{}
	for _, minion := range l.minions.All() {
		a := minion.Announcement
		if !a.Leaving {
			m[lease.MinionSlots(a.Name)] = min(a.Slots, a.Connections)
		}
	}
	for _, t := range c.state.Contracts() {
		m[lease.OrganisationRequests(t.Organisation)] = t.CeilingSlots
	}
	return m
}

// missingMinions returns the unexpired announcements that the gateway's poll
// does not contain.
func (l *leadership) missingMinions(now time.Time, p Poll) []RelayedAnnouncement {
	reported := make(map[string]uint64, len(p.Minions))
	for _, h := range p.Minions {
		reported[h.Announcement.Name] = h.Announcement.Sequence
	}
	var list []RelayedAnnouncement
	for _, m := range l.minions.All() {
		sequence, ok := reported[m.Announcement.Name]
		if m.IsAlive(now) && (!ok || sequence != m.Announcement.Sequence) {
			list = append(list, RelayedAnnouncement{
				Announcement: m.Announcement,
				AgeMS:        now.Sub(m.ReceivedAt).Milliseconds(),
			})
		}
	}
	return list
}

// stepHeartbeats records workers' heartbeats and adds the answers to the reply.
func (c Core) stepHeartbeats(now time.Time, heartbeats []worker.Heartbeat, reply *PollReply) (Core, []Effect) {
	if len(heartbeats) == 0 {
		return c, nil
	}
	var out []Effect
	reply.Heartbeats = make(map[string]worker.HeartbeatReply, len(heartbeats))
	for _, hb := range heartbeats {
		var more []Effect
		c, more = c.registerIfChanged(now, hb.Worker)
		out = append(out, more...)
		c.leadership = c.leadership.withHeartbeat(now, hb)
		reply.Heartbeats[hb.Worker.Name] = c.heartbeatReply(hb)
	}
	return c, out
}

// stepCompactHeartbeats renews the contact of workers whose reports have not
// changed. It requests the full heartbeat if the digest is unknown, the worker
// is not registered, its data centre is out of service, or the worker holds an
// obsolete task.
func (c Core) stepCompactHeartbeats(now time.Time, heartbeats []worker.CompactHeartbeat, reply *PollReply) Core {
	if len(heartbeats) == 0 {
		return c
	}
	l := *c.leadership
	for _, hb := range heartbeats {
		v, ok := l.workerByDigest(hb.Digest)
		w, registered := c.state.Worker(v.name)
		if !ok || !registered || c.state.IsOutOfService(w.DataCentre) || c.hasObsoleteTask(v) {
			reply.ResendDigests = append(reply.ResendDigests, hb.Digest)
			continue
		}
		v.lastContact = now
		v.sequence = max(v.sequence, hb.Sequence)
		l.workers = l.workers.Set(v.name, v)
	}
	c.leadership = &l
	return c
}

func (c Core) hasObsoleteTask(v workerView) bool {
	for _, t := range v.tasks {
		if c.isObsolete(v.name, t) {
			return true
		}
	}
	return false
}

// DefaultHeartbeatReply returns the answer to a heartbeat of a worker that is in
// service and holds no obsolete task.
func DefaultHeartbeatReply() worker.HeartbeatReply {
	return worker.HeartbeatReply{
		LeaseMS:    worker.LeaseDuration.Milliseconds(),
		StartForMS: startWindow.Milliseconds(),
		IntervalMS: HeartbeatInterval.Milliseconds(),
	}
}

func (c Core) registerIfChanged(now time.Time, w worker.Worker) (Core, []Effect) {
	known, ok := c.state.Worker(w.Name)
	if ok && known == known.WithRegistration(w) {
		return c, nil
	}
	return c.propose(now, plantainladder.RegisterWorker{
		Worker: w,
	})
}

func (c Core) heartbeatReply(hb worker.Heartbeat) worker.HeartbeatReply {
	r := DefaultHeartbeatReply()
	if c.state.IsOutOfService(hb.Worker.DataCentre) {
		r.StartForMS = 0
	}
	for _, t := range hb.Tasks {
		if c.isObsolete(hb.Worker.Name, t) {
			r.Forget = append(r.Forget, t.Ref())
		}
	}
	return r
}

// isObsolete reports whether the leader needs no further report of a task from a
// worker, so that the worker may discard it.
func (c Core) isObsolete(name string, t worker.TaskReport) bool {
	j, ok := c.state.Job(t.Job)
	if !ok || j.HasEnded() || j.Attempt > t.Attempt {
		return true
	}
	if j.Attempt != t.Attempt || t.Task >= len(j.TaskPlacements) {
		return !j.HoldsCapacity()
	}
	return j.TaskPlacements[t.Task].Ended || j.TaskPlacements[t.Task].Worker != name
}
