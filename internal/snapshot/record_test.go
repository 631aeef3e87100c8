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

var errNth = errors.New("this call fails")

// nth is a file system whose nth call fails; 0: none.
type nth struct {
	OSFS
	n, calls int
}

func (f *nth) fails() error {
	if f.calls++; f.calls == f.n {
		return errNth
	}
	return nil
}

func (f *nth) CreateTemp(dir, pattern string) (File, error) {
	if err := f.fails(); err != nil {
		return nil, err
	}
	file, err := f.OSFS.CreateTemp(dir, pattern)
	return &nthFile{file, f}, err
}

func (f *nth) Rename(from, to string) error { return errors.Join(f.fails(), f.OSFS.Rename(from, to)) }

func (f *nth) SyncDir(dir string) error { return errors.Join(f.fails(), f.OSFS.SyncDir(dir)) }

func (f *nth) Remove(name string) error { return errors.Join(f.fails(), f.OSFS.Remove(name)) }

type nthFile struct {
	File
	fs *nth
}

// Write is cut in its middle where it fails.
func (f *nthFile) Write(b []byte) (int, error) {
	if err := f.fs.fails(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *nthFile) Chmod(m os.FileMode) error { return errors.Join(f.fs.fails(), f.File.Chmod(m)) }
func (f *nthFile) Sync() error               { return errors.Join(f.fs.fails(), f.File.Sync()) }
func (f *nthFile) Close() error              { return errors.Join(f.File.Close(), f.fs.fails()) }

func image(count uint64) *recovery.Snapshot {
	return &recovery.Snapshot{Name: "me", Version: recovery.SnapshotVersion{Lineage: 1, Sequence: count}, Interval: time.Second, ServedRate: 3,
		TakenAt: recovery.ClockReading{Wall: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), BootID: "b", Uptime: time.Hour},
		Buckets: []recovery.Bucket{{Key: 1<<36 - 1, Plan: "p", FirstGateway: 2, GatewayCount: 3, Fill: 0.75}}, Peers: map[string]recovery.PeerSummary{"o": {ServedRate: 2}}}
}

// TestEachCallFails: whichever call of a write fails, what stands on the disk is the former image or the next one, whole, nothing else is
// left beside it, and the next write goes through.
func TestEachCallFails(t *testing.T) {
	for n := 1; ; n++ {
		name := filepath.Join(t.TempDir(), "power")
		if _, err := Write(OSFS{}, name, image(1)); err != nil {
			t.Fatal(err)
		}
		f := &nth{n: n}
		_, err := Write(f, name, image(2))
		img, verdict, errLoad := Load(OSFS{}, name)
		if verdict != recovery.SnapshotValid || errLoad != nil || err == nil && img.Version.Sequence != 2 {
			t.Fatalf("call %d fails: %v; %v, %v", n, err, verdict, errLoad)
		}
		if left, _ := filepath.Glob(name + ".*"); len(left) > 0 {
			t.Errorf("call %d fails: %v is left behind", n, left)
		}
		if _, err := Write(OSFS{}, name, image(3)); err != nil {
			t.Errorf("after call %d failed: %v", n, err)
		}
		if err == nil {
			if n-1 != 7 { // make, write, set the mode, sync, close, rename, sync the folder
				t.Errorf("%d calls could fail, want 7", n-1)
			}
			return
		}
	}
}

// TestTornAnywhere: an image that was cut at any byte, has any byte changed or more behind it is told to be spoilt, set aside with nothing
// lost, and is no reason not to start.
func TestTornAnywhere(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "power")
	if _, err := Write(OSFS{}, name, image(1)); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	spoilt := [][]byte{append(append([]byte(nil), whole...), 0)}
	for i := range whole {
		changed := append([]byte(nil), whole...)
		changed[i] ^= 0x10
		spoilt = append(spoilt, whole[:i], changed)
	}
	for i, b := range spoilt {
		if err := os.WriteFile(name, b, fileMode); err != nil {
			t.Fatal(err)
		}
		img, verdict, err := Load(OSFS{}, name)
		if img != nil || verdict != recovery.SnapshotCorrupt || !errors.Is(err, ErrCorrupt) {
			t.Fatalf("case %d: %+v, %v, %v", i, img, verdict, err)
		}
		if kept, err := os.ReadFile(name + aside); err != nil || string(kept) != string(b) {
			t.Fatalf("case %d: what was spoilt is lost: %v", i, err)
		}
		if _, verdict, err := Load(OSFS{}, name); verdict != recovery.SnapshotMissing || err != nil {
			t.Fatalf("case %d: then %v, %v", i, verdict, err)
		}
	}
	t.Logf("%d spoilt images", len(spoilt))
}

