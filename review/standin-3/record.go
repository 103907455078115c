package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{
		file:    f,
		startAt: time.Now(),
	}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.startAt).Seconds(), text)
}
