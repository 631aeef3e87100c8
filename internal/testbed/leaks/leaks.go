// Package leaks checks that a test leaves neither goroutines nor file descriptors behind.
package leaks

import (
	"fmt"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const (
	waitTimeout  = 5 * time.Second // upper bound: a test that leaves nothing does not wait
	pollInterval = 5 * time.Millisecond
)

// Check reports goroutines and descriptors that were not there before and are left when the test and its other
// cleanups are over. It must be called first in a test, and not in tests that run in parallel.
func Check(t testing.TB) {
	t.Helper()
	check(t, waitTimeout)
}

func check(t testing.TB, timeout time.Duration) {
	t.Helper()
	openPoller(t)
	before := goleak.IgnoreCurrent()
	openBefore := openDescriptors()
	t.Cleanup(func() {
		if t.Failed() {
			return // it may have stopped before its cleanup
		}
		if err := waitGoroutines(before, timeout); err != nil {
			t.Error(err)
		}
		if err := waitDescriptors(openBefore, timeout); err != nil {
			t.Error(err)
		}
	})
}

// openPoller makes the runtime open the descriptors of its network poller, which it keeps: they are no leak of the first test that
// opens a connection.
func openPoller(t testing.TB) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	reader.Close()
	writer.Close()
}

// waitGoroutines waits until all goroutines have ended that are not in before.
func waitGoroutines(before goleak.Option, timeout time.Duration) (err error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if err = goleak.Find(before); err == nil { // Find itself retries for a fraction of a second
			return nil
		}
	}
	return err
}

// waitDescriptors waits until no more descriptors are open than before.
func waitDescriptors(before map[string]string, timeout time.Duration) error {
	var open map[string]string
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if open = openDescriptors(); len(open) <= len(before) {
			return nil
		}
	}
	for name := range before {
		delete(open, name)
	}
	return fmt.Errorf("file descriptors left open: %v", open)
}

// openDescriptors returns the open descriptors of the process and their targets, or nil where /proc is missing.
func openDescriptors() map[string]string {
	const dir = "/proc/self/fd"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	all := map[string]string{}
	for _, e := range entries {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil { // else it was the directory's own descriptor
			all[e.Name()] = to
		}
	}
	return all
}
