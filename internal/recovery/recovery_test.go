package recovery

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
)

var plans = []decide.Plan{{Name: "small", Rate: 2, Burst: 10}, {Name: "large", Rate: 20, Burst: 40}}

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

const (
	snapshotInterval = 250 * time.Millisecond
	uptimeSeconds    = 0.5 // uptimeIntervals times snapshotInterval
)

// diskSnapshot is the snapshot on disk: taken at noon under boot "a", with a customer of each plan and one of a plan that is gone.
func diskSnapshot() *Snapshot {
	return &Snapshot{Name: "me", Version: SnapshotVersion{Lineage: 5, Sequence: 100}, TakenAt: ClockReading{Wall: noon, BootID: "a", Uptime: time.Hour}, Interval: snapshotInterval, ServedRate: 30,
		Buckets: []Bucket{{Key: 1, Plan: "small", Fill: 1}, {Key: 2, Plan: "large", Fill: 0.5}, {Key: 3, Plan: "gone", Fill: 1}},
		Peers:   map[string]PeerSummary{"other": {Version: SnapshotVersion{1, 7}, ReportedAtMs: noon.UnixMilli(), ServedRate: 12}}}
}

// startClocks are clock readings at a start, with the downtime that they show.
var startClocks = map[string]struct {
	now       ClockReading
	downtime  time.Duration
	wallUnset bool // the snapshot was written under a clock that was never set
}{
	"same boot, 3 s":               {ClockReading{noon.Add(time.Hour), "a", time.Hour + 3*time.Second}, 3 * time.Second, false},
	"same boot, clock back":        {ClockReading{noon.Add(-time.Hour), "a", time.Hour + 3*time.Second}, 3 * time.Second, false},
	"other boot, 3 s":              {ClockReading{noon.Add(3 * time.Second), "b", time.Second}, 3 * time.Second, false},
	"other boot, an hour back":     {ClockReading{noon.Add(-time.Hour), "b", time.Second}, 0, false},
	"other boot, clock unset":      {ClockReading{time.Unix(5, 0), "b", time.Second}, 0, false},
	"boot unknown, 3 s":            {ClockReading{noon.Add(3 * time.Second), "", 0}, 3 * time.Second, false},
	"other boot, a week":           {ClockReading{noon.Add(7 * 24 * time.Hour), "b", time.Second}, 7 * 24 * time.Hour, false},
	"written under an unset clock": {ClockReading{noon.Add(3 * time.Second), "b", time.Second}, 0, true},
	"within one snapshot interval": {ClockReading{noon.Add(snapshotInterval), "b", time.Second}, snapshotInterval, false},
}

// peerSnapshots are messages of peers: two of one peer, and one that claims this member's name.
var peerSnapshots = []PeerSnapshot{
	{Name: "in service", Version: SnapshotVersion{1, 1}, ServedRate: 5, Buckets: []Bucket{{Key: 2, Plan: "large", Fill: 0.9}, {Key: 4, Plan: "small", Fill: 0.3}}},
	{Name: "in service", Version: SnapshotVersion{1, 2}, ServedRate: 6, Buckets: []Bucket{{Key: 2, Plan: "large", Fill: 0.7}}},
	{Name: "recovering", Version: SnapshotVersion{2, 9}, Recovering: true, Buckets: []Bucket{{Key: 1, Plan: "small", Fill: 0.2}, {Key: 5, Plan: "gone", Fill: 1}}},
	{Name: "knows a later version", Version: SnapshotVersion{3, 1}, Recovering: true, Peers: map[string]PeerSummary{"me": {Version: SnapshotVersion{5, 101}, ServedRate: 30}}},
	{Name: "knows an earlier version", Version: SnapshotVersion{3, 1}, Recovering: true, Peers: map[string]PeerSummary{"me": {Version: SnapshotVersion{5, 99}, ServedRate: 30}}},
	{Name: "me", Version: SnapshotVersion{9, 9}, Buckets: []Bucket{{Key: 9, Plan: "small", Fill: 1}}},
}

