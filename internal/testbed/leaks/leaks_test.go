package leaks

import (
	"net"
	"strings"
	"testing"
	"time"
)

// recordingTB records the errors of a test.
type recordingTB struct {
	testing.TB
	cleanups []func()
	errors   []string
}

func (r *recordingTB) Helper()           {}
func (r *recordingTB) Failed() bool      { return false }
func (r *recordingTB) Cleanup(f func())  { r.cleanups = append(r.cleanups, f) }
func (r *recordingTB) Error(args ...any) { r.errors = append(r.errors, args[0].(error).Error()) }
func (r *recordingTB) runCleanup()       { r.cleanups[0]() }
func (r *recordingTB) reported(s string) bool {
	return strings.Contains(strings.Join(r.errors, "\n"), s)
}

// TestCheck checks that leaks are reported, and that a test without any passes.
func TestCheck(t *testing.T) {
	clean := &recordingTB{TB: t}
	Check(clean)
	go time.Sleep(20 * time.Millisecond) // ends by itself
	if clean.runCleanup(); len(clean.errors) != 0 {
		t.Errorf("a test without leaks: %v", clean.errors)
	}
	leaking, stop := &recordingTB{TB: t}, make(chan struct{})
	check(leaking, 100*time.Millisecond)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { <-stop }()
	leaking.runCleanup()
	close(stop)
	listener.Close()
	if !leaking.reported("goroutine") || !leaking.reported("socket:") {
		t.Errorf("a goroutine and a listener leaked, but the report is %v", leaking.errors)
	}
}
