package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record notes what was sent, answered and run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	runs map[string][]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, runs: map[string][]string{}}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) countRun(id, runner, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], runner+" "+version)
}

// runsOf returns where a request ran.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}
