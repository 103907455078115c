package control

import (
	"time"

	"github.com/plantainladder/plantainladder/consensus"
)

const (
	// fullSnapshotInterval is the least time between two snapshots of a controller whose
	// disk stays full. A large state would otherwise be encoded without a break.
	fullSnapshotInterval = time.Second
	// handOverPatience is how long the disk of a leader may be full before it hands the
	// leadership over. A snapshot frees room sooner as a rule.
	handOverPatience = time.Second
	// handOverInterval is the least time between two attempts.
	handOverInterval = 5 * time.Second
)

// fullDisk is what a core knows about its full disk.
type fullDisk struct {
	// since is when the disk became full; zero if it has room.
	since time.Time
	// snapshotAt is when a snapshot was last requested for it.
	snapshotAt time.Time
	// handedOverAt is when the core last tried to hand the leadership over for it.
	handedOverAt time.Time
}

func (d fullDisk) isFull() bool {
	return !d.since.IsZero()
}

// withFull returns d after the disk has become full, or has room again.
func (d fullDisk) withFull(now time.Time, isFull bool) fullDisk {
	switch {
	case !isFull:
		d.since = time.Time{}
	case !d.isFull():
		d.since = now
	}
	return d
}

// isFullForLong reports whether the disk has been full for longer than a leader tolerates.
func (d fullDisk) isFullForLong(now time.Time) bool {
	return d.isFull() && now.Sub(d.since) > handOverPatience
}

func (c Core) stepDiskFullChanged(now time.Time, e DiskFullChanged) (Core, []Effect) {
	c.fullDisk = c.fullDisk.withFull(now, e.IsFull)
	return c.snapshotIfDiskFull(now)
}

// snapshotIfDiskFull requests a snapshot if the disk is full and something was applied since
// the last one.
func (c Core) snapshotIfDiskFull(now time.Time) (Core, []Effect) {
	if !c.fullDisk.isFull() || now.Sub(c.fullDisk.snapshotAt) < fullSnapshotInterval {
		return c, nil
	}
	c, out := c.saveSnapshot()
	if len(out) > 0 {
		c.fullDisk.snapshotAt = now
	}
	return c, out
}

// handOverIfDiskFails hands the leadership over if the disk of this leader has been full for
// some time, or is so far behind that the leader refuses proposals, and the group commits
// without it.
func (c Core) handOverIfDiskFails(now time.Time) (Core, []Effect) {
	isFailing := c.fullDisk.isFullForLong(now) || c.replica.IsDiskBehind()
	if !isFailing || now.Sub(c.fullDisk.handedOverAt) <= handOverInterval || !c.replica.IsOutrun(now) {
		return c, nil
	}
	c.fullDisk.handedOverAt = now
	c, out := c.stepReplica(now, consensus.TransferLeadership{})
	return c, append(out, LogMessage{
		Text: "Leadership is handed over, since the disk is full or too far behind.",
	})
}
