// Package recovery decides which state a gateway restores when it starts, from its own snapshot on disk and from its peers, and how it
// ramps up admission afterwards. It is pure: the snapshot, the peers' messages and the clock readings come in as values.
package recovery

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"sloepick/decide"
)

// StateKind describes how one kind of state is recovered: a row of the table in docs/design/power.md.
type StateKind struct {
	Name          string
	Persisted     bool          // in the snapshot on disk
	TrustedFor    time.Duration // how long a stored value counts; 0: until it has leaked out, or a newer value replaces it
	AgeClock      string        // clock that gives its age
	Default       string        // value where nothing is stored
	PeerRule      string        // which value wins when a peer reports another one than the disk
	WhenUncertain string        // value that is assumed in doubt
}

// StateKinds are all kinds of state. The names are those of the table in docs/design/power.md, which a test compares.
var StateKinds = []StateKind{
	{"own place and term", false, 0, "terms", "a new claim", "the higher term", "no slot"},
	{"own images' line and count", true, 0, "sequence numbers", "a new lineage", "a later version proves the disk stale", "a stale disk"},
	{"own buckets", true, 0, "boot clock, else wall clock", "half full, leaking", "the fuller", "the fuller"},
	{"others' use of a customer", true, 0, "boot clock, else wall clock", "half full, leaking", "the fuller", "the fuller"},
	{"ceilings' stores", false, 0, "none", "empty", "not exchanged", "empty"},
	{"work answered before", true, servedRateMaxAge, "boot clock, else wall clock", "what peers report", "the disk's", "the lower rate"},
	{"what a warm node is sent", true, 0, "none", "one request at a time", "not exchanged", "the lower rate"},
	{"nodes: cold, draining, gone", false, 0, "discovery's", "the platform's list", "discovery's", "all cold"},
	{"nodes: slow, out of reach", false, 0, "none", "unknown", "the peers' messages to the decision module", "tried again"},
	{"list and its version", false, 0, "discovery's", "queried at once", "discovery's", "the older list"},
	{"open keyed requests", false, 0, "the servers' deduplication window", "forgotten", "not exchanged", "may have run"},
	{"generation of the configuration", false, 0, "none", "read from its file", "reported only", "the gateway's own file"},
}

const (
	servedRateMaxAge = 10 * time.Minute // an older rate doesn't predict the present load
	uptimeIntervals  = 2                // intervals after the last snapshot that don't count as downtime: it lacks their requests
	maxPeerSummaries = 4096             // members whose last version and rate are kept
	maxBucketPeers   = 16               // members whose buckets are kept
	maxSharedBuckets = 1024             // buckets in a PeerSnapshot
	minFill          = 0.01             // share of a burst; a bucket that holds less is dropped
)

// EarliestPlausibleTime is the earliest wall clock time that is trusted: a clock that was never set shows 1970.
var EarliestPlausibleTime = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// ClockReading is the state of the wall clock and of the boot clock at one moment.
type ClockReading struct {
	Wall   time.Time
	BootID string        `cbor:"Boot"` // of the running system; "": unknown
	Uptime time.Duration `cbor:"Up"`   // since that boot, including time asleep
}

// Since returns the time from then to c. Within one boot the boot clock counts, whatever the wall clock was set to. Across boots it is
// the difference of the wall clocks, or 0 if one of them is not plausible: then a full bucket stays full.
func (c ClockReading) Since(then ClockReading) time.Duration {
	if c.BootID != "" && c.BootID == then.BootID {
		return max(0, c.Uptime-then.Uptime)
	}
	if c.Wall.Before(EarliestPlausibleTime) || then.Wall.Before(EarliestPlausibleTime) {
		return 0
	}
	return max(0, c.Wall.Sub(then.Wall))
}

// Bucket is how full a customer's leaky bucket was when its snapshot was taken.
type Bucket struct {
	_            struct{} `cbor:",toarray"`
	Key          uint64
	Plan         string
	FirstGateway int
	GatewayCount int // gateways that the customer is spread over; 0: unknown
	Fill         float64
}

