package control_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/formation"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/wire"
)

const (
	simulatedStep = 20 * time.Millisecond
	// silenceBeforeJoin is the silence of a leader after which a member asks to join.
	silenceBeforeJoin = 2 * time.Second
)

// machine is a simulated controller with its disk. What it has written gets to the
// disk when it is synced, and is lost in a crash before.
type machine struct {
	address string
	id      string
	core    control.Core
	isUp    bool
	// isFull is true while nothing that the machine writes becomes durable.
	isFull bool
	// isFirstStart is false once the machine has lost its disk.
	isFirstStart bool
	wipes        int
	formation    formation.Stored
	log          consensus.StoredState
	unsynced     []func()
	joinAt       time.Time
}

// delivery is a message on its way.
type delivery struct {
	at       time.Time
	from, to string
	event    control.Event
}

// firstStart is a simulated system that starts for the first time.
type firstStart struct {
	now       time.Time
	random    *rand.Rand
	tolerated int
	catchUp   time.Duration
	founders  []string
	machines  []*machine
	// seeds returns the addresses that a machine's settings name; nil if those are the
	// founders' for good.
	seeds func(m *machine) []string
	// cut holds the addresses of the machines that are cut off from the others.
	cut       map[string]bool
	inFlight  []delivery
	groups    map[string]bool
	tokens    map[uint64]string
	nextToken uint64
	// acknowledged holds the data centres that were put out of service.
	acknowledged  map[string]bool
	violations    []string
	needsOperator bool
}

func newFirstStart(machines, tolerated int, catchUp time.Duration, seed uint64) *firstStart {
	s := &firstStart{
		now:          time.Unix(1_700_000_000, 0),
		random:       rand.New(rand.NewPCG(seed, uint64(machines))),
		tolerated:    tolerated,
		catchUp:      catchUp,
		cut:          map[string]bool{},
		groups:       map[string]bool{},
		tokens:       map[uint64]string{},
		acknowledged: map[string]bool{},
	}
	for i := range machines {
		m := &machine{
			address:      fmt.Sprintf("a%d", i+1),
			isFirstStart: true,
		}
		m.id = "id-" + m.address
		s.machines = append(s.machines, m)
		if i < 3 {
			s.founders = append(s.founders, m.address)
		}
	}
	for i, m := range s.machines {
		m.formation = formation.Stored{
			Founders: s.founders,
			Founder:  formation.NoFounder,
		}
		if i < len(s.founders) {
			m.formation.Founder = i
		}
		s.boot(m)
	}
	return s
}

// boot starts a machine with what its disk holds.
// maxUncommittedBytes is reached by some hundred commands.
const maxUncommittedBytes = 1 << 15

func (s *firstStart) boot(m *machine) {
	m.isUp = true
	stored := m.log
	stored.Entries = slices.Clone(m.log.Entries)
	m.core = control.NewCore(control.Config{
		Codec: control.Codec{
			Encode: wire.MarshalEnvelope,
			Decode: wire.UnmarshalEnvelope,
		},
		SnapshotEvery:   1_000_000,
		Policy:          schedule.Guaranteed{},
		Voters:          2*s.tolerated + 1,
		CatchUpDuration: s.catchUp,
	}, consensus.NewReplica(s.now, consensus.Config{
		ID:              m.id,
		ElectionTimeout: 500 * time.Millisecond,
		Heartbeat:       100 * time.Millisecond,
		MaxBatchEntries: 512,
		MaxBatchBytes:   1 << 20,
		MaxUncommitted:  8192,
		MaxApplyEntries: 64,
		MaxApplyBytes:   1 << 16,

		MaxUncommittedBytes: maxUncommittedBytes,
	}, stored), plantainladder.NewState()).WithFormation(formation.New(s.now, formation.Config{
		Self:   m.self(),
		Voters: 2*s.tolerated + 1,
		Group:  fmt.Sprintf("group-%s-%d", m.id, s.now.UnixNano()),
	}, m.formation))
}

func (m *machine) self() member.Member {
	return member.Member{
		ID:      m.id,
		Address: m.address,
	}
}

func (s *firstStart) crash(m *machine) {
	m.isUp = false
	m.unsynced = nil
}

// wipe takes a machine down and empties its disk.
func (s *firstStart) wipe(m *machine) {
	s.crash(m)
	m.wipes++
	m.id = fmt.Sprintf("id-%s-%d", m.address, m.wipes)
	m.isFirstStart = false
	m.log, m.formation = consensus.StoredState{}, formation.Stored{}
}

func (s *firstStart) machineAt(address string) *machine {
	i := slices.IndexFunc(s.machines, func(m *machine) bool { return m.address == address })
	return s.machines[i]
}

// canReach reports whether messages get from one address to another. The machines that
// are cut off reach each other.
func (s *firstStart) canReach(from, to string) bool {
	return s.cut[from] == s.cut[to]
}

func (s *firstStart) step(m *machine, e control.Event) {
	if !m.isUp {
		return
	}
	var out []control.Effect
	m.core, out = m.core.Step(s.now, e)
	for _, f := range out {
		s.perform(m, f)
	}
}

func (s *firstStart) perform(m *machine, f control.Effect) {
	switch f := f.(type) {
	case control.WriteLog:
		m.unsynced = append(m.unsynced, func() { s.writeLog(m, f.Persist) })
	case control.SendMessage:
		send := func() {
			s.send(m.address, f.Address, control.PeerMessageReceived{
				Message:       f.Message,
				SenderAddress: f.SenderAddress,
			})
		}
		if f.AfterSync {
			m.unsynced = append(m.unsynced, send)
			return
		}
		send()
	case control.ContinueApplying:
		s.step(m, control.ApplyDue{})
	case control.SaveFormation:
		m.unsynced = append(m.unsynced, func() {
			m.formation = f.Save.Stored
			for _, send := range f.Save.Then {
				s.sendFormation(m, send)
			}
		})
	case control.SendFormation:
		s.sendFormation(m, f.Send)
	case control.LogFormation:
		s.needsOperator = s.needsOperator || f.Record.NeedsOperator
	case control.Reply:
		s.recordReply(m, f)
	}
}

