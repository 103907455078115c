// Package disk stores a controller's identity, log and snapshots in its data
// folder. Data is durable only after it was synced.
package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame on disk is a header and a body. The header consists of four
// little-endian uint32 fields: magic number, length of the body, checksum of
// the body, and checksum of the first three fields. One frame holds everything
// that one sync made durable. The header has a checksum of its own because a
// flipped bit in the length would otherwise look like an incomplete frame.
const (
	frameMagic         = 0x504c4652
	checkedHeaderBytes = 12
	headerBytes        = 16
	maxBodyBytes       = 256 << 20
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns a frame with a body.
func encodeFrame(body []byte) []byte {
	header := binary.LittleEndian.AppendUint32(nil, frameMagic)
	header = binary.LittleEndian.AppendUint32(header, uint32(len(body)))
	header = binary.LittleEndian.AppendUint32(header, checksum(body))
	header = binary.LittleEndian.AppendUint32(header, checksum(header))
	return append(append(make([]byte, 0, headerBytes+len(body)), header...), body...)
}

func checksum(b []byte) uint32 {
	return crc32.Checksum(b, checksumTable)
}

// readFrame returns the body of the frame at the start of b and the bytes after
// the frame, or false if the frame is incomplete or a checksum does not match.
func readFrame(b []byte) (body, rest []byte, ok bool) {
	n, ok := bodyLength(b)
	if !ok || len(b) < headerBytes+n {
		return nil, b, false
	}
	body = b[headerBytes : headerBytes+n]
	if !hasChecksum(b, body) {
		return nil, b, false
	}
	return body, b[headerBytes+n:], true
}

// hasChecksum reports whether a body has the checksum in its header.
func hasChecksum(header, body []byte) bool {
	return checksum(body) == binary.LittleEndian.Uint32(header[8:])
}

// bodyLength returns the length of the body according to the header at the
// start of b, or false if the header is invalid.
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

// A DamageError reports a file with damage that a crash during a write does not
// explain.
type DamageError struct {
	// Path is the file.
	Path string
	// Offset is the position of the first invalid byte.
	Offset int64
}

// Error returns the file, the position and how to recover.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d; treat this disk as lost and replace it", e.Path, e.Offset)
}
