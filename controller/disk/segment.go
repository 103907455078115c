package disk

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/plantainladder/plantainladder/codec"
)

// segmentPattern is the pattern of the names of segment files. The number is padded
// so that the names sort by age.
const segmentPattern = "log-%08d.wal"

func segmentPath(folder string, n int) string {
	return filepath.Join(folder, fmt.Sprintf(segmentPattern, n))
}

func segmentNumbers(folder string) (numbers []int, err error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		n := 0
		if strings.HasSuffix(f.Name(), ".wal") {
			if _, err := fmt.Sscanf(f.Name(), segmentPattern, &n); err == nil {
				numbers = append(numbers, n)
			}
		}
	}
	sort.Ints(numbers)
	return numbers, nil
}

// readSegment returns the content of a segment. It holds one frame at a time: a log may be
// longer than the memory that the process may use. If the segment replaces older ones, it
// returns a *DamageError unless it begins with a batch that does.
func readSegment(files FileSystem, path string, replacesOlder bool) (content LogContent, err error) {
	file, err := os.Open(path)
	if err != nil {
		return content, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	info, err := file.Stat()
	if err != nil {
		return content, err
	}
	r := frameReader{
		file:   file,
		size:   info.Size(),
		source: bufio.NewReaderSize(file, readBufferBytes),
	}
	hasReplaced := !replacesOlder
	for r.offset < r.size {
		body, ok, err := r.next()
		if err != nil {
			return content, err
		}
		if !ok {
			break
		}
		b, err := codec.Unmarshal[batch](body)
		if err != nil {
			return content, err
		}
		if hasReplaced = hasReplaced || b.Reset; !hasReplaced {
			break
		}
		if content, err = content.withBatch(b); err != nil {
			return content, err
		}
	}
	switch {
	case !hasReplaced:
		return content, &DamageError{
			Path: path,
		}
	case r.offset < r.size:
		return truncateTornTail(files, path, r, content)
	}
	return content, nil
}

// truncateTornTail removes the torn write at the reader's offset from the end of the
// segment. It returns a *DamageError if it is not a torn write.
func truncateTornTail(files FileSystem, path string, r frameReader, content LogContent) (out LogContent, err error) {
	isTorn, err := r.isTornTail()
	if err != nil {
		return content, err
	}
	if !isTorn {
		return content, &DamageError{
			Path:   path,
			Offset: r.offset,
		}
	}
	content.TornBytes = r.size - r.offset
	file, err := files.OpenFile(path, os.O_WRONLY)
	if err != nil {
		return content, err
	}
	return content, errors.Join(file.Truncate(r.offset), file.Close())
}

const readBufferBytes = 64 << 10

// A frameReader reads the frames of a file one after the other.
type frameReader struct {
	file   io.ReaderAt
	size   int64
	source io.Reader
	// offset is the end of the last valid frame.
	offset int64
	// body holds the body of the last frame; the next one overwrites it.
	body []byte
}

// next returns the body of the next frame, or false if the frame is incomplete or a
// checksum does not match.
func (r *frameReader) next() (body []byte, ok bool, err error) {
	left := r.size - r.offset
	if left < headerBytes {
		return nil, false, nil
	}
	header := make([]byte, headerBytes)
	if _, err = io.ReadFull(r.source, header); err != nil {
		return nil, false, err
	}
	n, ok := bodyLength(header)
	if !ok || left < int64(headerBytes+n) {
		return nil, false, nil
	}
	if cap(r.body) < n {
		r.body = make([]byte, n)
	}
	body = r.body[:n]
	if _, err = io.ReadFull(r.source, body); err != nil {
		return nil, false, err
	}
	if !hasChecksum(header, body) {
		return nil, false, nil
	}
	r.offset += int64(headerBytes + n)
	return body, true, nil
}

// isTornTail reports whether the rest of the file, which does not begin with a valid frame,
// is a torn write, as a crash during the last write leaves it: a frame cut short by the end
// of the file, or only zeros. Anything else is damage to data that may have been
// acknowledged.
func (r *frameReader) isTornTail() (isTorn bool, err error) {
	left := r.size - r.offset
	if left < headerBytes {
		return true, nil
	}
	header := make([]byte, headerBytes)
	if _, err = r.file.ReadAt(header, r.offset); err != nil {
		return false, err
	}
	if n, ok := bodyLength(header); ok {
		return left < int64(headerBytes+n), nil
	}
	return r.isZero()
}

// isZero reports whether the rest of the file holds only zeros.
func (r *frameReader) isZero() (isZero bool, err error) {
	rest := bufio.NewReaderSize(io.NewSectionReader(r.file, r.offset, r.size-r.offset), readBufferBytes)
	for {
		c, err := rest.ReadByte()
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil || c != 0 {
			return false, err
		}
	}
}
