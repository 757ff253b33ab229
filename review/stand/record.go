package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run to a file.
type Recorder struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{begun: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Logf writes one line: the time, who saw it, and what.
func (r *Recorder) Logf(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s %s\n", time.Since(r.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

// Close writes what is left.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
