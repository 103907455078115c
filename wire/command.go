// Package wire defines and encodes what processes store and send to each other:
// commands, log entries, snapshots, messages between replicas, and the requests
// of gateways and platform processes to controllers. It makes no decisions.
package wire

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/codec"
)

var commands = codec.NewUnion(
	codec.Of[plantainladder.Command, plantainladder.PutContract](),
	codec.Of[plantainladder.Command, plantainladder.DropContract](),
	codec.Of[plantainladder.Command, plantainladder.SetDataCentre](),
	codec.Of[plantainladder.Command, plantainladder.RegisterWorker](),
	codec.Of[plantainladder.Command, plantainladder.RemoveWorker](),
	codec.Of[plantainladder.Command, plantainladder.MakeClaim](),
	codec.Of[plantainladder.Command, plantainladder.SettleClaim](),
	codec.Of[plantainladder.Command, plantainladder.ResolveClaim](),
	codec.Of[plantainladder.Command, plantainladder.SubmitJob](),
	codec.Of[plantainladder.Command, plantainladder.CancelJob](),
	codec.Of[plantainladder.Command, plantainladder.ReleaseJob](),
	codec.Of[plantainladder.Command, plantainladder.PlaceJob](),
	codec.Of[plantainladder.Command, plantainladder.StartJob](),
	codec.Of[plantainladder.Command, plantainladder.StopJob](),
	codec.Of[plantainladder.Command, plantainladder.EndPart](),
	codec.Of[plantainladder.Command, plantainladder.ParkJob](),
	codec.Of[plantainladder.Command, plantainladder.PutConfiguration](),
	codec.Of[plantainladder.Command, plantainladder.Confirm](),
	codec.Of[plantainladder.Command, plantainladder.SubmitWorkflow](),
	codec.Of[plantainladder.Command, plantainladder.CancelWorkflow](),
	codec.Of[plantainladder.Command, plantainladder.Announce](),
	codec.Of[plantainladder.Command, plantainladder.Round](),
)

type envelope struct {
	ID      string    `json:"id,omitempty"`
	At      time.Time `json:"at"`
	Command []byte    `json:"command"`
}

// MarshalCommand returns the encoding of a command.
func MarshalCommand(c plantainladder.Command) ([]byte, error) {
	return commands.Marshal(c)
}

// UnmarshalCommand returns the command that b encodes.
func UnmarshalCommand(b []byte) (plantainladder.Command, error) {
	return commands.Unmarshal(b)
}

// CommandName returns the encoded name of a command's type, such as
// "put-contract".
func CommandName(c plantainladder.Command) string {
	return commands.Name(c)
}

// MarshalEnvelope returns an envelope in the format of the log.
func MarshalEnvelope(e plantainladder.Envelope) (b []byte, err error) {
	body, err := commands.Marshal(e.Command)
	if err != nil {
		return nil, err
	}
	return codec.Marshal(envelope{
		ID:      e.ID,
		At:      e.At,
		Command: body,
	})
}

// UnmarshalEnvelope returns the envelope that b encodes.
func UnmarshalEnvelope(b []byte) (e plantainladder.Envelope, err error) {
	raw, err := codec.Unmarshal[envelope](b)
	if err != nil {
		return e, err
	}
	c, err := commands.Unmarshal(raw.Command)
	return plantainladder.Envelope{
		ID:      raw.ID,
		At:      raw.At,
		Command: c,
	}, err
}
