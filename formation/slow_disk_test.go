package formation_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/formation"
)

const (
	// stepInterval is the time that a message is on its way, and tickInterval the time
	// between two ticks of a controller.
	stepInterval = 5 * time.Millisecond
	tickInterval = 50 * time.Millisecond
	// syncsPerSave is how many syncs a save takes: of the file and of its folder.
	syncsPerSave = 2
)

// A slowStart is the first start of five controllers whose disks are slow. A disk saves
// what it is given one after the other; a save of what it holds already takes no time.
type slowStart struct {
	now         time.Time
	rng         *rand.Rand
	syncTime    time.Duration
	controllers []*slowController
	groups      map[string]bool
	inFlight    []formation.Send
}

type slowController struct {
	*controller
	saves     []formation.Save
	stored    formation.Stored
	busyUntil time.Time
	hasGroup  bool
}

var slowAddresses = []string{"a", "b", "c", "d", "e"}

func newSlowStart(seed uint64, syncTime time.Duration) *slowStart {
	s := &slowStart{
		now:      time.Unix(1_700_000_000, 0),
		rng:      rand.New(rand.NewPCG(seed, 0)),
		syncTime: syncTime,
		groups:   map[string]bool{},
	}
	for i, address := range slowAddresses {
		stored := storedAt(i)
		if i >= len(stored.Founders) {
			stored.Founder = formation.NoFounder
		}
		s.controllers = append(s.controllers, &slowController{
			controller: newController(address, stored),
			stored:     stored,
		})
	}
	return s
}

// run lets time pass until a controller has the group, and returns false if none has it in
// time.
func (s *slowStart) run(limit time.Duration) (ok bool) {
	start := s.now
	for n := 0; s.now.Sub(start) < limit; n++ {
		s.now = s.now.Add(stepInterval)
		inFlight := s.inFlight
		s.inFlight = nil
		for _, m := range inFlight {
			for i, address := range slowAddresses {
				if address == m.Address {
					s.step(s.controllers[i], formation.MessageReceived{
						Message: m.Message,
					})
				}
			}
		}
		for _, c := range s.controllers {
			if n%int(tickInterval/stepInterval) == 0 {
				s.step(c, formation.Tick{
					Jitter:   time.Duration(s.rng.Int64N(int64(500 * time.Millisecond))),
					HasGroup: c.hasGroup,
				})
			}
			s.stepDisk(c)
		}
		if len(s.groups) > 0 {
			return true
		}
	}
	return false
}

func (s *slowStart) step(c *slowController, e formation.Event) {
	c.now = s.now
	for _, f := range c.step(e) {
		switch f := f.(type) {
		case formation.Save:
			c.saves = append(c.saves, f)
			if len(c.saves) == 1 {
				c.busyUntil = s.now.Add(s.saveTime(c))
			}
		case formation.Send:
			s.inFlight = append(s.inFlight, f)
		case formation.Install:
			s.groups[f.Group.Group] = true
			c.hasGroup = true
		case formation.Log:
		}
	}
}

// saveTime returns how long the next save of a controller takes.
func (s *slowStart) saveTime(c *slowController) time.Duration {
	if fmt.Sprint(c.saves[0].Stored) == fmt.Sprint(c.stored) {
		return 0
	}
	return syncsPerSave * s.syncTime
}

func (s *slowStart) stepDisk(c *slowController) {
	for len(c.saves) > 0 && !s.now.Before(c.busyUntil) {
		c.stored = c.saves[0].Stored
		s.inFlight = append(s.inFlight, c.saves[0].Then...)
		if c.saves = c.saves[1:]; len(c.saves) > 0 {
			c.busyUntil = s.now.Add(s.saveTime(c))
		}
	}
}

// firstGroupBound is how long the first group may take: the time that the soak test waits
// for the first configuration.
const firstGroupBound = 20 * time.Second

var _ = Describe("Founders whose disks are slow", func() {
	It("agree on the first group although an attempt takes longer than they wait for one", func() {
		var failed []string
		for _, syncTime := range []time.Duration{
			6 * time.Millisecond,
			60 * time.Millisecond,
			150 * time.Millisecond,
			300 * time.Millisecond,
			500 * time.Millisecond,
			800 * time.Millisecond,
		} {
			for seed := range uint64(8) {
				s := newSlowStart(seed, syncTime)
				if !s.run(firstGroupBound) {
					failed = append(failed, fmt.Sprintf("syncs of %v, seed %d", syncTime, seed))
				}
				Expect(len(s.groups)).To(BeNumerically("<=", 1))
			}
		}
		Expect(failed).To(BeEmpty())
	})
})
