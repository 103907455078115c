package formation

import (
	"time"

	"github.com/plantainladder/plantainladder/member"
)

// An Event is an input to a Formation: Tick or MessageReceived.
type Event interface {
	event()
}

// Tick tells that time has passed.
type Tick struct {
	// Jitter is a random duration that is added to the time before the next attempt.
	Jitter time.Duration
	// HasGroup is true if this controller belongs to a group.
	HasGroup bool
	// Undelivered is the first group while this controller does not know whether its
	// other voters know it; without a name otherwise.
	Undelivered member.Set
}

// MessageReceived reports a message from another controller or from this one.
type MessageReceived struct {
	// Message is the message.
	Message Message
}

func (Tick) event()            {}
func (MessageReceived) event() {}

// An Effect is an action for the caller of Step to perform: Save, Send, Install or Log.
type Effect interface {
	effect()
}

// Save stores the state durably.
type Save struct {
	// Stored is the state to store.
	Stored Stored
	// Then holds the messages to send once it is stored, and not if that fails.
	Then []Send
}

// Send sends a message to a controller.
type Send struct {
	// Address is the address of the receiver.
	Address string
	// ToSelf is true if this controller is the receiver.
	ToSelf bool
	// Message is the message.
	Message Message
}

// Install makes this controller a voter of the first group.
type Install struct {
	// Group is the first group.
	Group member.Set
	// Campaigns is true on the controller that starts the first election.
	Campaigns bool
}

// Log logs a decision.
type Log struct {
	// Record is what was decided.
	Record Record
}

func (Save) effect()    {}
func (Send) effect()    {}
func (Install) effect() {}
func (Log) effect()     {}

// A Record describes a decision, or why there is none yet.
type Record struct {
	// Text is a sentence for the log.
	Text string
	// Ballot is the ballot; zero for none.
	Ballot Ballot
	// From is the position of the founder whose message was answered, or NoFounder.
	From int
	// Group is the group concerned, without a name for none.
	Group member.Set
	// Reachable is the number of controllers in reach, and Required the number
	// without which no group is formed.
	Reachable, Required int
	// LostFounders holds the addresses of the founders that have lost their disks.
	LostFounders []string
	// Age is the time since the start of the process.
	Age time.Duration
	// NeedsOperator is true if no group can be formed any more without an operator.
	NeedsOperator bool
}
