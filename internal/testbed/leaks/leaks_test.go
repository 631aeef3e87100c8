package leaks

import (
	"net"
	"strings"
	"testing"
	"time"
)

// watched is a test whose failures are kept.
type watched struct {
	testing.TB
	cleanups []func()
	errors   []string
}

func (w *watched) Helper()            {}
func (w *watched) Failed() bool       { return false }
func (w *watched) Cleanup(f func())   { w.cleanups = append(w.cleanups, f) }
func (w *watched) Error(args ...any)  { w.errors = append(w.errors, args[0].(error).Error()) }
func (w *watched) end()               { w.cleanups[0]() }
func (w *watched) told(s string) bool { return strings.Contains(strings.Join(w.errors, "\n"), s) }

// TestCheck: what a test leaves is told, and a test that leaves nothing passes.
func TestCheck(t *testing.T) {
	clean := &watched{TB: t}
	Check(clean)
	go time.Sleep(20 * time.Millisecond) // ends by itself
	if clean.end(); len(clean.errors) != 0 {
		t.Errorf("a test that left nothing: %v", clean.errors)
	}
	dirty, stop := &watched{TB: t}, make(chan struct{})
	check(dirty, 100*time.Millisecond)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { <-stop }()
	dirty.end()
	close(stop)
	listener.Close()
	if !dirty.told("goroutine") || !dirty.told("socket:") {
		t.Errorf("a goroutine and a listener were left, and told was %v", dirty.errors)
	}
}
