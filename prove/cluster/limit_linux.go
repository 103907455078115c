package cluster

import "golang.org/x/sys/unix"

// NoLimit lifts a limit of LimitFileSize.
const NoLimit = unix.RLIM_INFINITY

// LimitFileSize bounds the size in bytes of the files that the process may write,
// as a full disk does.
func (p *Process) LimitFileSize(bytes uint64) error {
	limit := unix.Rlimit{
		Cur: bytes,
		Max: unix.RLIM_INFINITY,
	}
	return unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil)
}