// SnapshotVersion numbers a member's snapshots. A new lineage begins when the disk holds no valid snapshot; within a lineage the
// snapshots are counted. If a peer knows a later version than the disk holds, the disk's contents are stale.
type SnapshotVersion struct {
	Lineage  uint64 `cbor:"Line"` // incarnation of the process that began it
	Sequence uint64 `cbor:"Count"`
}

// Before reports whether v is older than o.
func (v SnapshotVersion) Before(o SnapshotVersion) bool {
	return v.Lineage < o.Lineage || v.Lineage == o.Lineage && v.Sequence < o.Sequence
}

// PeerSummary is what a member keeps about another one.
type PeerSummary struct {
	_            struct{}        `cbor:",toarray"`
	Version      SnapshotVersion // of its last snapshot
	ReportedAtMs int64           // wall clock of the summarized member, in milliseconds since 1970
	ServedRate   float64         // units a second
}

// Snapshot is the state that a member keeps on disk.
type Snapshot struct {
	Name           string
	Version        SnapshotVersion `cbor:"Mark"`
	TakenAt        ClockReading    `cbor:"Clock"`
	Interval       time.Duration   `cbor:"Every"` // between snapshots, plus the time that the last write took
	ServedRate     float64         `cbor:"Work"`  // units a second that this member served
	WarmServerRate float64         `cbor:"Sends"` // usual requests a second that it sent to a warm server
	Buckets        []Bucket
	Peers          map[string]PeerSummary `cbor:"Seen"` // other members, by name
}

// PeerSnapshot is the part of its snapshot that a member sends to one that starts.
type PeerSnapshot struct {
	Name         string
	Version      SnapshotVersion        `cbor:"Mark"` // of the last snapshot on its disk
	ReportedAtMs int64                  `cbor:"Wall"` // when it was taken, as in PeerSummary
	Recovering   bool                   // the sender itself isn't in PhaseFull: what it knows is from its disk
	ServedRate   float64                `cbor:"Work"`
	Buckets      []Bucket               // the fullest
	Peers        map[string]PeerSummary `cbor:"Seen"`
}

// ForPeer returns what this member would send to a peer now: the snapshot with its fullest buckets.
func (s *Snapshot) ForPeer(now ClockReading, plans map[string]*decide.Plan, recovering bool) PeerSnapshot {
	p := PeerSnapshot{Name: s.Name, Version: s.Version, ReportedAtMs: s.TakenAt.Wall.UnixMilli(), Recovering: recovering, ServedRate: s.ServedRate, Peers: s.Peers}
	p.Buckets = Fullest(s.BucketsAfter(now.Since(s.TakenAt), plans), maxSharedBuckets)
	return p
}

// BucketsAfter returns the buckets that still hold something after they have leaked for elapsed.
func (s *Snapshot) BucketsAfter(elapsed time.Duration, plans map[string]*decide.Plan) (left []Bucket) {
	for _, b := range s.Buckets {
		if b, ok := b.AfterLeak(elapsed, plans[b.Plan]); ok {
			left = append(left, b)
		}
	}
	return left
}

// AfterLeak returns the bucket after it has leaked for elapsed at the rate of plan p. It reports false if next to nothing is left, or if
// the plan no longer exists.
func (b Bucket) AfterLeak(elapsed time.Duration, p *decide.Plan) (Bucket, bool) {
	if p == nil || p.Rate <= 0 || p.Burst <= 0 {
		return b, false
	}
	b.Fill -= p.Rate * elapsed.Seconds() / p.Burst
	return b, b.Fill >= minFill
}

// Fullest sorts the buckets in place, the fullest first, and returns the first limit of them.
func Fullest(buckets []Bucket, limit int) []Bucket {
	slices.SortFunc(buckets, func(a, b Bucket) int { return cmp.Or(cmp.Compare(b.Fill, a.Fill), cmp.Compare(a.Key, b.Key)) })
	return buckets[:min(len(buckets), limit)]
}

// SnapshotStatus is the result of checking the snapshot on disk.
type SnapshotStatus int

// The values of SnapshotStatus.
const (
	SnapshotMissing SnapshotStatus = iota // no file
	SnapshotCorrupt                       // not readable, or not a whole snapshot
	SnapshotForeign                       // written by another member
	SnapshotStale                         // a peer knows a later version
	SnapshotValid
)

func (s SnapshotStatus) String() string {
	return [...]string{"absent", "can't be read", "another member's", "older than others know it", "believed"}[s]
}

