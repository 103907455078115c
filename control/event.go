package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/member"
	"github.com/plantainladder/plantainladder/worker"
)

// An Event is what happens to a controller.
type Event interface {
	event()
}

// Tick lets time pass.
type Tick struct {
	// Jitter is a random time, from zero to the election timeout.
	Jitter time.Duration
}

// Arrive brings a letter of another replica.
type PeerMessageReceived struct {
	// Letter is the letter.
	Message consensus.Message
	// ReturnTo is the sender's address, empty if it does not say.
	SenderAddress string
}

// Submit asks for a command to be replicated.
type Submit struct {
	// Token is repeated in the Reply.
	Token uint64
	// ID is the command's identifier; empty for none.
	ID string
	// Command is the change.
	Command plantainladder.Command
}

// Ask brings a gateway's poll.
type RenewalRequest struct {
	// Token is repeated in the Reply.
	Token uint64
	// Poll is the poll.
	Poll Poll
}

// Synced says that the disk holds all entries up to an index for good.
type EntriesSynced struct {
	// Index and Term name the last entry that was synced.
	Index, Term uint64
}

// SnapshotSaved says that a snapshot is on the disk for good.
type SnapshotSaved struct {
	// Index is the last entry that it covers.
	Index uint64
}

// SnapshotArrived brings a leader's whole snapshot.
type SnapshotReceived struct {
	// Letter names the sender and its term.
	Message consensus.Message
	// Meta describes the snapshot.
	Meta consensus.SnapshotMeta
	// State is the state that it holds.
	State plantainladder.State
	// Encoded is the state as it arrived.
	Encoded []byte
}

// Form makes this controller the first voter of a new group.
type FormGroup struct {
	// Token is repeated in the Reply.
	Token uint64
	// Group is the random name of the group.
	Group string
	// Self is this controller.
	Self member.Member
}

// Change asks for a change of the group.
type Change struct {
	// Token is repeated in the Reply.
	Token uint64
	// Change is the change.
	Change member.Change
}

// Leave asks for a transfer of the leadership before a planned stop.
type StepDown struct{}

// Pushed says what became of the orders that were pushed to a worker.
type Pushed struct {
	// Worker is the worker's name.
	Worker string
	// Incarnation is the worker's incarnation; empty if it did not answer.
	Incarnation string
	// Sequence is the worker's last beat when it answered; older beats do not
	// know of the orders.
	Sequence uint64
	// Reports says what became of the tasks.
	Reports []worker.TaskReport
}

func (Tick) event()                {}
func (PeerMessageReceived) event() {}
func (Submit) event()              {}
func (RenewalRequest) event()      {}
func (EntriesSynced) event()       {}
func (SnapshotSaved) event()       {}
func (SnapshotReceived) event()    {}
func (FormGroup) event()           {}
func (Change) event()              {}
func (StepDown) event()            {}
func (Pushed) event()              {}
