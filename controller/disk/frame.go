// Package disk keeps a controller's data folder: its identity, the log and the
// snapshots. Nothing counts as kept before it is synced.
package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame on disk is magic, length, checksum of the body, checksum of these
// three, and body. One frame holds all that one sync made durable. The header
// has a checksum of its own, since a flipped bit in the length would look like
// a frame that was never finished.
const (
	frameMagic         = 0x504c4652
	checkedHeaderBytes = 12
	headerBytes        = 16
	maxBodyBytes       = 256 << 20
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(dst, body []byte) []byte {
	header := binary.LittleEndian.AppendUint32(nil, frameMagic)
	header = binary.LittleEndian.AppendUint32(header, uint32(len(body)))
	header = binary.LittleEndian.AppendUint32(header, checksum(body))
	header = binary.LittleEndian.AppendUint32(header, checksum(header))
	return append(append(dst, header...), body...)
}

func checksum(b []byte) uint32 {
	return crc32.Checksum(b, checksumTable)
}

// readFrame returns the frame at the start of b and what follows it, or false
// if there is no whole and sound frame.
func readFrame(b []byte) (body, rest []byte, ok bool) {
	n, ok := bodyLength(b)
	if !ok || len(b) < headerBytes+n {
		return nil, b, false
	}
	body = b[headerBytes : headerBytes+n]
	if checksum(body) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, b, false
	}
	return body, b[headerBytes+n:], true
}

func bodyLength(b []byte) (n int, ok bool) {
	if len(b) < headerBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, false
	}
	if checksum(b[:checkedHeaderBytes]) != binary.LittleEndian.Uint32(b[checkedHeaderBytes:]) {
		return 0, false
	}
	n = int(binary.LittleEndian.Uint32(b[4:]))
	return n, n <= maxBodyBytes
}

// isTornTail reports whether b, which does not begin with a sound frame, is
// what a crash in the middle of the last write leaves: a frame that the file
// ends before, or nothing but zeros. Anything else is damage to something that
// may have been acknowledged.
func isTornTail(b []byte) bool {
	zeros := true
	for _, c := range b {
		zeros = zeros && c == 0
	}
	if zeros || len(b) < headerBytes {
		return true
	}
	n, ok := bodyLength(b)
	return ok && len(b) < headerBytes+n
}

// A DamageError reports a file that a crash alone cannot have left behind.
type DamageError struct {
	// Path is the file.
	Path string
	// Offset is the position of the first byte that cannot be read.
	Offset int64
}

// Error returns the file, the position and what to do.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d; replace this disk as a lost one", e.Path, e.Offset)
}
