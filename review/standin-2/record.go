package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// A record writes what was sent, answered and run to record.txt.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{
		file:      f,
		startedAt: time.Now(),
	}, nil
}

// write writes a line with the seconds since the start.
func (r *record) write(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %-10s %s\n", time.Since(r.startedAt).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}
