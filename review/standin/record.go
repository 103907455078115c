// Command standin runs the cases of the review that are scripts. It starts the
// programs of the deploy file as processes on loopback addresses and plays their
// consumers, minions, operator and platform.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the file of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	w       *bufio.Writer
	began   time.Time
	problem []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  f,
		w:     bufio.NewWriter(f),
		began: time.Now(),
	}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken notes that the rule was broken.
func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problem = append(r.problem, text)
}

func (r *record) problems() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.problem...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
