package control

import (
	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/datacentre"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/minion"
	"github.com/plantainladder/plantainladder/worker"
)

// A Heard is an announcement and its age, in milliseconds.
type Heard struct {
	Announcement minion.Announcement `json:"announcement"`
	AgeMS        int64               `json:"age-ms"`
}

// A Poll is what a gateway sends to the leader about once in lease.Poll.
type Poll struct {
	// Index is the version of the gateway's configuration.
	Index uint64 `json:"index"`
	// Ask is what it holds and wants of the shared resources.
	RenewalRequest lease.RenewalRequest `json:"ask"`
	// Minions holds the announcements that it heard since its last poll.
	Minions []Heard `json:"minions,omitempty"`
	// Beats holds the workers' beats that wait for an answer.
	Heartbeats []worker.Heartbeat `json:"beats,omitempty"`
	// Touches holds those that bring nothing new, as far as the gateway knows.
	CompactHeartbeats []worker.CompactHeartbeat `json:"beat-digests,omitempty"`
	// NamedTouches is what gateways of the version before send in their place.
	LegacyHeartbeats []worker.LegacyHeartbeat `json:"touches,omitempty"`
}

// A PollReply answers a Poll. Without Leader it holds nothing but Redirect.
type PollReply struct {
	// Leader is true if the answer comes from a leader with a lease.
	Leader bool `json:"leader"`
	// Redirect is the address of the leader, as far as it is known.
	Redirect string `json:"redirect,omitempty"`
	// Addresses lists the addresses of all controllers.
	Addresses []string `json:"addresses,omitempty"`
	// Index is the version of the configuration after this answer.
	Index uint64 `json:"index"`
	// Contracts and DataCentres hold the records changed since the poll's index.
	Contracts   []plantainladder.Versioned[contract.Contract]     `json:"contracts,omitempty"`
	DataCentres []plantainladder.Versioned[datacentre.DataCentre] `json:"data-centres,omitempty"`
	// Minions holds the announcements that the gateway may not have heard.
	Minions []Heard `json:"minions,omitempty"`
	// Grant is the gateway's part of the shared resources.
	Grant lease.Grant `json:"grant"`
	// Beats holds the answers to the workers' beats, by worker.
	Heartbeats map[string]worker.HeartbeatReply `json:"beats,omitempty"`
	// Stale lists the digests of touches whose whole beat the leader needs. The
	// answer to all other touches is PlainBeatReply.
	ResendDigests []uint64 `json:"stale-digests,omitempty"`
	// StaleNames lists the workers of all named touches: a gateway of the version
	// before then sends their whole beats, which are answered as ever.
	ResendWorkers []string `json:"stale,omitempty"`
}