func TestLockIsOneProcess(t *testing.T) {
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

// stalled is a file system whose files do not sync until they are let go.
type stalled struct {
	OSFS
	reached, let chan struct{}
}

func (f stalled) CreateTemp(dir, pattern string) (File, error) {
	file, err := f.OSFS.CreateTemp(dir, pattern)
	return stalledFile{file, f}, err
}

type stalledFile struct {
	File
	fs stalled
}

func (f stalledFile) Sync() error {
	f.fs.reached <- struct{}{}
	<-f.fs.let
	return f.File.Sync()
}

func keeper(fsys FS, name string, most int) *Store {
	now := image(0).TakenAt
	return NewStore(Config{FS: fsys, Path: name, Interval: time.Millisecond, MaxCustomers: most, Member: "me", Incarnation: 7,
		Plans: []decide.Plan{{Name: "p", Rate: 1, Burst: 10}}, Clock: func() recovery.ClockReading { return now }}, slog.New(slog.DiscardHandler))
}

// TestStalledDiskHoldsNobody: while the disk takes nothing, what changes is noted at once, and others are told; then it is kept.
func TestStalledDiskHoldsNobody(t *testing.T) {
	f := stalled{reached: make(chan struct{}, 100), let: make(chan struct{})}
	name := filepath.Join(t.TempDir(), "power")
	k := keeper(f, name, 100)
	k.StartWriting(false)
	k.RecordChanges([]decide.BucketSnapshot{{Key: 1, Fill: 0.5}}, 1, 0)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.Run(ctx)
	}()
	<-f.reached
	for i := range 50 { // would never return if the keeper held its lock over the disk's wait
		k.RecordChanges([]decide.BucketSnapshot{{Key: uint64(i), Fill: 0.6}}, 2, 0)
	}
	if img := k.Snapshot(); len(img.Buckets) != 50 || img.Version.Sequence != 0 {
		t.Errorf("%d customers, %d images on the disk", len(img.Buckets), img.Version.Sequence)
	}
	close(f.let)
	stop()
	<-ended
	if img, err := Read(OSFS{}, name); err != nil || len(img.Buckets) != 50 || img.Version.Lineage != 7 || img.Version.Sequence != 2 {
		t.Errorf("%+v, %v", img, err)
	}
}

// TestKeeperIsBounded: where there are more customers than it may keep the emptiest go, and it says how many.
func TestKeeperIsBounded(t *testing.T) {
	k := keeper(OSFS{}, "", 80)
	k.StartWriting(false)
	for i := range 1000 {
		k.RecordChanges([]decide.BucketSnapshot{{Key: uint64(i), Fill: float64(i%100) / 100}, {Key: 9000, Plan: 5}}, 0, 0)
		if i%50 == 49 {
			k.Snapshot()
		}
	}
	for i := range 1000 { // with nobody who looks, as while a disk stalls
		k.RecordChanges([]decide.BucketSnapshot{{Key: uint64(2000 + i), Fill: 0.01}}, 0, 0)
	}
	if n := len(k.pending); n > 80 {
		t.Errorf("%d customers wait to be taken in", n)
	}
	img := k.Snapshot()
	least := 1.0
	for _, b := range img.Buckets {
		least = min(least, b.Fill)
	}
	if s := k.Stats(); len(img.Buckets) > 80 || s.Customers > 80 || s.Dropped == 0 || least < 0.5 {
		t.Errorf("%d customers, the emptiest %.2f full, %+v", len(img.Buckets), least, s)
	}
}

// full fails as long as it is told to.
type full struct {
	OSFS
	on *bool
}

func (f full) CreateTemp(dir, pattern string) (File, error) {
	if *f.on {
		return nil, errNth
	}
	return f.OSFS.CreateTemp(dir, pattern)
}

// TestFullDisk: while the disk is full the former image stays and the failure is one line; then all that changed meanwhile is kept, and a
// process that has not taken what was before writes nothing over it.
func TestFullDisk(t *testing.T) {
	on, name := false, filepath.Join(t.TempDir(), "power")
	var log strings.Builder
	k := keeper(full{on: &on}, name, 100)
	k.log = slog.New(slog.NewTextHandler(io.Writer(&log), nil))
	k.SetPrevious(image(5))
	k.SetPeers(map[string]recovery.PeerSummary{"x": {}})
	if k.write(); k.Stats().Writes != 0 {
		t.Error("it writes before what was there is taken")
	}
	k.StartWriting(true)
	k.write()
	on = true
	for range 3 {
		k.RecordChanges([]decide.BucketSnapshot{{Key: 1, Fill: 0.5}}, 1, 0)
		k.write()
	}
	if img, err := Read(OSFS{}, name); err != nil || len(img.Buckets) != 0 || img.Version.Sequence != 6 {
		t.Errorf("%+v, %v", img, err)
	}
	on = false
	k.write()
	img, err := Read(OSFS{}, name)
	if err != nil || len(img.Buckets) != 1 || img.Version != (recovery.SnapshotVersion{Lineage: 1, Sequence: 7}) {
		t.Errorf("%+v, %v", img, err)
	}
	if n := strings.Count(log.String(), "level=ERROR"); n != 1 || !strings.Contains(log.String(), "kept again") || k.Stats().Failures != 3 {
		t.Errorf("%d failures of 3 are logged: %s", n, log.String())
	}
}
