// Package leaks holds that a test leaves nothing behind: no goroutine and no descriptor.
package leaks

import (
	"fmt"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const (
	waitTimeout  = 5 * time.Second // what ends has so long to it; a test that leaves nothing waits for none of it
	pollInterval = 5 * time.Millisecond
)

// Check is called first in a test: when the test and its other cleanups are over, no goroutine and no descriptor may be left that
// was not there before. Tests that run beside others can't use it.
func Check(t testing.TB) {
	t.Helper()
	check(t, waitTimeout)
}

func check(t testing.TB, timeout time.Duration) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	openBefore := openDescriptors()
	t.Cleanup(func() {
		if t.Failed() {
			return // it ended before it had cleaned up
		}
		if err := waitGoroutines(before, timeout); err != nil {
			t.Error(err)
		}
		if err := waitDescriptors(openBefore, timeout); err != nil {
			t.Error(err)
		}
	})
}

// waitGoroutines waits until all goroutines have waitGoroutines that were not there before.
func waitGoroutines(before goleak.Option, timeout time.Duration) (err error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if err = goleak.Find(before); err == nil { // it waits for a part of a second itself
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
	return fmt.Errorf("descriptors are left open: %v", open)
}

// openDescriptors are those that the process has open, with what they lead to; none where the system does not tell.
func openDescriptors() map[string]string {
	const dir = "/proc/self/fd"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	all := map[string]string{}
	for _, e := range entries {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil { // else it is the folder's own, closed by now
			all[e.Name()] = to
		}
	}
	return all
}
