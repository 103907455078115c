package plantainladder

import (
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/datacentre"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/shape"
	"github.com/plantainladder/plantainladder/worker"
)

// Apply returns the state after the command at the given log index, and the
// outcome of the command. The result depends on nothing but the state and the
// arguments, so that all replicas agree. The time of the state never decreases,
// even if the envelope has an earlier one.
func (s State) Apply(index uint64, e Envelope) (State, Outcome) {
	now := e.At
	if now.Before(s.now) {
		now = s.now
	}
	s.index, s.now = index, now
	s = s.withoutExpired(now)
	if first, ok := s.outcomes.get(e.ID); ok && e.ID != "" {
		return s, first.outcome
	}
	if e.ID != "" && s.outcomes.len() >= MaxOutcomes {
		return s, refuse(RefusedTableFull, "command-id", "too many commands are remembered; try later")
	}
	next, o := s.applyCommand(now, e.Command)
	if !o.IsAccepted() {
		// A refused command changes nothing but the retained outcomes.
		next = s
	}
	o.Index = index
	return next.withOutcome(now, e.ID, o), o
}

// withOutcome returns s with the outcome of a command retained, if the command has
// an identifier.
func (s State) withOutcome(now time.Time, id string, o Outcome) State {
	if id == "" {
		return s
	}
	s.outcomes = s.outcomes.with(id, retainedOutcome{
		at:      now,
		outcome: o,
	})
	return s.withExpiry(Expiry{
		Kind: expireOutcome,
		Key:  id,
		At:   now.Add(OutcomeRetention),
	})
}

func (s State) applyCommand(now time.Time, c Command) (State, Outcome) {
	switch c := c.(type) {
	case PutContract:
		return s.applyPutContract(c)
	case DropContract:
		return s.applyDropContract(c)
	case SetDataCentre:
		return s.applySetDataCentre(c)
	case RegisterWorker:
		return s.applyRegisterWorker(c)
	case RemoveWorker:
		return s.applyRemoveWorker(c)
	case MakeClaim:
		return s.applyMakeClaim(now, c)
	case SettleClaim:
		return s.applySettleClaim(now, c)
	case ResolveClaim:
		return s.applyResolveClaim(now, c)
	case SubmitJob:
		return s.applySubmitJob(now, c)
	case CancelJob:
		return s.applyCancelJob(now, c)
	case ReleaseJob:
		return s.applyReleaseJob(now, c)
	case PlaceJob:
		return s.applyPlaceJob(now, c)
	case StartJob:
		return s.applyStartJob(now, c)
	case StopJob:
		return s.applyStopJob(now, c)
	case EndPart:
		return s.applyEndPart(now, c)
	case ParkJob:
		return s.applyParkJob(now, c)
	case PutConfiguration:
		return s.applyPutConfiguration(c)
	case Confirm:
		return s, Outcome{}
	case SubmitWorkflow:
		return s.applySubmitWorkflow(now, c)
	case CancelWorkflow:
		return s.applyCancelWorkflow(now, c)
	case Announce:
		return s.applyAnnounce(c)
	case Round:
		return s.applyRound(now, c)
	}
	return s, refuse(RefusedBadField, "command", "unknown command")
}

func refuseField(err *shape.FieldError) Outcome {
	return refuse(RefusedBadField, err.Field, err.Problem)
}

func refuseRevision(current uint64) Outcome {
	o := refuse(RefusedWrongRevision, "revision", "the record was edited since; read it again")
	o.Revision = current
	return o
}

func (s State) applyPutContract(c PutContract) (State, Outcome) {
	if err := c.Contract.Check(); err != nil {
		return s, refuseField(err)
	}
	current, ok := s.contracts.get(c.Contract.Organisation)
	if c.Contract.Revision != current.Value.Revision {
		return s, refuseRevision(current.Value.Revision)
	}
	if !ok && s.contracts.len() >= MaxContracts {
		return s, refuse(RefusedTableFull, "organisation", "too many contracts")
	}
	next := c.Contract.WithRevision(current.Value.Revision + 1)
	s = s.withContract(next, false)
	if len(next.Guarantee) > 0 && !schedule.CanSatisfy(s.idleFleet(), s.Contracts()) {
		return s, refuse(RefusedInfeasible, "guarantee",
			"the registered workers have no room for this guarantee beside the others")
	}
	return s, Outcome{
		Revision: next.Revision,
	}
}

