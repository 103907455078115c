package cluster

import "golang.org/x/sys/unix"

// NoLimit is the argument of LimitFileSize that removes the limit.
const NoLimit = unix.RLIM_INFINITY

// LimitFileSize sets the largest size in bytes to which the process may extend a
// file. Writes beyond it fail, which simulates a full disk.
func (p *Process) LimitFileSize(bytes uint64) error {
	limit := unix.Rlimit{
		Cur: bytes,
		Max: unix.RLIM_INFINITY,
	}
	return unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil)
}
