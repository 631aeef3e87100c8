package snapshot

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/recovery"
)

var errInjected = errors.New("injected failure")

// failNthFS is a file system whose nth call fails; 0: none.
type failNthFS struct {
	OSFS
	n, calls int
}

func (f *failNthFS) nextError() error {
	if f.calls++; f.calls == f.n {
		return errInjected
	}
	return nil
}

func (f *failNthFS) CreateTemp(dir, pattern string) (File, error) {
	if err := f.nextError(); err != nil {
		return nil, err
	}
	file, err := f.OSFS.CreateTemp(dir, pattern)
	return &failNthFile{file, f}, err
}

func (f *failNthFS) Rename(from, to string) error {
	return errors.Join(f.nextError(), f.OSFS.Rename(from, to))
}

func (f *failNthFS) SyncDir(dir string) error { return errors.Join(f.nextError(), f.OSFS.SyncDir(dir)) }

func (f *failNthFS) Remove(name string) error { return errors.Join(f.nextError(), f.OSFS.Remove(name)) }

type failNthFile struct {
	File
	fs *failNthFS
}

// Write writes half of b if it fails.
func (f *failNthFile) Write(b []byte) (int, error) {
	if err := f.fs.nextError(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *failNthFile) Chmod(m os.FileMode) error {
	return errors.Join(f.fs.nextError(), f.File.Chmod(m))
}
func (f *failNthFile) Sync() error  { return errors.Join(f.fs.nextError(), f.File.Sync()) }
func (f *failNthFile) Close() error { return errors.Join(f.File.Close(), f.fs.nextError()) }

func testSnapshot(count uint64) *recovery.Snapshot {
	return &recovery.Snapshot{Name: "me", Version: recovery.SnapshotVersion{Lineage: 1, Sequence: count}, Interval: time.Second, ServedRate: 3,
		TakenAt: recovery.ClockReading{Wall: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), BootID: "b", Uptime: time.Hour},
		Buckets: []recovery.Bucket{{Key: 1<<36 - 1, Plan: "p", FirstGateway: 2, GatewayCount: 3, Fill: 0.75}}, Peers: map[string]recovery.PeerSummary{"o": {ServedRate: 2}}}
}

// TestWriteWhenAnyCallFails checks that whichever file system call of a Write fails, the disk holds the previous snapshot or the new one,
// whole, no other file is left behind, and the next Write succeeds.
func TestWriteWhenAnyCallFails(t *testing.T) {
	for n := 1; ; n++ {
		name := filepath.Join(t.TempDir(), "power")
		if _, err := Write(OSFS{}, name, testSnapshot(1)); err != nil {
			t.Fatal(err)
		}
		f := &failNthFS{n: n}
		_, err := Write(f, name, testSnapshot(2))
		snap, status, errLoad := Load(OSFS{}, name)
		if status != recovery.SnapshotValid || errLoad != nil || err == nil && snap.Version.Sequence != 2 {
			t.Fatalf("call %d fails: %v; %v, %v", n, err, status, errLoad)
		}
		if left, _ := filepath.Glob(name + ".*"); len(left) > 0 {
			t.Errorf("call %d fails: %v is left behind", n, left)
		}
		if _, err := Write(OSFS{}, name, testSnapshot(3)); err != nil {
			t.Errorf("after call %d failed: %v", n, err)
		}
		if err == nil {
			if n-1 != 7 { // create, write, chmod, sync, close, rename, sync the directory
				t.Errorf("%d calls could fail, want 7", n-1)
			}
			return
		}
	}
}

// TestCorruptSnapshotIsSetAside checks that a file cut at any byte, with any byte changed or with a byte appended is reported as corrupt and
// renamed with its contents intact, and that the next Load finds no file.
func TestCorruptSnapshotIsSetAside(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "power")
	if _, err := Write(OSFS{}, name, testSnapshot(1)); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	corrupt := [][]byte{append(append([]byte(nil), whole...), 0)}
	for i := range whole {
		changed := append([]byte(nil), whole...)
		changed[i] ^= 0x10
		corrupt = append(corrupt, whole[:i], changed)
	}
	for i, b := range corrupt {
		if err := os.WriteFile(name, b, fileMode); err != nil {
			t.Fatal(err)
		}
		snap, status, err := Load(OSFS{}, name)
		if snap != nil || status != recovery.SnapshotCorrupt || !errors.Is(err, ErrCorrupt) {
			t.Fatalf("case %d: %+v, %v, %v", i, snap, status, err)
		}
		if setAside, err := os.ReadFile(name + unusableSuffix); err != nil || string(setAside) != string(b) {
			t.Fatalf("case %d: the corrupt file is lost: %v", i, err)
		}
		if _, status, err := Load(OSFS{}, name); status != recovery.SnapshotMissing || err != nil {
			t.Fatalf("case %d: second Load: %v, %v", i, status, err)
		}
	}
	t.Logf("%d corrupt files", len(corrupt))
}

func TestLockIsExclusive(t *testing.T) {
	name := filepath.Join(t.TempDir(), "power.lock")
	f, err := Lock(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(name); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("locked twice: %v", err)
	}
	f.Close()
	if f, err = Lock(name); err != nil {
		t.Error(err)
	}
	f.Close()
}

// stalledFS is a file system whose files block in Sync until release is closed.
type stalledFS struct {
	OSFS
	syncing, release chan struct{}
}

func (f stalledFS) CreateTemp(dir, pattern string) (File, error) {
	file, err := f.OSFS.CreateTemp(dir, pattern)
	return stalledFSFile{file, f}, err
}

