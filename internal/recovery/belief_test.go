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
	every  = 250 * time.Millisecond
	lightS = 0.5 // seconds: lightFor times every
)

// written is what a member's disk holds: a full customer of each plan, written at noon under the first boot.
func written() *Snapshot {
	return &Snapshot{Name: "me", Version: SnapshotVersion{Lineage: 5, Sequence: 100}, TakenAt: ClockReading{Wall: noon, BootID: "a", Uptime: time.Hour}, Interval: every, ServedRate: 30,
		Buckets: []Bucket{{Key: 1, Plan: "small", Fill: 1}, {Key: 2, Plan: "large", Fill: 0.5}, {Key: 3, Plan: "gone", Fill: 1}},
		Peers:   map[string]PeerSummary{"other": {Version: SnapshotVersion{1, 7}, ReportedAtMs: noon.UnixMilli(), ServedRate: 12}}}
}

// starts are the clocks at a start, and how long it was dark then, as far as they tell.
var starts = map[string]struct {
	now   ClockReading
	dark  time.Duration
	unset bool // the image was written under a clock that was never set
}{
	"same boot, 3 s":                {ClockReading{noon.Add(time.Hour), "a", time.Hour + 3*time.Second}, 3 * time.Second, false},
	"same boot, clock back":         {ClockReading{noon.Add(-time.Hour), "a", time.Hour + 3*time.Second}, 3 * time.Second, false},
	"other boot, 3 s":               {ClockReading{noon.Add(3 * time.Second), "b", time.Second}, 3 * time.Second, false},
	"other boot, an hour back":      {ClockReading{noon.Add(-time.Hour), "b", time.Second}, 0, false},
	"other boot, never set":         {ClockReading{time.Unix(5, 0), "b", time.Second}, 0, false},
	"no boot known, 3 s":            {ClockReading{noon.Add(3 * time.Second), "", 0}, 3 * time.Second, false},
	"other boot, a week":            {ClockReading{noon.Add(7 * 24 * time.Hour), "b", time.Second}, 7 * 24 * time.Hour, false},
	"written by a clock never set":  {ClockReading{noon.Add(3 * time.Second), "b", time.Second}, 0, true},
	"before the light of snapshots": {ClockReading{noon.Add(every), "b", time.Second}, every, false},
}

// words are what others may tell.
var words = []PeerSnapshot{
	{Name: "living", Version: SnapshotVersion{1, 1}, ServedRate: 5, Buckets: []Bucket{{Key: 2, Plan: "large", Fill: 0.9}, {Key: 4, Plan: "small", Fill: 0.3}}},
	{Name: "living", Version: SnapshotVersion{1, 2}, ServedRate: 6, Buckets: []Bucket{{Key: 2, Plan: "large", Fill: 0.7}}},
	{Name: "recovering", Version: SnapshotVersion{2, 9}, Recovering: true, Buckets: []Bucket{{Key: 1, Plan: "small", Fill: 0.2}, {Key: 5, Plan: "gone", Fill: 1}}},
	{Name: "knows me", Version: SnapshotVersion{3, 1}, Recovering: true, Peers: map[string]PeerSummary{"me": {Version: SnapshotVersion{5, 101}, ServedRate: 30}}},
	{Name: "knew me", Version: SnapshotVersion{3, 1}, Recovering: true, Peers: map[string]PeerSummary{"me": {Version: SnapshotVersion{5, 99}, ServedRate: 30}}},
	{Name: "me", Version: SnapshotVersion{9, 9}, Buckets: []Bucket{{Key: 9, Plan: "small", Fill: 1}}},
}

// orders are all orders of all subsets of so many things.
func orders(n int) (all [][]int) {
	var walk func(done []int)
	walk = func(done []int) {
		all = append(all, append([]int(nil), done...))
	next:
		for i := range n {
			for _, d := range done {
				if d == i {
					continue next
				}
			}
			walk(append(done, i))
		}
	}
	walk(nil)
	return all
}

// TestEveryOrderOfFacts: whatever the disk, the clocks and the others' words are, in every order of every subset of them, what is believed
// is the same in any order; never less than a trusted disk proves or another tells; never by a disk that is not this member's last.
func TestEveryOrderOfFacts(t *testing.T) {
	count := 0
	disks := map[string]func() (*Snapshot, SnapshotStatus){
		"kept":    func() (*Snapshot, SnapshotStatus) { return written(), SnapshotValid },
		"absent":  func() (*Snapshot, SnapshotStatus) { return nil, SnapshotMissing },
		"spoilt":  func() (*Snapshot, SnapshotStatus) { return nil, SnapshotCorrupt },
		"foreign": func() (*Snapshot, SnapshotStatus) { i := written(); i.Name = "neighbour"; return i, SnapshotValid },
	}
	for clock, at := range starts {
		for disk, make := range disks {
			first := map[string]RestoredState{}
			for _, order := range orders(len(words)) {
				count++
				img, v := make()
				if img != nil && at.unset {
					img.TakenAt.Wall = time.Unix(7, 0)
				}
				s := NewCollector(LocalMember{"me", plans}, at.now, img, v)
				var told [6]bool
				for _, i := range order {
					s.AddPeerSnapshot(words[i])
					told[i] = true
				}
				b := s.Resolve(at.now)
				name := fmt.Sprint(clock, ", disk ", disk, ", words ", order)
				if old, ok := first[fmt.Sprint(told)]; !ok {
					first[fmt.Sprint(told)] = b
				} else if !reflect.DeepEqual(old, b) {
					t.Fatalf("%s: %+v, in another order %+v", name, b, old)
				}
				check(t, name, disk, at.dark, told, s, b)
			}
		}
	}
	t.Logf("%d starts", count)
}

