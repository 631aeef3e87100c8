// Package recovery decides what a gateway that starts believes of the time before, and in which order it serves again. It is pure:
// what a disk held, what other members say and what the clocks show comes in as values; what counts comes out.
package recovery

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"sloepick/decide"
)

// StateKind is a kind of thing that a gateway knows, as a row of the design note's table.
type StateKind struct {
	Name          string
	Persisted     bool          // on the disk, by this package's image
	TrustedFor    time.Duration // for so long; 0: for as long as it takes to leak out, or until something newer says otherwise
	AgeClock      string        // by which its age is told
	Default       string        // what is taken where it is absent
	PeerRule      string        // a peer's word against the disk's
	WhenUncertain string        // to which side it falls
}

// StateKinds are the rows. docs/design/power.md has them in words; a test holds both together.
var StateKinds = []StateKind{
	{"own place and term", false, 0, "terms", "a new claim", "the higher term", "no place"},
	{"own images' line and count", true, 0, "counts", "a new line", "a later one proves the disk old", "an old disk"},
	{"own buckets", true, 0, "boot, else wall", "half full, leaking", "the fuller", "the fuller"},
	{"others' use of a customer", true, 0, "boot, else wall", "half full, leaking", "the fuller", "the fuller"},
	{"ceilings' stores", false, 0, "none", "empty", "not asked", "empty"},
	{"work answered before", true, workFor, "boot, else wall", "what others tell", "the disk's", "less"},
	{"what a warm node is sent", true, 0, "none", "one request at a time", "not asked", "less"},
	{"nodes: cold, draining, gone", false, 0, "discovery's", "the platform's list", "discovery's", "all cold"},
	{"nodes: slow, out of reach", false, 0, "none", "unknown", "the module's words", "tried anew"},
	{"list and its version", false, 0, "discovery's", "asked at once", "discovery's", "the older list"},
	{"open keyed requests", false, 0, "the nodes' window", "forgotten", "not asked", "may have run"},
	{"generation of the configuration", false, 0, "none", "read from its file", "shown", "one's own file"},
}

const (
	workFor   = 10 * time.Minute // what was answered longer ago says nothing of what comes now
	lightFor  = 2                // snapshots after the last one count as light: their requests may be lacking in it
	seenMost  = 4096             // members whose last life is kept
	wordsMost = 16               // members whose customers are learned
	tellMost  = 1024             // customers that are told to another member
	fillLeast = 0.01             // of a burst: less is not worth a word
)

// EarliestPlausibleTime is the first wall clock that is believed: one that was never set shows 1970.
var EarliestPlausibleTime = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// ClockReading is what clocks showed at one moment.
type ClockReading struct {
	Wall   time.Time
	BootID string        `cbor:"Boot"` // of the running system; "": not known
	Uptime time.Duration `cbor:"Up"`   // since that boot, sleep included
}

// Since is how long it was from another moment to this one, as far as that can be believed. Within one boot that boot's clock tells,
// whatever the wall clock was set to. Over a boot it is the wall clocks' difference, and nothing where one of them can't be right: then
// what was full stays full.
func (c ClockReading) Since(then ClockReading) time.Duration {
	if c.BootID != "" && c.BootID == then.BootID {
		return max(0, c.Uptime-then.Uptime)
	}
	if c.Wall.Before(EarliestPlausibleTime) || then.Wall.Before(EarliestPlausibleTime) {
		return 0
	}
	return max(0, c.Wall.Sub(then.Wall))
}

// Bucket is a customer's quota, so full as of its image's clock.
type Bucket struct {
	_            struct{} `cbor:",toarray"`
	Key          uint64
	Plan         string
	FirstGateway int
	GatewayCount int // gateways of its set; 0: not told
	Fill         float64
}

// SnapshotVersion numbers a member's images. A line of them begins where there was nothing to believe on the disk; within it they are counted. A
// disk that is behind what others heard of it is older than the member's last life.
type SnapshotVersion struct {
	Lineage  uint64 `cbor:"Line"` // the life in which it began
	Sequence uint64 `cbor:"Count"`
}

// Before reports that a mark is older than another.
func (m SnapshotVersion) Before(o SnapshotVersion) bool {
	return m.Lineage < o.Lineage || m.Lineage == o.Lineage && m.Sequence < o.Sequence
}

// PeerSummary is what is known of another member.
type PeerSummary struct {
	_            struct{}        `cbor:",toarray"`
	Version      SnapshotVersion // of its last image
	ReportedAtMs int64           // its own wall clock when it told so, in milliseconds since 1970
	ServedRate   float64         // units that it answered a second
}

