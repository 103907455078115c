package formation

import "github.com/plantainladder/plantainladder/member"

// A Message is what one controller sends to another while there is no group.
type Message struct {
	// From is the sender's position among the founders, or NoFounder.
	From int
	// Body is the content.
	Body Body
}

// A Body is the content of a Message: Introduce, NoPart, Prepare, Promise, Accept,
// Accepted, Refused or Chosen.
type Body interface {
	body()
}

// Introduce tells a founder that a controller may become a voter of the first group.
type Introduce struct {
	// Member is the sender.
	Member member.Member `json:"member"`
	// To is the position of the founder to which the sender believes to speak.
	To int `json:"to"`
}

// NoPart answers Introduce: the controller at the founder's address takes no part,
// since it has lost its disk.
type NoPart struct {
	// Founder is copied from the To of the request.
	Founder int `json:"founder"`
}

// Prepare asks a founder to refuse lower ballots.
type Prepare struct {
	// Ballot is the ballot of the sender's attempt.
	Ballot Ballot `json:"ballot"`
}

// Promise answers Prepare.
type Promise struct {
	// Ballot is copied from the request.
	Ballot Ballot `json:"ballot"`
	// Accepted and Group tell the group that the founder has accepted, without a name
	// if there is none.
	Accepted Ballot     `json:"accepted"`
	Group    member.Set `json:"group"`
}

// Accept asks a founder to accept a group.
type Accept struct {
	// Ballot is the ballot of the sender's attempt.
	Ballot Ballot `json:"ballot"`
	// Group is the group.
	Group member.Set `json:"group"`
}

// Accepted answers Accept.
type Accepted struct {
	// Ballot is copied from the request.
	Ballot Ballot `json:"ballot"`
}

// Refused answers Prepare and Accept if the founder has promised a higher ballot.
type Refused struct {
	// Ballot is copied from the request.
	Ballot Ballot `json:"ballot"`
	// Promised is the higher ballot.
	Promised Ballot `json:"promised"`
}

// Chosen tells a voter that it belongs to the first group.
type Chosen struct {
	// Group is the first group.
	Group member.Set `json:"group"`
}

func (Introduce) body() {}
func (NoPart) body()    {}
func (Prepare) body()   {}
func (Promise) body()   {}
func (Accept) body()    {}
func (Accepted) body()  {}
func (Refused) body()   {}
func (Chosen) body()    {}
