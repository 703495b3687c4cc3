package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// linef writes one line.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), line)
}

// at returns a time as it stands in the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