// Snapshot is what a member keeps on its disk.
type Snapshot struct {
	Name           string
	Version        SnapshotVersion `cbor:"Mark"`
	TakenAt        ClockReading    `cbor:"Clock"`
	Interval       time.Duration   `cbor:"Every"` // from one to the next, with what the last one took to be on the disk
	ServedRate     float64         `cbor:"Work"`  // units that this member answered a second
	WarmServerRate float64         `cbor:"Sends"` // usual requests a second that it sent a warm node
	Buckets        []Bucket
	Peers          map[string]PeerSummary `cbor:"Seen"` // other members, by name
}

// PeerSnapshot is what a member tells another that starts.
type PeerSnapshot struct {
	Name         string
	Version      SnapshotVersion        `cbor:"Mark"` // of the last image that is on its disk
	ReportedAtMs int64                  `cbor:"Wall"` // as in Seen
	Recovering   bool                   // it is not in full service itself: what it knows is from its disk
	ServedRate   float64                `cbor:"Work"`
	Buckets      []Bucket               // the fullest
	Peers        map[string]PeerSummary `cbor:"Seen"`
}

// ForPeer is what this member would tell now.
func (m *Snapshot) ForPeer(now ClockReading, plans map[string]*decide.Plan, recovering bool) PeerSnapshot {
	w := PeerSnapshot{Name: m.Name, Version: m.Version, ReportedAtMs: m.TakenAt.Wall.UnixMilli(), Recovering: recovering, ServedRate: m.ServedRate, Peers: m.Peers}
	w.Buckets = Fullest(m.BucketsAfter(now.Since(m.TakenAt), plans), tellMost)
	return w
}

// BucketsAfter are the buckets that hold something after so much more time has leaked out of them.
func (m *Snapshot) BucketsAfter(dark time.Duration, plans map[string]*decide.Plan) (all []Bucket) {
	for _, b := range m.Buckets {
		if b, ok := b.AfterLeak(dark, plans[b.Plan]); ok {
			all = append(all, b)
		}
	}
	return all
}

// AfterLeak is a bucket from which so much more time has leaked, by its plan; false: nothing worth a word is left, or the plan is no more.
func (b Bucket) AfterLeak(dark time.Duration, p *decide.Plan) (Bucket, bool) {
	if p == nil || p.Rate <= 0 || p.Burst <= 0 {
		return b, false
	}
	b.Fill -= p.Rate * dark.Seconds() / p.Burst
	return b, b.Fill >= fillLeast
}

// Fullest are so many of the buckets at most, the fullest first.
func Fullest(all []Bucket, most int) []Bucket {
	slices.SortFunc(all, func(a, b Bucket) int { return cmp.Or(cmp.Compare(b.Fill, a.Fill), cmp.Compare(a.Key, b.Key)) })
	return all[:min(len(all), most)]
}

// SnapshotStatus is what became of a disk's image.
type SnapshotStatus int

// The verdicts.
const (
	SnapshotMissing SnapshotStatus = iota // there was none
	SnapshotCorrupt                       // it could not be read
	SnapshotForeign                       // another member wrote it
	SnapshotStale                         // another member knows a later one
	SnapshotValid
)

func (v SnapshotStatus) String() string {
	return [...]string{"absent", "can't be read", "another member's", "older than others know it", "believed"}[v]
}

// LocalMember is who starts.
type LocalMember struct {
	Name  string
	Plans []decide.Plan
}

// Collector gathers what is known of the time before, from the disk and from other members' words, until it is believed. Make it with
// Begin.
type Collector struct {
	self    LocalMember
	plans   map[string]*decide.Plan
	now     ClockReading // at the start
	img     *Snapshot
	verdict SnapshotStatus
	words   map[string]PeerSnapshot
	seen    map[string]PeerSummary
	lit     bool
	over    bool
}

// NewCollector takes what the disk held: img is nil where the verdict is Absent or Spoilt.
func NewCollector(self LocalMember, now ClockReading, img *Snapshot, verdict SnapshotStatus) *Collector {
	s := &Collector{self: self, plans: PlansByName(self.Plans), now: now, verdict: verdict, words: map[string]PeerSnapshot{}, seen: map[string]PeerSummary{}}
	if img == nil {
		return s
	}
	if img.Name != self.Name {
		s.verdict = SnapshotForeign
		return s
	}
	s.img, s.verdict = img, SnapshotValid
	s.learn(img.Peers)
	return s
}

// PlansByName are plans by their names.
func PlansByName(plans []decide.Plan) map[string]*decide.Plan {
	by := map[string]*decide.Plan{}
	for i := range plans {
		by[plans[i].Name] = &plans[i]
	}
	return by
}

// learn keeps the latest word of each member.
func (s *Collector) learn(all map[string]PeerSummary) {
	for name, v := range all {
		if old, ok := s.seen[name]; !ok && len(s.seen) < seenMost || ok && old.Version.Before(v.Version) {
			s.seen[name] = v
		}
	}
}

