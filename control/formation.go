package control

import (
	"time"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/formation"
)

// FormationReceived delivers a message on the first group.
type FormationReceived struct {
	// Message is the message.
	Message formation.Message
}

func (FormationReceived) event() {}

// SaveFormation stores the state of the agreement on the first group durably and then
// sends messages.
type SaveFormation struct {
	// Save holds the state and the messages.
	Save formation.Save
}

// SendFormation sends a message on the first group.
type SendFormation struct {
	// Send is the message with its address.
	Send formation.Send
}

// LogFormation logs a decision on the first group.
type LogFormation struct {
	// Record is the decision.
	Record formation.Record
}

func (SaveFormation) effect() {}
func (SendFormation) effect() {}
func (LogFormation) effect()  {}

func (c Core) tickFormation(now time.Time, jitter time.Duration) (Core, []Effect) {
	e := formation.Tick{
		Jitter:   jitter,
		HasGroup: c.replica.Members().Group != "",
	}
	if set, ok := c.replica.FirstGroup(); ok {
		e.Undelivered = set
	}
	return c.stepFormation(now, e)
}

func (c Core) stepFormation(now time.Time, e formation.Event) (Core, []Effect) {
	next, effects := c.formation.Step(now, e)
	c.formation = next
	var out []Effect
	for _, f := range effects {
		switch f := f.(type) {
		case formation.Save:
			out = append(out, SaveFormation{
				Save: f,
			})
		case formation.Send:
			out = append(out, SendFormation{
				Send: f,
			})
		case formation.Log:
			out = append(out, LogFormation(f))
		case formation.Install:
			var more []Effect
			c, more = c.stepReplica(now, consensus.InstallGroup{
				Set:       f.Group,
				Campaigns: f.Campaigns,
			})
			out = append(out, more...)
		}
	}
	return c, out
}
