package util

import "runtime/debug"

const (
	// DefaultMemoryMB is the default memory limit of a program, in megabytes.
	DefaultMemoryMB = 56
	// MinMemoryMB is the lowest memory limit that can be set, in megabytes.
	MinMemoryMB = 16
)

// LimitMemory sets the soft memory limit of the Go runtime, in megabytes. The
// garbage collector keeps to it unless the live data alone exceed it.
func LimitMemory(mb int) {
	debug.SetMemoryLimit(int64(mb) << 20)
}
