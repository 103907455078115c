package consensus

import "time"

// A Config holds the settings of a Replica.
type Config struct {
	// ID is the replica's identity, which is stored in its data folder.
	ID string
	// ElectionTimeout is the shortest time without contact to a leader before
	// the replica starts an election. For the same time after its last contact
	// the replica refuses to vote.
	ElectionTimeout time.Duration
	// Heartbeat is the interval between a leader's messages to each member.
	Heartbeat time.Duration
	// MaxBatchEntries bounds the number of entries in one message.
	MaxBatchEntries int
	// MaxBatchBytes bounds the size of the commands in one message, in bytes.
	MaxBatchBytes int
	// MaxUncommitted bounds the number of entries that are appended but not yet
	// committed; further proposals are refused.
	MaxUncommitted uint64
	// MaxUncommittedBytes bounds the size of the entries that are appended but not yet
	// committed, or not yet durable on the replica's own disk, in bytes. Above it, a leader
	// refuses further proposals, and a follower takes no further entries. Zero means no
	// bound.
	MaxUncommittedBytes uint64
	// MaxCommandBytes is the size of the largest command that a message can hold, in bytes;
	// larger ones are refused. Zero means no bound.
	MaxCommandBytes uint64
	// MaxInflightBytes bounds the size of the entries that a member has been sent and has
	// not made durable yet, in bytes. Zero means no bound.
	MaxInflightBytes uint64
	// MaxApplyEntries and MaxApplyBytes bound the number of committed entries, and the
	// size of their commands in bytes, that one step applies. At least one entry is
	// applied.
	MaxApplyEntries int
	MaxApplyBytes   int
}