func check(t *testing.T, name, disk string, dark time.Duration, told [6]bool, s *Collector, b RestoredState) {
	t.Helper()
	want := map[string]SnapshotStatus{"kept": SnapshotValid, "absent": SnapshotMissing, "spoilt": SnapshotCorrupt, "foreign": SnapshotForeign}[disk]
	if want == SnapshotValid && told[3] {
		want = SnapshotStale
	}
	least, leaked := map[uint64]float64{}, 0.0
	if want == SnapshotValid {
		leaked = max(0, dark.Seconds()-lightS)
		least[1], least[2] = max(0, 1-leaked*2/10), max(0, 0.5-leaked*20/40)
	}
	switch { // of one member's words the later one counts
	case told[1]:
		least[2] = max(least[2], 0.7)
	case told[0]:
		least[2], least[4] = max(least[2], 0.9), 0.3
	}
	if told[2] {
		least[1] = max(least[1], 0.2)
	}
	got := map[uint64]float64{}
	for _, m := range b.Event.Buckets {
		got[m.Key] = m.Fill
	}
	for key, fill := range least {
		if d := got[key] - fill; d < -1e-9 || d > 1e-9 {
			t.Fatalf("%s: customer %d is %.3f full, want %.3f", name, key, got[key], fill)
		}
	}
	for key := range got {
		if _, ok := least[key]; !ok {
			t.Fatalf("%s: customer %d is known from nowhere", name, key)
		}
	}
	if b.SnapshotStatus != want || b.Event.LeakedSeconds != leaked {
		t.Fatalf("%s: disk %v, want %v; strangers' buckets leaked for %v s, want %v", name, b.SnapshotStatus, want, b.Event.LeakedSeconds, leaked)
	}
	if s.PeerInService() != (told[0] || told[1]) {
		t.Fatalf("%s: lit %v", name, s.PeerInService())
	}
}

// TestWorkBefore: what all answered before is this member's by its disk and the others' by their own word or another's; what is of long
// ago does not count.
func TestWorkBefore(t *testing.T) {
	for clock, want := range map[string]float64{"other boot, 3 s": 30 + 12 + 6, "other boot, a week": 0, "other boot, never set": 30 + 12 + 6} {
		now := starts[clock].now
		s := NewCollector(LocalMember{"me", plans}, now, written(), SnapshotValid)
		s.AddPeerSnapshot(PeerSnapshot{Name: "living", Version: SnapshotVersion{1, 2}, ReportedAtMs: noon.UnixMilli(), ServedRate: 6})
		if b := s.Resolve(now); b.FleetServedRate != want {
			t.Errorf("%s: %v units a second, want %v", clock, b.FleetServedRate, want)
		}
	}
}

// TestWordsAreBounded: others can't make a member that starts hold more than it says, and after the start their customers are passed over.
func TestWordsAreBounded(t *testing.T) {
	s := NewCollector(LocalMember{"me", plans}, starts["other boot, 3 s"].now, nil, SnapshotMissing)
	many := make([]Bucket, 4*tellMost)
	for i := range many {
		many[i] = Bucket{Key: uint64(i), Plan: "small", Fill: 1}
	}
	for i := range 2 * seenMost {
		s.AddPeerSnapshot(PeerSnapshot{Name: fmt.Sprint("m", i), Version: SnapshotVersion{1, 1}, Buckets: many})
	}
	held := 0
	for _, w := range s.words {
		held += len(w.Buckets)
	}
	if len(s.words) > seenMost || len(s.seen) > seenMost || held > wordsMost*tellMost {
		t.Errorf("%d words, %d seen, %d customers are held", len(s.words), len(s.seen), held)
	}
	s.IgnorePeerBuckets()
	s.AddPeerSnapshot(PeerSnapshot{Name: "m0", Version: SnapshotVersion{1, 2}, Buckets: many})
	if n := len(s.Resolve(starts["other boot, 3 s"].now).Event.Buckets); n != 0 {
		t.Errorf("%d customers are learned after the start", n)
	}
}

// TestKindsStandInTheNote: the rows of the design note are those of the code.
func TestKindsStandInTheNote(t *testing.T) {
	note, err := os.ReadFile("../../docs/design/power.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range StateKinds {
		if !strings.Contains(string(note), "\n| "+k.Name+" |") {
			t.Errorf("the note has no row for %q", k.Name)
		}
	}
	for i, line := range strings.Split(string(note), "\n") {
		if strings.HasPrefix(line, "| ") && strings.Count(line, "|") == 8 && strings.Contains(line, "| |") {
			t.Errorf("line %d of the note has an empty cell", i+1)
		}
	}
}
