package gateway

import (
	"context"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/claim"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

func (g *Server) registerQueries(s *rpc.Server) {
	handleQuery(s, g, wire.MethodJobs, jobs)
	handleQuery(s, g, wire.MethodWorkers, workers)
	handleQuery(s, g, wire.MethodMinions, minions)
	handleQuery(s, g, wire.MethodStatus, status)
	handleQuery(s, g, wire.MethodInForce, inForce)
	handleQuery(s, g, wire.MethodClaims, claims)
	// Every process asks for the members all the time, to know where to look for the
	// leader. An older list does no harm, so the lease suffices.
	handleUnconfirmed(s, g, wire.MethodMembers, members)
}

// handleQuery registers a query that the leader answers from its published state once a
// majority has confirmed that it leads. Other controllers redirect to the leader.
func handleQuery[Q, A any](s *rpc.Server, g *Server, method string, query func(c control.Core, now time.Time, q Q) A) {
	rpc.Handle(s, method, func(ctx context.Context, q Q) (wire.LeaderReply[A], error) {
		core, redirect, ok := g.confirmedCore(ctx)
		return queryReply(g, core, redirect, ok, query, q), nil
	})
}

// handleUnconfirmed registers a query that the leader answers from its published state
// while it holds a lease.
func handleUnconfirmed[Q, A any](s *rpc.Server, g *Server, method string, query func(c control.Core, now time.Time, q Q) A) {
	rpc.Handle(s, method, func(_ context.Context, q Q) (wire.LeaderReply[A], error) {
		core, redirect, ok := g.leaderCore()
		return queryReply(g, core, redirect, ok, query, q), nil
	})
}

func queryReply[Q, A any](g *Server, core control.Core, redirect string, isLeader bool, query func(c control.Core, now time.Time, q Q) A, q Q) wire.LeaderReply[A] {
	if !isLeader {
		return wire.LeaderReply[A]{
			Redirect: redirect,
		}
	}
	return wire.LeaderReply[A]{
		Leader: true,
		Body:   query(core, g.cfg.Clock(), q),
	}
}

func jobs(c control.Core, _ time.Time, q api.JobsQuery) (out api.Jobs) {
	if q.ID != "" {
		if j, ok := c.State().Job(q.ID); ok && matchesOrganisation(j, q) {
			out.Jobs = append(out.Jobs, api.NewJob(j, c.WaitReason(q.ID)))
		}
		return out
	}
	for _, j := range c.State().Jobs() {
		if matchesOrganisation(j, q) {
			summary := api.NewJob(j, c.WaitReason(j.Spec.ID))
			summary.History = nil
			out.Jobs = append(out.Jobs, summary)
		}
	}
	return out
}

// matchesOrganisation reports whether a job belongs to the organisation of the
// query. A query without an organisation matches every job.
func matchesOrganisation(j job.Job, q api.JobsQuery) bool {
	return q.Organisation == "" || q.Organisation == j.Spec.Organisation
}

func workers(c control.Core, now time.Time, _ wire.Empty) (out api.Workers) {
	used := c.Used()
	for _, w := range c.State().Workers() {
		out.Workers = append(out.Workers, api.Worker{
			Worker: w,
			Alive:  c.IsWorkerReachable(now, w.Name),
			Used:   used[w.Name],
		})
	}
	return out
}

func minions(c control.Core, now time.Time, _ wire.Empty) (out api.Minions) {
	for _, m := range c.Minions(now) {
		a := m.Announcement
		out.Minions = append(out.Minions, api.Minion{
			Name:        a.Name,
			Address:     a.Address,
			DataCentre:  a.DataCentre,
			Slots:       a.Slots,
			Connections: a.Connections,
			Leaving:     a.Leaving,
			AgeMS:       now.Sub(m.ReceivedAt).Milliseconds(),
		})
	}
	return out
}

// memberAliveTimeout is how long after its last contact a member is reported as
// alive.
const memberAliveTimeout = 2 * time.Second

func members(c control.Core, now time.Time, _ wire.Empty) api.Members {
	r := c.Replica()
	membership := r.Members()
	out := api.Members{
		Group:  membership.Group,
		Term:   r.Hard().Term,
		Commit: r.CommitIndex(),
	}
	alive := 0
	for _, m := range membership.Members {
		p, _ := r.Progress(m.ID)
		isLeader := m.ID == r.Leader()
		isAlive := isLeader || now.Sub(p.LastContact) < memberAliveTimeout
		if isAlive && m.Voter {
			alive++
		}
		out.Members = append(out.Members, api.Member{
			ID:       m.ID,
			Address:  m.Address,
			Voter:    m.Voter,
			Leader:   isLeader,
			Match:    p.Match,
			Replaces: m.Replaces,
			Alive:    isAlive,
		})
	}
	out.ToleratedFailures = max(0, alive-membership.Quorum())
	return out
}

func status(c control.Core, now time.Time, _ wire.Empty) api.Status {
	counts := c.State().Counts()
	out := api.Status{
		Leader:        c.LeaderAddress(),
		Index:         c.State().Index(),
		Fragmentation: c.Fragmentation(now),
		Contracts:     len(c.State().Contracts()),
		Workers:       counts.Workers,
		Minions:       len(c.Minions(now)),
		ActiveJobs:    counts.Active,
		UnknownClaims: len(c.State().Claims(now, claim.Unknown)),
	}
	for _, g := range c.Gateways(now) {
		out.Gateways = append(out.Gateways, api.Gateway{
			Name:    g.Name,
			Index:   g.Index,
			LeaseMS: g.LeaseExpiry.Sub(now).Milliseconds(),
		})
	}
	return out
}

func inForce(c control.Core, now time.Time, q api.InForce) api.InForce {
	q.Behind = c.GatewaysBehind(now, q.Index)
	q.InForce = len(q.Behind) == 0 && c.State().Index() >= q.Index
	return q
}

func claims(c control.Core, now time.Time, _ wire.Empty) (out api.Claims) {
	for _, cl := range c.State().Claims(now, claim.Unknown) {
		out.Claims = append(out.Claims, api.Claim{
			Organisation: cl.Key.Organisation,
			ID:           cl.Key.ID,
			State:        string(cl.State),
			Holder:       cl.Holder,
			Deadline:     cl.Deadline,
		})
	}
	return out
}
