// Package minion holds the aggregate of a minion: what it announces, how the
// announcements that reach different gateways are merged, and how a failing
// minion is avoided.
package minion

import (
	"time"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/shape"
)

const (
	// AnnouncementTTL is how long an announcement holds.
	AnnouncementTTL = 3 * time.Second
	// MaxSlots is the largest number of slots of one minion.
	MaxSlots       = 1024
	maxConnections = 65_536
)

// An Announcement is what a minion says of itself.
type Announcement struct {
	// Name is the minion's name.
	Name string `json:"name"`
	// Address is host and port of its HTTP interface.
	Address string `json:"address"`
	// DataCentre is the name of its data centre.
	DataCentre string `json:"data-centre"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int `json:"connections"`
	// StartedMS is when this process of the minion started, in milliseconds
	// of its own clock since 1970. A later process goes before an earlier one.
	StartedMS int64 `json:"started-ms"`
	// Sequence grows with each announcement of a process.
	Sequence uint64 `json:"sequence"`
	// Leaving is true once the minion wants no new requests.
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

// IsNewer reports whether a was made after b by the same minion.
func (a Announcement) IsNewer(b Announcement) bool {
	if a.StartedMS != b.StartedMS {
		return a.StartedMS > b.StartedMS
	}
	return a.Sequence > b.Sequence
}

// A Minion is an announcement and when it was heard.
type Minion struct {
	// Announcement is the newest one.
	Announcement Announcement `json:"announcement"`
	// Heard is when it was heard, by the clock of the process that holds it.
	Heard time.Time `json:"heard"`
}

// IsAlive reports whether the announcement still holds.
func (m Minion) IsAlive(now time.Time) bool {
	return now.Sub(m.Heard) < AnnouncementTTL
}