// LocalMember is the member that starts.
type LocalMember struct {
	Name  string
	Plans []decide.Plan
}

// Collector gathers the state from before the start, from the disk and from peers, and resolves it. Create it with NewCollector.
type Collector struct {
	self          LocalMember
	plans         map[string]*decide.Plan
	startedAt     ClockReading
	disk          *Snapshot
	status        SnapshotStatus
	snapshots     map[string]PeerSnapshot
	summaries     map[string]PeerSummary
	peerInService bool
	ignoreBuckets bool
}

// NewCollector takes the snapshot on disk, which is nil if status is SnapshotMissing or SnapshotCorrupt.
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

// PlansByName indexes plans by their names.
func PlansByName(plans []decide.Plan) map[string]*decide.Plan {
	byName := map[string]*decide.Plan{}
	for i := range plans {
		byName[plans[i].Name] = &plans[i]
	}
	return byName
}

// addSummaries keeps the summary with the latest version of each member.
func (c *Collector) addSummaries(summaries map[string]PeerSummary) {
	for name, summary := range summaries {
		if old, ok := c.summaries[name]; !ok && len(c.summaries) < maxPeerSummaries || ok && old.Version.Before(summary.Version) {
			c.summaries[name] = summary
		}
	}
}

// AddPeerSnapshot adds what a peer sent. It reports false if that is ignored: it is outdated, or claims this member's name or none.
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

// IgnorePeerBuckets drops the buckets of all peers, now and in later snapshots. Their versions and rates are still kept.
func (c *Collector) IgnorePeerBuckets() {
	c.ignoreBuckets = true
	for name, p := range c.snapshots {
		p.Buckets = nil
		c.snapshots[name] = p
	}
}

// PeerInService reports whether a peer in PhaseFull sent a snapshot: then not the whole fleet lost power.
func (c *Collector) PeerInService() bool { return c.peerInService }

// Peers returns the summaries of the other members, by name.
func (c *Collector) Peers() map[string]PeerSummary {
	peers := maps.Clone(c.summaries)
	delete(peers, c.self.Name)
	return peers
}

// diskStale reports whether a peer knows a later version of this member's snapshot than the disk holds.
func (c *Collector) diskStale() bool {
	known, ok := c.summaries[c.self.Name]
	return c.disk != nil && ok && c.disk.Version.Before(known.Version)
}

// RestoredState is the state from before the start, as merged from the disk and the peers.
type RestoredState struct {
	SnapshotStatus  SnapshotStatus
	Downtime        time.Duration // since the snapshot on disk, less uptimeIntervals
	Event           decide.StateRestored
	FleetServedRate float64 // units a second that all members served; 0: unknown
	OwnServedRate   float64 // this member's part of FleetServedRate, from its disk
	DiskCustomers   int     // buckets taken from the disk
	PeerCustomers   int     // buckets taken from peers; one that several peers report ever fuller counts each time
	PeerCount       int     // peers that sent a snapshot
}

// Resolve merges the snapshots of disk and peers as of now. Of two fills of a bucket the fuller one counts.
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
		for _, bucket := range peer.BucketsAfter(elapsed, c.plans) { // leaked since the start, whenever the snapshot arrived
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

// bucketSnapshots converts buckets to the type of package decide, ordered by key.
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

// peerServedRate sums what the other members served before, as far as that is reported and not older than servedRateMaxAge. While the
// local wall clock is not plausible, age is ignored.
func (c *Collector) peerServedRate(now ClockReading) (sum float64) {
	for name, summary := range c.summaries {
		if name != c.self.Name && (now.Wall.Before(EarliestPlausibleTime) || now.Wall.Sub(time.UnixMilli(summary.ReportedAtMs)) < servedRateMaxAge) {
			sum += summary.ServedRate
		}
	}
	return sum
}

// String formats the state for the log.
func (r RestoredState) String() string {
	return fmt.Sprintf("disk %v, down for %v, %d customers from the disk, %d from %d peers, %.0f units a second served before", r.SnapshotStatus,
		r.Downtime.Round(time.Millisecond), r.DiskCustomers, r.PeerCustomers, r.PeerCount, r.FleetServedRate)
}
