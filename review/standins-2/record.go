package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes one line for each thing that a client, a server or the platform did or saw, with its time in
// milliseconds since the start.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{w: bufio.NewWriter(f), f: f, start: time.Now()}, nil
}

func (r *recorder) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%10.1f  ", float64(t.Sub(r.start).Microseconds())/1000)
	fmt.Fprintf(r.w, format, args...)
	r.w.WriteByte('\n')
}

func (r *recorder) say(format string, args ...any) { r.at(time.Now(), format, args...) }

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}
