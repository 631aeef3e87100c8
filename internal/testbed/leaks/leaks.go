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
	within = 5 * time.Second // what ends has so long to it; a test that leaves nothing waits for none of it
	look   = 5 * time.Millisecond
)

// Check is called first in a test: when the test and its other cleanups are over, no goroutine and no descriptor may be left that
// was not there before. Tests that run beside others can't use it.
func Check(t testing.TB) {
	t.Helper()
	check(t, within)
}

func check(t testing.TB, within time.Duration) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	files := descriptors()
	t.Cleanup(func() {
		if t.Failed() {
			return // it ended before it had cleaned up
		}
		if err := ended(before, within); err != nil {
			t.Error(err)
		}
		if err := closed(files, within); err != nil {
			t.Error(err)
		}
	})
}

// ended waits until all goroutines have ended that were not there before.
func ended(before goleak.Option, within time.Duration) (err error) {
	for end := time.Now().Add(within); time.Now().Before(end); {
		if err = goleak.Find(before); err == nil { // it waits for a part of a second itself
			return nil
		}
	}
	return err
}

// closed waits until no more descriptors are open than before.
func closed(before map[string]string, within time.Duration) error {
	var left map[string]string
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(look) {
		if left = descriptors(); len(left) <= len(before) {
			return nil
		}
	}
	for name := range before {
		delete(left, name)
	}
	return fmt.Errorf("descriptors are left open: %v", left)
}

// descriptors are those that the process has open, with what they lead to; none where the system does not tell.
func descriptors() map[string]string {
	const folder = "/proc/self/fd"
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil
	}
	all := map[string]string{}
	for _, e := range entries {
		if to, err := os.Readlink(folder + "/" + e.Name()); err == nil { // else it is the folder's own, closed by now
			all[e.Name()] = to
		}
	}
	return all
}