// orderedSubsets returns all orders of all subsets of 0 to n-1.
func orderedSubsets(n int) (subsets [][]int) {
	var extend func(prefix []int)
	extend = func(prefix []int) {
		subsets = append(subsets, append([]int(nil), prefix...))
	next:
		for i := range n {
			for _, d := range prefix {
				if d == i {
					continue next
				}
			}
			extend(append(prefix, i))
		}
	}
	extend(nil)
	return subsets
}

// TestResolveInEveryOrder checks, for each kind of disk and clock and for every order of every subset of the peers' snapshots, that the
// restored state doesn't depend on the order, that a bucket is as full as in a valid disk or a peer's snapshot, and that a stale disk
// isn't used.
func TestResolveInEveryOrder(t *testing.T) {
	count := 0
	disks := map[string]func() (*Snapshot, SnapshotStatus){
		"valid":   func() (*Snapshot, SnapshotStatus) { return diskSnapshot(), SnapshotValid },
		"missing": func() (*Snapshot, SnapshotStatus) { return nil, SnapshotMissing },
		"corrupt": func() (*Snapshot, SnapshotStatus) { return nil, SnapshotCorrupt },
		"foreign": func() (*Snapshot, SnapshotStatus) { i := diskSnapshot(); i.Name = "neighbour"; return i, SnapshotValid },
	}
	for clock, at := range startClocks {
		for disk, load := range disks {
			first := map[string]RestoredState{}
			for _, order := range orderedSubsets(len(peerSnapshots)) {
				count++
				snapshot, status := load()
				if snapshot != nil && at.wallUnset {
					snapshot.TakenAt.Wall = time.Unix(7, 0)
				}
				c := NewCollector(LocalMember{"me", plans}, at.now, snapshot, status)
				var received [6]bool
				for _, i := range order {
					c.AddPeerSnapshot(peerSnapshots[i])
					received[i] = true
				}
				restored := c.Resolve(at.now)
				name := fmt.Sprint(clock, ", disk ", disk, ", peer snapshots ", order)
				if old, ok := first[fmt.Sprint(received)]; !ok {
					first[fmt.Sprint(received)] = restored
				} else if !reflect.DeepEqual(old, restored) {
					t.Fatalf("%s: %+v, in another order %+v", name, restored, old)
				}
				checkRestored(t, name, disk, at.downtime, received, c, restored)
			}
		}
	}
	t.Logf("%d starts checked", count)
}

func checkRestored(t *testing.T, name, disk string, downtime time.Duration, received [6]bool, c *Collector, restored RestoredState) {
	t.Helper()
	want := map[string]SnapshotStatus{"valid": SnapshotValid, "missing": SnapshotMissing, "corrupt": SnapshotCorrupt, "foreign": SnapshotForeign}[disk]
	if want == SnapshotValid && received[3] {
		want = SnapshotStale
	}
	wantFill, leaked := map[uint64]float64{}, 0.0
	if want == SnapshotValid {
		leaked = max(0, downtime.Seconds()-uptimeSeconds)
		wantFill[1], wantFill[2] = max(0, 1-leaked*2/10), max(0, 0.5-leaked*20/40)
	}
	switch { // the later snapshot of a peer replaces the earlier one
	case received[1]:
		wantFill[2] = max(wantFill[2], 0.7)
	case received[0]:
		wantFill[2], wantFill[4] = max(wantFill[2], 0.9), 0.3
	}
	if received[2] {
		wantFill[1] = max(wantFill[1], 0.2)
	}
	got := map[uint64]float64{}
	for _, bucket := range restored.Event.Buckets {
		got[bucket.Key] = bucket.Fill
	}
	for key, fill := range wantFill {
		if diff := got[key] - fill; diff < -1e-9 || diff > 1e-9 {
			t.Fatalf("%s: customer %d is %.3f full, want %.3f", name, key, got[key], fill)
		}
	}
	for key := range got {
		if _, ok := wantFill[key]; !ok {
			t.Fatalf("%s: customer %d is in no snapshot", name, key)
		}
	}
	if restored.SnapshotStatus != want || restored.Event.LeakedSeconds != leaked {
		t.Fatalf("%s: disk %v, want %v; LeakedSeconds %v, want %v", name, restored.SnapshotStatus, want, restored.Event.LeakedSeconds, leaked)
	}
	if c.PeerInService() != (received[0] || received[1]) {
		t.Fatalf("%s: PeerInService is %v", name, c.PeerInService())
	}
}