func (s *firstStart) sendFormation(m *machine, f formation.Send) {
	s.send(m.address, f.Address, control.FormationReceived{
		Message: f.Message,
	})
}

func (s *firstStart) writeLog(m *machine, p consensus.Persist) {
	m.log.Hard = p.Hard
	s.step(m, control.HardStateSynced{
		Hard: p.Hard,
	})
	if len(p.Entries) == 0 {
		return
	}
	for len(m.log.Entries) > 0 && m.log.Entries[len(m.log.Entries)-1].Index >= p.Entries[0].Index {
		m.log.Entries = m.log.Entries[:len(m.log.Entries)-1]
	}
	m.log.Entries = append(m.log.Entries, p.Entries...)
	for _, e := range p.Entries {
		if members, ok := e.Payload.(consensus.Members); ok {
			s.groups[members.Set.Group] = true
		}
	}
	last := p.Entries[len(p.Entries)-1]
	s.step(m, control.EntriesSynced{
		Index: last.Index,
		Term:  last.Term,
	})
}

func (s *firstStart) recordReply(m *machine, r control.Reply) {
	name := s.tokens[r.Token]
	if c, ok := r.Answer.(control.Committed); !ok || !c.Outcome.IsAccepted() {
		return
	}
	s.acknowledged[name] = true
	if voters := m.core.Replica().Members().Voters(); voters <= s.tolerated {
		s.violations = append(s.violations, fmt.Sprintf("%s acknowledged %s with %d voters", m.address, name, voters))
	}
}

// send queues a message, which takes some time and is lost now and then, or if its
// sender does not know the address.
func (s *firstStart) send(from, to string, e control.Event) {
	if to == "" || s.random.IntN(50) == 0 {
		return
	}
	s.inFlight = append(s.inFlight, delivery{
		at:    s.now.Add(time.Duration(s.random.IntN(30)) * time.Millisecond),
		from:  from,
		to:    to,
		event: e,
	})
}

// advance lets one step of time pass.
func (s *firstStart) advance() {
	s.now = s.now.Add(simulatedStep)
	for _, m := range s.machines {
		s.step(m, control.Tick{
			Jitter: time.Duration(s.random.IntN(500)) * time.Millisecond,
		})
		s.requestJoin(m)
		if m.isUp && !m.isFull && s.random.IntN(4) > 0 {
			s.sync(m)
		}
	}
	due := s.inFlight
	s.inFlight = nil
	for _, d := range due {
		switch m := s.machineAt(d.to); {
		case d.at.After(s.now):
			s.inFlight = append(s.inFlight, d)
		case s.canReach(d.from, d.to):
			s.step(m, d.event)
		}
	}
}

func (s *firstStart) sync(m *machine) {
	queued := m.unsynced
	m.unsynced = nil
	for _, write := range queued {
		write()
	}
}

// requestJoin does what a Joiner does: it asks the seeds and the controllers that the core
// knows, and the leaders that they name.
func (s *firstStart) requestJoin(m *machine) {
	if !m.isUp || s.now.Before(m.joinAt) || m.core.Replica().IsMember(s.now, silenceBeforeJoin) {
		return
	}
	m.joinAt = s.now.Add(250*time.Millisecond + time.Duration(s.random.IntN(250))*time.Millisecond)
	for _, address := range s.knownAddresses(m) {
		s.requestJoinAt(m, address)
	}
}

// knownAddresses returns the addresses that a machine asks to join.
func (s *firstStart) knownAddresses(m *machine) (list []string) {
	seeds := s.founders
	if s.seeds != nil {
		seeds = s.seeds(m)
	}
	list = slices.Concat(seeds, m.core.PeerAddresses())
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(address string) bool {
		return address == m.address
	})
}

// requestJoinAt asks one controller, and the leader that it names.
func (s *firstStart) requestJoinAt(m *machine, address string) {
	for range 2 {
		if address == "" || !s.canReach(m.address, address) || !s.machineAt(address).isUp {
			return
		}
		asked := s.machineAt(address)
		if asked.core.HasLease(s.now) {
			s.step(asked, control.Join{
				Member: m.self(),
			})
			return
		}
		address = asked.core.LeaderAddress()
	}
}

// submit sends a command of its own to each machine.
func (s *firstStart) submit() {
	for _, m := range s.machines {
		s.nextToken++
		s.tokens[s.nextToken] = fmt.Sprintf("centre-%d", s.nextToken)
		s.step(m, control.Submit{
			Token: s.nextToken,
			Command: plantainladder.SetDataCentre{
				Name:         s.tokens[s.nextToken],
				OutOfService: true,
				Force:        true,
			},
		})
	}
}

// completeLeader returns the machine that leads a group with all of its voters.
func (s *firstStart) completeLeader() (m *machine, ok bool) {
	for _, m := range s.machines {
		if m.isUp && m.core.HasLease(s.now) && m.core.Replica().Members().Voters() >= 2*s.tolerated+1 {
			return m, true
		}
	}
	return nil, false
}

// lostFounders returns the number of founders that have lost their disks.
func (s *firstStart) lostFounders() (n int) {
	for _, m := range s.machines[:len(s.founders)] {
		if !m.isFirstStart {
			n++
		}
	}
	return n
}
