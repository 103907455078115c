// Package record writes a line for each action of a stand-in to a file, so that a
// test can count the runs at the place where they happen.
package record

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// A File is a record that lines are appended to, by any number of goroutines. A
// nil File discards them.
type File struct {
	file *os.File
}

// Open opens or creates the record at path for appending. It returns nil for an
// empty path.
func Open(path string) (*File, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return &File{
		file: file,
	}, nil
}

// Write appends a line: the time in nanoseconds since the Unix epoch and the
// given words.
func (f *File) Write(words ...string) {
	if f == nil {
		return
	}
	line := fmt.Sprintf("%d %s\n", time.Now().UnixNano(), strings.Join(words, " "))
	_, _ = f.file.WriteString(line)
}

// A Line is one line of a File.
type Line struct {
	// At is the time at which the line was written.
	At time.Time
	// Words are the words after the time.
	Words []string
}

// Read returns the lines of the record at path; none if the file does not exist.
func Read(path string) ([]Line, error) {
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var lines []Line
	for line := range strings.Lines(string(b)) {
		words := strings.Fields(line)
		var ns int64
		if _, err := fmt.Sscan(words[0], &ns); err != nil {
			return nil, err
		}
		lines = append(lines, Line{
			At:    time.Unix(0, ns),
			Words: words[1:],
		})
	}
	return lines, nil
}