// TestFleetServedRate checks that the rate before the start sums this member's from disk and the others' as reported by themselves or by
// another member, and that old rates don't count.
func TestFleetServedRate(t *testing.T) {
	for clock, want := range map[string]float64{"other boot, 3 s": 30 + 12 + 6, "other boot, a week": 0, "other boot, clock unset": 30 + 12 + 6} {
		now := startClocks[clock].now
		c := NewCollector(LocalMember{"me", plans}, now, diskSnapshot(), SnapshotValid)
		c.AddPeerSnapshot(PeerSnapshot{Name: "in service", Version: SnapshotVersion{1, 2}, ReportedAtMs: noon.UnixMilli(), ServedRate: 6})
		if restored := c.Resolve(now); restored.FleetServedRate != want {
			t.Errorf("%s: %v units a second, want %v", clock, restored.FleetServedRate, want)
		}
	}
}

// TestPeerSnapshotsAreBounded checks that peers can't make a Collector exceed its limits, and that IgnorePeerBuckets drops their buckets.
func TestPeerSnapshotsAreBounded(t *testing.T) {
	c := NewCollector(LocalMember{"me", plans}, startClocks["other boot, 3 s"].now, nil, SnapshotMissing)
	many := make([]Bucket, 4*maxSharedBuckets)
	for i := range many {
		many[i] = Bucket{Key: uint64(i), Plan: "small", Fill: 1}
	}
	for i := range 2 * maxPeerSummaries {
		c.AddPeerSnapshot(PeerSnapshot{Name: fmt.Sprint("m", i), Version: SnapshotVersion{1, 1}, Buckets: many})
	}
	buckets := 0
	for _, p := range c.snapshots {
		buckets += len(p.Buckets)
	}
	if len(c.snapshots) > maxPeerSummaries || len(c.summaries) > maxPeerSummaries || buckets > maxBucketPeers*maxSharedBuckets {
		t.Errorf("%d snapshots, %d summaries, %d buckets are kept", len(c.snapshots), len(c.summaries), buckets)
	}
	c.IgnorePeerBuckets()
	c.AddPeerSnapshot(PeerSnapshot{Name: "m0", Version: SnapshotVersion{1, 2}, Buckets: many})
	if n := len(c.Resolve(startClocks["other boot, 3 s"].now).Event.Buckets); n != 0 {
		t.Errorf("%d buckets are taken after IgnorePeerBuckets", n)
	}
}

// TestStateKindsMatchDesignDoc checks that the table of the design document has a row for each kind of state, and no empty cell.
func TestStateKindsMatchDesignDoc(t *testing.T) {
	doc, err := os.ReadFile("../../docs/design/power.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range StateKinds {
		if !strings.Contains(string(doc), "\n| "+k.Name+" |") {
			t.Errorf("docs/design/power.md has no row for %q", k.Name)
		}
	}
	for i, line := range strings.Split(string(doc), "\n") {
		if strings.HasPrefix(line, "| ") && strings.Count(line, "|") == 8 && strings.Contains(line, "| |") {
			t.Errorf("docs/design/power.md, line %d: empty cell", i+1)
		}
	}
}