type stalledFSFile struct {
	File
	fs stalledFS
}

func (f stalledFSFile) Sync() error {
	f.fs.syncing <- struct{}{}
	<-f.fs.release
	return f.File.Sync()
}

// newTestStore returns a Store whose clock stands still, so that no bucket leaks.
func newTestStore(fsys FS, name string, maxCustomers int) *Store {
	now := testSnapshot(0).TakenAt
	return NewStore(Config{FS: fsys, Path: name, Interval: time.Millisecond, MaxCustomers: maxCustomers, Member: "me", Incarnation: 7,
		Plans: []decide.Plan{{Name: "p", Rate: 1, Burst: 10}}, Clock: func() recovery.ClockReading { return now }}, slog.New(slog.DiscardHandler))
}

// TestStalledDiskDoesNotBlock checks that RecordChanges and Snapshot don't block while the disk stalls, and that the changes are written
// when it recovers.
func TestStalledDiskDoesNotBlock(t *testing.T) {
	fsys := stalledFS{syncing: make(chan struct{}, 100), release: make(chan struct{})}
	name := filepath.Join(t.TempDir(), "power")
	s := newTestStore(fsys, name, 100)
	s.StartWriting(false)
	s.RecordChanges([]decide.BucketSnapshot{{Key: 1, Fill: 0.5}}, 1, 0)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	<-fsys.syncing
	for i := range 50 { // would never return if the Store held its lock during a write
		s.RecordChanges([]decide.BucketSnapshot{{Key: uint64(i), Fill: 0.6}}, 2, 0)
	}
	if snap := s.Snapshot(); len(snap.Buckets) != 50 || snap.Version.Sequence != 0 {
		t.Errorf("%d customers, %d snapshots on disk", len(snap.Buckets), snap.Version.Sequence)
	}
	close(fsys.release)
	stop()
	<-done
	if snap, err := Read(OSFS{}, name); err != nil || len(snap.Buckets) != 50 || snap.Version.Lineage != 7 || snap.Version.Sequence != 2 {
		t.Errorf("%+v, %v", snap, err)
	}
}

// TestStoreIsBounded checks that beyond MaxCustomers the emptiest buckets are dropped and counted, also while no pass over all buckets
// takes in the pending ones.
func TestStoreIsBounded(t *testing.T) {
	s := newTestStore(OSFS{}, "", 80)
	s.StartWriting(false)
	for i := range 1000 {
		s.RecordChanges([]decide.BucketSnapshot{{Key: uint64(i), Fill: float64(i%100) / 100}, {Key: 9000, Plan: 5}}, 0, 0)
		if i%50 == 49 {
			s.Snapshot()
		}
	}
	for i := range 1000 { // without Snapshot, as while the disk stalls
		s.RecordChanges([]decide.BucketSnapshot{{Key: uint64(2000 + i), Fill: 0.01}}, 0, 0)
	}
	if n := len(s.pending); n > 80 {
		t.Errorf("%d customers are pending", n)
	}
	snap := s.Snapshot()
	minFill := 1.0
	for _, b := range snap.Buckets {
		minFill = min(minFill, b.Fill)
	}
	if stats := s.Stats(); len(snap.Buckets) > 80 || stats.Customers > 80 || stats.Dropped == 0 || minFill < 0.5 {
		t.Errorf("%d customers, the emptiest %.2f full, %+v", len(snap.Buckets), minFill, stats)
	}
}

// fullDiskFS creates no files while full is set.
type fullDiskFS struct {
	OSFS
	full *bool
}

func (f fullDiskFS) CreateTemp(dir, pattern string) (File, error) {
	if *f.full {
		return nil, errInjected
	}
	return f.OSFS.CreateTemp(dir, pattern)
}

// TestFullDisk checks that while the disk is full the previous snapshot stays and one failure is logged, and that the next write contains
// all changes since. It also checks that nothing is written before StartWriting, which would overwrite the state from before the start.
func TestFullDisk(t *testing.T) {
	full, name := false, filepath.Join(t.TempDir(), "power")
	var log strings.Builder
	s := newTestStore(fullDiskFS{full: &full}, name, 100)
	s.log = slog.New(slog.NewTextHandler(io.Writer(&log), nil))
	s.SetPrevious(testSnapshot(5))
	s.SetPeers(map[string]recovery.PeerSummary{"x": {}})
	if s.write(); s.Stats().Writes != 0 {
		t.Error("a snapshot is written before StartWriting")
	}
	s.StartWriting(true)
	s.write()
	full = true
	for range 3 {
		s.RecordChanges([]decide.BucketSnapshot{{Key: 1, Fill: 0.5}}, 1, 0)
		s.write()
	}
	if snap, err := Read(OSFS{}, name); err != nil || len(snap.Buckets) != 0 || snap.Version.Sequence != 6 {
		t.Errorf("%+v, %v", snap, err)
	}
	full = false
	s.write()
	snap, err := Read(OSFS{}, name)
	if err != nil || len(snap.Buckets) != 1 || snap.Version != (recovery.SnapshotVersion{Lineage: 1, Sequence: 7}) {
		t.Errorf("%+v, %v", snap, err)
	}
	if n := strings.Count(log.String(), "level=ERROR"); n != 1 || !strings.Contains(log.String(), "kept again") || s.Stats().Failures != 3 {
		t.Errorf("%d log lines for 3 failures, want 1: %s", n, log.String())
	}
}
