package control

import (
	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/datacentre"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/minion"
	"github.com/plantainladder/plantainladder/worker"
)

// RelayedAnnouncement is a minion's announcement and the time since it was received, in
// milliseconds.
type RelayedAnnouncement struct {
	Announcement minion.Announcement `json:"announcement"`
	AgeMS        int64               `json:"age-ms"`
}

// Poll is the request that a gateway sends to the leader once per
// lease.PollInterval.
type Poll struct {
	// Index is the log index of the view (contracts and data centres) that the
	// gateway acts on.
	Index uint64 `json:"index"`
	// RenewalRequest states what the gateway holds and needs of the shared
	// resources.
	RenewalRequest lease.RenewalRequest `json:"ask"`
	// Minions holds the announcements received by the gateway since its last
	// poll.
	Minions []RelayedAnnouncement `json:"minions,omitempty"`
	// Heartbeats holds the full heartbeats of workers that wait for an answer.
	Heartbeats []worker.Heartbeat `json:"beats,omitempty"`
	// CompactHeartbeats holds the heartbeats that are unchanged since the last
	// one that the leader answered.
	CompactHeartbeats []worker.CompactHeartbeat `json:"beat-digests,omitempty"`
	// LegacyHeartbeats is sent by gateways of the previous version in place of
	// CompactHeartbeats.
	LegacyHeartbeats []worker.LegacyHeartbeat `json:"touches,omitempty"`
}

// PollReply answers a Poll. If Leader is false, only Redirect is set.
type PollReply struct {
	// Leader is true if the sender holds the leader lease.
	Leader bool `json:"leader"`
	// Redirect is the leader's address; empty if unknown.
	Redirect string `json:"redirect,omitempty"`
	// Addresses lists the addresses of all members of the group.
	Addresses []string `json:"addresses,omitempty"`
	// Index is the log index of the view after this reply is applied.
	Index uint64 `json:"index"`
	// Contracts and DataCentres hold the records changed since the poll's Index.
	Contracts   []plantainladder.Versioned[contract.Contract]     `json:"contracts,omitempty"`
	DataCentres []plantainladder.Versioned[datacentre.DataCentre] `json:"data-centres,omitempty"`
	// Minions holds the announcements that the poll did not contain.
	Minions []RelayedAnnouncement `json:"minions,omitempty"`
	// Grant is the gateway's share of the resources.
	Grant lease.Grant `json:"grant"`
	// Heartbeats holds the answers to the full heartbeats by worker name.
	Heartbeats map[string]worker.HeartbeatReply `json:"beats,omitempty"`
	// ResendDigests lists the compact heartbeats for which the leader needs the
	// full heartbeat. All others are answered by DefaultHeartbeatReply.
	ResendDigests []uint64 `json:"stale-digests,omitempty"`
	// ResendWorkers lists the workers of all legacy heartbeats, so that a gateway
	// of the previous version sends full heartbeats for them.
	ResendWorkers []string `json:"stale,omitempty"`
}