func (s State) withContract(c contract.Contract, dropped bool) State {
	s.contracts = s.contracts.with(c.Organisation, Versioned[contract.Contract]{
		Value:   c,
		Index:   s.index,
		Dropped: dropped,
	})
	return s
}

// idleFleet returns all registered workers with their whole capacity free.
func (s State) idleFleet() schedule.Fleet {
	return schedule.NewFleet(NodesFromWorkers(s.Workers()))
}

// NodesFromWorkers returns the scheduler's nodes for the given workers, with their
// whole capacity free.
func NodesFromWorkers(workers []worker.Worker) []schedule.Node {
	nodes := make([]schedule.Node, len(workers))
	for i, w := range workers {
		nodes[i] = schedule.Node{
			Worker:      w.Name,
			Incarnation: w.Incarnation,
			DataCentre:  w.DataCentre,
			Rack:        w.Rack,
			Capacity:    w.Capacity,
			Free:        w.Capacity,
		}
	}
	return nodes
}

func (s State) applyDropContract(c DropContract) (State, Outcome) {
	current, ok := s.contracts.get(c.Organisation)
	if !ok || current.Dropped {
		return s, refuse(RefusedNotFound, "organisation", "there is no such contract")
	}
	if c.Revision != current.Value.Revision {
		return s, refuseRevision(current.Value.Revision)
	}
	if n, _ := s.activeJobCounts.get(c.Organisation); n > 0 {
		return s, refuse(RefusedWrongState, "organisation", "the organisation still has jobs")
	}
	// The revision keeps growing, so that an edit of the dropped contract can never
	// be accepted for a later one.
	next := contract.Contract{
		Organisation: c.Organisation,
		Revision:     current.Value.Revision + 1,
	}
	return s.withContract(next, true), Outcome{
		Revision: next.Revision,
	}
}

func (s State) applySetDataCentre(c SetDataCentre) (State, Outcome) {
	if err := contract.CheckName("data-centre", c.Name); err != nil {
		return s, refuseField(err)
	}
	current, ok := s.dataCentres.get(c.Name)
	if c.Revision != current.Value.Revision && !c.Force {
		return s, refuseRevision(current.Value.Revision)
	}
	if c.Force && current.Value.OutOfService == c.OutOfService {
		return s, Outcome{
			Revision: current.Value.Revision,
		}
	}
	if !ok && s.dataCentres.len() >= MaxDataCentres {
		return s, refuse(RefusedTableFull, "data-centre", "too many data centres")
	}
	d := datacentre.DataCentre{
		Name:     c.Name,
		Revision: current.Value.Revision,
	}.WithOutOfService(c.OutOfService)
	s.dataCentres = s.dataCentres.with(c.Name, Versioned[datacentre.DataCentre]{
		Value: d,
		Index: s.index,
	})
	return s, Outcome{
		Revision: d.Revision,
	}
}

func (s State) applyRegisterWorker(c RegisterWorker) (State, Outcome) {
	current, ok := s.workers.get(c.Worker.Name)
	if !ok && s.workers.len() >= MaxWorkers {
		return s, refuse(RefusedTableFull, "worker", "too many workers")
	}
	s.workers = s.workers.with(c.Worker.Name, current.WithRegistration(c.Worker))
	return s, Outcome{}
}

func (s State) applyRemoveWorker(c RemoveWorker) (State, Outcome) {
	if _, ok := s.workers.get(c.Name); !ok {
		return s, refuse(RefusedNotFound, "worker", "there is no such worker")
	}
	for _, j := range s.ActiveJobs() {
		for _, p := range j.TaskPlacements {
			if p.Worker == c.Name && !p.Ended {
				return s, refuse(RefusedWrongState, "worker", "the worker still holds tasks")
			}
		}
	}
	s.workers = s.workers.without(c.Name)
	return s, Outcome{}
}
