package minion

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// MaxMinions is the largest number of minions in a directory.
const MaxMinions = 10_000

// A Directory is an immutable registry of minions by name. Directories of
// different processes converge, since the newest announcement of a minion wins.
type Directory struct {
	minions *immutable.SortedMap[string, Minion]
}

// NewDirectory returns an empty directory.
func NewDirectory() Directory {
	return Directory{
		minions: immutable.NewSortedMap[string, Minion](nil),
	}
}

// WithAnnouncement returns d updated with an announcement first received age
// ago. Expired announcements, those no newer than the known one, and new
// minions beyond MaxMinions are ignored.
func (d Directory) WithAnnouncement(now time.Time, a Announcement, age time.Duration) Directory {
	known, ok := d.minions.Get(a.Name)
	if ok && !a.IsNewer(known.Announcement) {
		return d
	}
	if age >= AnnouncementTTL || !ok && d.minions.Len() >= MaxMinions {
		return d
	}
	d.minions = d.minions.Set(a.Name, Minion{
		Announcement: a,
		ReceivedAt:   now.Add(-age),
	})
	return d
}

// WithoutExpired returns d without the minions whose announcements have
// expired.
func (d Directory) WithoutExpired(now time.Time) Directory {
	for _, m := range d.All() {
		if !m.IsAlive(now) {
			d.minions = d.minions.Delete(m.Announcement.Name)
		}
	}
	return d
}

// Get returns the minion of the given name.
func (d Directory) Get(name string) (Minion, bool) {
	return d.minions.Get(name)
}

// Len returns the number of minions.
func (d Directory) Len() int {
	return d.minions.Len()
}

// All returns the minions sorted by name.
func (d Directory) All() []Minion {
	list := make([]Minion, 0, d.minions.Len())
	for itr := d.minions.Iterator(); !itr.Done(); {
		_, m, _ := itr.Next()
		list = append(list, m)
	}
	return list
}
