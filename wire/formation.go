package wire

import (
	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/formation"
)

// MethodFormation is the method for messages on the first group.
const MethodFormation = "formation"

var formationBodies = codec.NewUnion(
	codec.Of[formation.Body, formation.Introduce](),
	codec.Of[formation.Body, formation.NoPart](),
	codec.Of[formation.Body, formation.Prepare](),
	codec.Of[formation.Body, formation.Promise](),
	codec.Of[formation.Body, formation.Accept](),
	codec.Of[formation.Body, formation.Accepted](),
	codec.Of[formation.Body, formation.Refused](),
	codec.Of[formation.Body, formation.Chosen](),
)

// FormationMessage is a message on the first group.
type FormationMessage struct {
	// From is the sender's position among the founders.
	From int `json:"from"`
	// Body is the encoded body.
	Body []byte `json:"body"`
}

// FromFormation returns the form of a message that is encoded.
func FromFormation(m formation.Message) (out FormationMessage, err error) {
	body, err := formationBodies.Marshal(m.Body)
	return FormationMessage{
		From: m.From,
		Body: body,
	}, err
}

// ToFormation returns the decoded message.
func (m FormationMessage) ToFormation() (out formation.Message, err error) {
	body, err := formationBodies.Unmarshal(m.Body)
	return formation.Message{
		From: m.From,
		Body: body,
	}, err
}
