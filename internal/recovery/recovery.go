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
	{"work answered before", true, servedRateMaxAge, "boot, else wall", "what others tell", "the disk's", "less"},
	{"what a warm node is sent", true, 0, "none", "one request at a time", "not asked", "less"},
	{"nodes: cold, draining, gone", false, 0, "discovery's", "the platform's list", "discovery's", "all cold"},
	{"nodes: slow, out of reach", false, 0, "none", "unknown", "the module's words", "tried anew"},
	{"list and its version", false, 0, "discovery's", "asked at once", "discovery's", "the older list"},
	{"open keyed requests", false, 0, "the nodes' window", "forgotten", "not asked", "may have run"},
	{"generation of the configuration", false, 0, "none", "read from its file", "shown", "one's own file"},
}

const (
	servedRateMaxAge = 10 * time.Minute // what was answered longer ago says nothing of what comes now
	uptimeIntervals  = 2                // snapshots after the last one count as light: their requests may be lacking in it
	maxPeerSummaries = 4096             // members whose last life is kept
	maxBucketPeers   = 16               // members whose customers are learned
	maxSharedBuckets = 1024             // customers that are told to another member
	minFill          = 0.01             // of a burst: less is not worth a word
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
func (v SnapshotVersion) Before(o SnapshotVersion) bool {
	return v.Lineage < o.Lineage || v.Lineage == o.Lineage && v.Sequence < o.Sequence
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
func (s *Snapshot) ForPeer(now ClockReading, plans map[string]*decide.Plan, recovering bool) PeerSnapshot {
	p := PeerSnapshot{Name: s.Name, Version: s.Version, ReportedAtMs: s.TakenAt.Wall.UnixMilli(), Recovering: recovering, ServedRate: s.ServedRate, Peers: s.Peers}
	p.Buckets = Fullest(s.BucketsAfter(now.Since(s.TakenAt), plans), maxSharedBuckets)
	return p
}

// BucketsAfter are the buckets that hold something after so much more time has leaked out of them.
func (s *Snapshot) BucketsAfter(elapsed time.Duration, plans map[string]*decide.Plan) (left []Bucket) {
	for _, b := range s.Buckets {
		if b, ok := b.AfterLeak(elapsed, plans[b.Plan]); ok {
			left = append(left, b)
		}
	}
	return left
}

// AfterLeak is a bucket from which so much more time has leaked, by its plan; false: nothing worth a word is left, or the plan is no more.
func (b Bucket) AfterLeak(elapsed time.Duration, p *decide.Plan) (Bucket, bool) {
	if p == nil || p.Rate <= 0 || p.Burst <= 0 {
		return b, false
	}
	b.Fill -= p.Rate * elapsed.Seconds() / p.Burst
	return b, b.Fill >= minFill
}

// Fullest are so many of the buckets at most, the fullest first.
func Fullest(buckets []Bucket, limit int) []Bucket {
	slices.SortFunc(buckets, func(a, b Bucket) int { return cmp.Or(cmp.Compare(b.Fill, a.Fill), cmp.Compare(a.Key, b.Key)) })
	return buckets[:min(len(buckets), limit)]
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

func (s SnapshotStatus) String() string {
	return [...]string{"absent", "can't be read", "another member's", "older than others know it", "believed"}[s]
}

// LocalMember is who starts.
type LocalMember struct {
	Name  string
	Plans []decide.Plan
}

// Collector gathers what is known of the time before, from the disk and from other members' words, until it is believed. Make it with
// Begin.
type Collector struct {
	self          LocalMember
	plans         map[string]*decide.Plan
	startedAt     ClockReading // at the start
	disk          *Snapshot
	status        SnapshotStatus
	snapshots     map[string]PeerSnapshot
	summaries     map[string]PeerSummary
	peerInService bool
	ignoreBuckets bool
}

// NewCollector takes what the disk held: img is nil where the verdict is Absent or Spoilt.
func NewCollector(self LocalMember, now ClockReading, disk *Snapshot, status SnapshotStatus) *Collector {
	c := &Collector{self: self, plans: PlansByName(self.Plans), startedAt: now, status: status, snapshots: map[string]PeerSnapshot{}, summaries: map[string]PeerSummary{}}
	if disk == nil {
		return c
	}
	if disk.Name != self.Name {
		c.status = SnapshotForeign
		return c
	}
	c.disk, c.status = disk, SnapshotValid
	c.addSummaries(disk.Peers)
	return c
}

// PlansByName are plans by their names.
func PlansByName(plans []decide.Plan) map[string]*decide.Plan {
	byName := map[string]*decide.Plan{}
	for i := range plans {
		byName[plans[i].Name] = &plans[i]
	}
	return byName
}

// addSummaries keeps the latest word of each member.
func (c *Collector) addSummaries(summaries map[string]PeerSummary) {
	for name, summary := range summaries {
		if old, ok := c.summaries[name]; !ok && len(c.summaries) < maxPeerSummaries || ok && old.Version.Before(summary.Version) {
			c.summaries[name] = summary
		}
	}
}

// AddPeerSnapshot takes what another member tells. It reports whether anything is new.
func (c *Collector) AddPeerSnapshot(p PeerSnapshot) (added bool) {
	old, known := c.snapshots[p.Name]
	if p.Name == c.self.Name || p.Name == "" || known && p.Version.Before(old.Version) {
		return false
	}
	p.Buckets = p.Buckets[:min(len(p.Buckets), maxSharedBuckets)]
	if c.ignoreBuckets || !known && len(c.snapshots) >= maxBucketPeers {
		p.Buckets = nil
	}
	if known || len(c.snapshots) < maxPeerSummaries {
		c.snapshots[p.Name] = p
	}
	c.addSummaries(p.Peers)
	c.addSummaries(map[string]PeerSummary{p.Name: {Version: p.Version, ReportedAtMs: p.ReportedAtMs, ServedRate: p.ServedRate}})
	c.peerInService = c.peerInService || !p.Recovering
	return true
}

// IgnorePeerBuckets has only last lives learned from now on.
func (c *Collector) IgnorePeerBuckets() {
	c.ignoreBuckets = true
	for name, p := range c.snapshots {
		p.Buckets = nil
		c.snapshots[name] = p
	}
}

// PeerInService reports that a member was heard which is in full service: the power was not lost everywhere.
func (c *Collector) PeerInService() bool { return c.peerInService }

// Peers are the other members that are known, by name.
func (c *Collector) Peers() map[string]PeerSummary {
	peers := maps.Clone(c.summaries)
	delete(peers, c.self.Name)
	return peers
}

// diskStale reports that another member knows a later image of this one than its disk holds.
func (c *Collector) diskStale() bool {
	known, ok := c.summaries[c.self.Name]
	return c.disk != nil && ok && c.disk.Version.Before(known.Version)
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
func (c *Collector) Resolve(now ClockReading) RestoredState {
	restored := RestoredState{SnapshotStatus: c.status, PeerCount: len(c.snapshots)}
	buckets := map[uint64]Bucket{}
	if c.diskStale() {
		restored.SnapshotStatus = SnapshotStale
	}
	if restored.SnapshotStatus == SnapshotValid {
		restored.Downtime = max(0, now.Since(c.disk.TakenAt)-uptimeIntervals*c.disk.Interval)
		for _, bucket := range c.disk.BucketsAfter(restored.Downtime, c.plans) {
			buckets[bucket.Key] = bucket
		}
		restored.DiskCustomers, restored.Event.LeakedSeconds = len(buckets), restored.Downtime.Seconds()
	}
	elapsed := now.Since(c.startedAt)
	for _, name := range slices.Sorted(maps.Keys(c.snapshots)) {
		peer := Snapshot{Buckets: c.snapshots[name].Buckets}
		for _, bucket := range peer.BucketsAfter(elapsed, c.plans) { // as if all were told at the start: the younger ones are the fuller for it
			if old, ok := buckets[bucket.Key]; !ok || bucket.Fill > old.Fill {
				buckets[bucket.Key] = bucket
				restored.PeerCustomers++
			}
		}
	}
	restored.Event.Buckets = c.bucketSnapshots(buckets)
	if restored.SnapshotStatus == SnapshotValid && now.Since(c.disk.TakenAt) < servedRateMaxAge {
		restored.OwnServedRate, restored.Event.WarmServerRate = c.disk.ServedRate, c.disk.WarmServerRate
	}
	restored.FleetServedRate = restored.OwnServedRate + c.peerServedRate(now)
	return restored
}

// bucketSnapshots are buckets in the module's words.
func (c *Collector) bucketSnapshots(buckets map[uint64]Bucket) (snapshots []decide.BucketSnapshot) {
	planIndex := map[string]int{}
	for i := range c.self.Plans {
		planIndex[c.self.Plans[i].Name] = i
	}
	for _, key := range slices.Sorted(maps.Keys(buckets)) {
		bucket := buckets[key]
		snapshots = append(snapshots, decide.BucketSnapshot{Key: bucket.Key, Plan: planIndex[bucket.Plan], FirstGateway: bucket.FirstGateway, GatewayCount: bucket.GatewayCount, Fill: bucket.Fill})
	}
	return snapshots
}

// peerServedRate is what the other members answered before, as they told or peerServedRate know of them. What is of long ago says nothing.
func (c *Collector) peerServedRate(now ClockReading) (sum float64) {
	for name, summary := range c.summaries {
		if name != c.self.Name && (now.Wall.Before(EarliestPlausibleTime) || now.Wall.Sub(time.UnixMilli(summary.ReportedAtMs)) < servedRateMaxAge) {
			sum += summary.ServedRate
		}
	}
	return sum
}

// String is for the log.
func (r RestoredState) String() string {
	return fmt.Sprintf("disk %v, dark for %v, %d customers by the disk, %d by %d others' words, %.0f units a second before", r.SnapshotStatus,
		r.Downtime.Round(time.Millisecond), r.DiskCustomers, r.PeerCustomers, r.PeerCount, r.FleetServedRate)
}
