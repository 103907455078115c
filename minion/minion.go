// Package minion holds the aggregate of a minion: its announcements, and the
// directory that merges the announcements received by different gateways.
package minion

import (
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/shape"
)

const (
	// AnnouncementTTL is how long an announcement is valid.
	AnnouncementTTL = 3 * time.Second
	// MaxSlots is the largest number of slots of a minion.
	MaxSlots       = 1024
	maxConnections = 65_536
)

// An Announcement is what a minion periodically reports about itself.
type Announcement struct {
	// Name is the minion's name.
	Name string `json:"name"`
	// Address is the host and port of the minion's HTTP interface.
	Address string `json:"address"`
	// DataCentre is the name of the minion's data centre.
	DataCentre string `json:"data-centre"`
	// Slots is the number of requests that the minion runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the minion accepts.
	Connections int `json:"connections"`
	// StartedMS is when the minion's process started, in milliseconds since
	// 1970 by its own clock. Announcements of a later process supersede those
	// of an earlier one.
	StartedMS int64 `json:"started-ms"`
	// Sequence increases with each announcement of a process.
	Sequence uint64 `json:"sequence"`
	// Leaving is true once the minion accepts no new requests.
	Leaving bool `json:"leaving"`
}

// Check returns a *shape.FieldError for the first field that is out of bounds,
// nil for none.
func (a Announcement) Check() *shape.FieldError {
	if err := contract.CheckName("name", a.Name); err != nil {
		return err
	}
	if err := contract.CheckName("data-centre", a.DataCentre); err != nil {
		return err
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return &shape.FieldError{
			Field:   "slots",
			Problem: "must be from 1 to 1024",
		}
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return &shape.FieldError{
			Field:   "connections",
			Problem: "must be from 1 to 65536",
		}
	}
	return nil
}

// IsNewer reports whether a supersedes b, an announcement of the same minion.
func (a Announcement) IsNewer(b Announcement) bool {
	if a.StartedMS != b.StartedMS {
		return a.StartedMS > b.StartedMS
	}
	return a.Sequence > b.Sequence
}

// A Minion is a minion's latest announcement and when it was received.
type Minion struct {
	// Announcement is the newest announcement received.
	Announcement Announcement `json:"announcement"`
	// ReceivedAt is when the announcement was first received, by the clock of the
	// process that holds the directory.
	ReceivedAt time.Time `json:"heard"`
}

// IsAlive reports whether the announcement has not expired.
func (m Minion) IsAlive(now time.Time) bool {
	return now.Sub(m.ReceivedAt) < AnnouncementTTL
}