// AddPeerSnapshot takes what another member tells. It reports whether anything is new.
func (s *Collector) AddPeerSnapshot(w PeerSnapshot) (news bool) {
	old, known := s.words[w.Name]
	if w.Name == s.self.Name || w.Name == "" || known && w.Version.Before(old.Version) {
		return false
	}
	w.Buckets = w.Buckets[:min(len(w.Buckets), tellMost)]
	if s.over || !known && len(s.words) >= wordsMost {
		w.Buckets = nil
	}
	if known || len(s.words) < seenMost {
		s.words[w.Name] = w
	}
	s.learn(w.Peers)
	s.learn(map[string]PeerSummary{w.Name: {Version: w.Version, ReportedAtMs: w.ReportedAtMs, ServedRate: w.ServedRate}})
	s.lit = s.lit || !w.Recovering
	return true
}

// IgnorePeerBuckets has only last lives learned from now on.
func (s *Collector) IgnorePeerBuckets() {
	s.over = true
	for name, w := range s.words {
		w.Buckets = nil
		s.words[name] = w
	}
}

// PeerInService reports that a member was heard which is in full service: the power was not lost everywhere.
func (s *Collector) PeerInService() bool { return s.lit }

// Peers are the other members that are known, by name.
func (s *Collector) Peers() map[string]PeerSummary {
	all := maps.Clone(s.seen)
	delete(all, s.self.Name)
	return all
}

// old reports that another member knows a later image of this one than its disk holds.
func (s *Collector) old() bool {
	v, ok := s.seen[s.self.Name]
	return s.img != nil && ok && s.img.Version.Before(v.Version)
}

// RestoredState is what counts of the time before.
type RestoredState struct {
	SnapshotStatus  SnapshotStatus
	Downtime        time.Duration // since the disk's last image, less what counts as light
	Event           decide.StateRestored
	FleetServedRate float64 // units that all members answered a second; 0: not known
	OwnServedRate   float64 // of these this member, by its disk
	DiskCustomers   int     // customers by the own disk
	PeerCustomers   int     // customers of whom others' word is the fuller
	PeerCount       int     // members that told anything
}

// Resolve is what counts, at a moment after the start.
func (s *Collector) Resolve(now ClockReading) RestoredState {
	b := RestoredState{SnapshotStatus: s.verdict, PeerCount: len(s.words)}
	fills := map[uint64]Bucket{}
	if s.old() {
		b.SnapshotStatus = SnapshotStale
	}
	if b.SnapshotStatus == SnapshotValid {
		b.Downtime = max(0, now.Since(s.img.TakenAt)-lightFor*s.img.Interval)
		for _, v := range s.img.BucketsAfter(b.Downtime, s.plans) {
			fills[v.Key] = v
		}
		b.DiskCustomers, b.Event.LeakedSeconds = len(fills), b.Downtime.Seconds()
	}
	since := now.Since(s.now)
	for _, name := range slices.Sorted(maps.Keys(s.words)) {
		told := Snapshot{Buckets: s.words[name].Buckets}
		for _, v := range told.BucketsAfter(since, s.plans) { // as if all were told at the start: the younger ones are the fuller for it
			if old, ok := fills[v.Key]; !ok || v.Fill > old.Fill {
				fills[v.Key] = v
				b.PeerCustomers++
			}
		}
	}
	b.Event.Buckets = s.known(fills)
	if b.SnapshotStatus == SnapshotValid && now.Since(s.img.TakenAt) < workFor {
		b.OwnServedRate, b.Event.WarmServerRate = s.img.ServedRate, s.img.WarmServerRate
	}
	b.FleetServedRate = b.OwnServedRate + s.others(now)
	return b
}

// known are buckets in the module's words.
func (s *Collector) known(fills map[uint64]Bucket) (all []decide.BucketSnapshot) {
	number := map[string]int{}
	for i := range s.self.Plans {
		number[s.self.Plans[i].Name] = i
	}
	for _, key := range slices.Sorted(maps.Keys(fills)) {
		v := fills[key]
		all = append(all, decide.BucketSnapshot{Key: v.Key, Plan: number[v.Plan], FirstGateway: v.FirstGateway, GatewayCount: v.GatewayCount, Fill: v.Fill})
	}
	return all
}

// others is what the other members answered before, as they told or others know of them. What is of long ago says nothing.
func (s *Collector) others(now ClockReading) (sum float64) {
	for name, o := range s.seen {
		if name != s.self.Name && (now.Wall.Before(EarliestPlausibleTime) || now.Wall.Sub(time.UnixMilli(o.ReportedAtMs)) < workFor) {
			sum += o.ServedRate
		}
	}
	return sum
}

// String is for the log.
func (b RestoredState) String() string {
	return fmt.Sprintf("disk %v, dark for %v, %d customers by the disk, %d by %d others' words, %.0f units a second before", b.SnapshotStatus,
		b.Downtime.Round(time.Millisecond), b.DiskCustomers, b.PeerCustomers, b.PeerCount, b.FleetServedRate)
}
