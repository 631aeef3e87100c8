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

// Kind is a kind of thing that a gateway knows, as a row of the design note's table.
type Kind struct {
	What    string
	Kept    bool          // on the disk, by this package's image
	Trusted time.Duration // for so long; 0: for as long as it takes to leak out, or until something newer says otherwise
	Clock   string        // by which its age is told
	Absent  string        // what is taken where it is absent
	Peers   string        // a peer's word against the disk's
	Doubt   string        // to which side it falls
}

// Kinds are the rows. docs/design/power.md has them in words; a test holds both together.
var Kinds = []Kind{
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

// Epoch is the first wall clock that is believed: one that was never set shows 1970.
var Epoch = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// Clock is what clocks showed at one moment.
type Clock struct {
	Wall time.Time
	Boot string        // of the running system; "": not known
	Up   time.Duration // since that boot, sleep included
}

// Since is how long it was from another moment to this one, as far as that can be believed. Within one boot that boot's clock tells,
// whatever the wall clock was set to. Over a boot it is the wall clocks' difference, and nothing where one of them can't be right: then
// what was full stays full.
func (c Clock) Since(then Clock) time.Duration {
	if c.Boot != "" && c.Boot == then.Boot {
		return max(0, c.Up-then.Up)
	}
	if c.Wall.Before(Epoch) || then.Wall.Before(Epoch) {
		return 0
	}
	return max(0, c.Wall.Sub(then.Wall))
}

// Bucket is a customer's quota, so full as of its image's clock.
type Bucket struct {
	_     struct{} `cbor:",toarray"`
	Key   uint64
	Plan  string
	First int
	Of    int // gateways of its set; 0: not told
	Fill  float64
}

// Mark numbers a member's images. A line of them begins where there was nothing to believe on the disk; within it they are counted. A
// disk that is behind what others heard of it is older than the member's last life.
type Mark struct {
	Line  uint64 // the life in which it began
	Count uint64
}

// Before reports that a mark is older than another.
func (m Mark) Before(o Mark) bool { return m.Line < o.Line || m.Line == o.Line && m.Count < o.Count }

// Seen is what is known of another member.
type Seen struct {
	_    struct{} `cbor:",toarray"`
	Mark Mark     // of its last image
	Wall int64    // its own wall clock when it told so, in milliseconds since 1970
	Work float64  // units that it answered a second
}

// Image is what a member keeps on its disk.
type Image struct {
	Name    string
	Mark    Mark
	Clock   Clock
	Every   time.Duration // from one to the next, with what the last one took to be on the disk
	Work    float64       // units that this member answered a second
	Sends   float64       // usual requests a second that it sent a warm node
	Buckets []Bucket
	Seen    map[string]Seen // other members, by name
}

// Word is what a member tells another that starts.
type Word struct {
	Name       string
	Mark       Mark  // of the last image that is on its disk
	Wall       int64 // as in Seen
	Recovering bool  // it is not in full service itself: what it knows is from its disk
	Work       float64
	Buckets    []Bucket // the fullest
	Seen       map[string]Seen
}

// Word is what this member would tell now.
func (m *Image) Word(now Clock, plans map[string]*decide.Plan, recovering bool) Word {
	w := Word{Name: m.Name, Mark: m.Mark, Wall: m.Clock.Wall.UnixMilli(), Recovering: recovering, Work: m.Work, Seen: m.Seen}
	w.Buckets = Fullest(m.Aged(now.Since(m.Clock), plans), tellMost)
	return w
}

// Aged are the buckets that hold something after so much more time has leaked out of them.
func (m *Image) Aged(dark time.Duration, plans map[string]*decide.Plan) (all []Bucket) {
	for _, b := range m.Buckets {
		if b, ok := b.After(dark, plans[b.Plan]); ok {
			all = append(all, b)
		}
	}
	return all
}

// After is a bucket from which so much more time has leaked, by its plan; false: nothing worth a word is left, or the plan is no more.
func (b Bucket) After(dark time.Duration, p *decide.Plan) (Bucket, bool) {
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

// Verdict is what became of a disk's image.
type Verdict int

// The verdicts.
const (
	Absent  Verdict = iota // there was none
	Spoilt                 // it could not be read
	Foreign                // another member wrote it
	Old                    // another member knows a later one
	Kept
)

func (v Verdict) String() string {
	return [...]string{"absent", "can't be read", "another member's", "older than others know it", "believed"}[v]
}

// Self is who starts.
type Self struct {
	Name  string
	Plans []decide.Plan
}

// Start gathers what is known of the time before, from the disk and from other members' words, until it is believed. Make it with
// Begin.
type Start struct {
	self    Self
	plans   map[string]*decide.Plan
	now     Clock // at the start
	img     *Image
	verdict Verdict
	words   map[string]Word
	seen    map[string]Seen
	lit     bool
	over    bool
}

// Begin takes what the disk held: img is nil where the verdict is Absent or Spoilt.
func Begin(self Self, now Clock, img *Image, verdict Verdict) *Start {
	s := &Start{self: self, plans: PlansOf(self.Plans), now: now, verdict: verdict, words: map[string]Word{}, seen: map[string]Seen{}}
	if img == nil {
		return s
	}
	if img.Name != self.Name {
		s.verdict = Foreign
		return s
	}
	s.img, s.verdict = img, Kept
	s.learn(img.Seen)
	return s
}

// PlansOf are plans by their names.
func PlansOf(plans []decide.Plan) map[string]*decide.Plan {
	by := map[string]*decide.Plan{}
	for i := range plans {
		by[plans[i].Name] = &plans[i]
	}
	return by
}

// learn keeps the latest word of each member.
func (s *Start) learn(all map[string]Seen) {
	for name, v := range all {
		if old, ok := s.seen[name]; !ok && len(s.seen) < seenMost || ok && old.Mark.Before(v.Mark) {
			s.seen[name] = v
		}
	}
}

// Hear takes what another member tells. It reports whether anything is new.
func (s *Start) Hear(w Word) (news bool) {
	old, known := s.words[w.Name]
	if w.Name == s.self.Name || w.Name == "" || known && w.Mark.Before(old.Mark) {
		return false
	}
	w.Buckets = w.Buckets[:min(len(w.Buckets), tellMost)]
	if s.over || !known && len(s.words) >= wordsMost {
		w.Buckets = nil
	}
	if known || len(s.words) < seenMost {
		s.words[w.Name] = w
	}
	s.learn(w.Seen)
	s.learn(map[string]Seen{w.Name: {Mark: w.Mark, Wall: w.Wall, Work: w.Work}})
	s.lit = s.lit || !w.Recovering
	return true
}

// Over has only last lives learned from now on.
func (s *Start) Over() {
	s.over = true
	for name, w := range s.words {
		w.Buckets = nil
		s.words[name] = w
	}
}

// Lit reports that a member was heard which is in full service: the power was not lost everywhere.
func (s *Start) Lit() bool { return s.lit }

// Seen are the other members that are known, by name.
func (s *Start) Seen() map[string]Seen {
	all := maps.Clone(s.seen)
	delete(all, s.self.Name)
	return all
}

// old reports that another member knows a later image of this one than its disk holds.
func (s *Start) old() bool {
	v, ok := s.seen[s.self.Name]
	return s.img != nil && ok && s.img.Mark.Before(v.Mark)
}

// Belief is what counts of the time before.
type Belief struct {
	Verdict Verdict
	Dark    time.Duration // since the disk's last image, less what counts as light
	Recall  decide.StateRestored
	Work    float64 // units that all members answered a second; 0: not known
	Own     float64 // of these this member, by its disk
	Kept    int     // customers by the own disk
	Told    int     // customers of whom others' word is the fuller
	Others  int     // members that told anything
}

// Believe is what counts, at a moment after the start.
func (s *Start) Believe(now Clock) Belief {
	b := Belief{Verdict: s.verdict, Others: len(s.words)}
	fills := map[uint64]Bucket{}
	if s.old() {
		b.Verdict = Old
	}
	if b.Verdict == Kept {
		b.Dark = max(0, now.Since(s.img.Clock)-lightFor*s.img.Every)
		for _, v := range s.img.Aged(b.Dark, s.plans) {
			fills[v.Key] = v
		}
		b.Kept, b.Recall.LeakedSeconds = len(fills), b.Dark.Seconds()
	}
	since := now.Since(s.now)
	for _, name := range slices.Sorted(maps.Keys(s.words)) {
		told := Image{Buckets: s.words[name].Buckets}
		for _, v := range told.Aged(since, s.plans) { // as if all were told at the start: the younger ones are the fuller for it
			if old, ok := fills[v.Key]; !ok || v.Fill > old.Fill {
				fills[v.Key] = v
				b.Told++
			}
		}
	}
	b.Recall.Buckets = s.known(fills)
	if b.Verdict == Kept && now.Since(s.img.Clock) < workFor {
		b.Own, b.Recall.WarmServerRate = s.img.Work, s.img.Sends
	}
	b.Work = b.Own + s.others(now)
	return b
}

// known are buckets in the module's words.
func (s *Start) known(fills map[uint64]Bucket) (all []decide.BucketSnapshot) {
	number := map[string]int{}
	for i := range s.self.Plans {
		number[s.self.Plans[i].Name] = i
	}
	for _, key := range slices.Sorted(maps.Keys(fills)) {
		v := fills[key]
		all = append(all, decide.BucketSnapshot{Key: v.Key, Plan: number[v.Plan], FirstGateway: v.First, GatewayCount: v.Of, Fill: v.Fill})
	}
	return all
}

// others is what the other members answered before, as they told or others know of them. What is of long ago says nothing.
func (s *Start) others(now Clock) (sum float64) {
	for name, o := range s.seen {
		if name != s.self.Name && (now.Wall.Before(Epoch) || now.Wall.Sub(time.UnixMilli(o.Wall)) < workFor) {
			sum += o.Work
		}
	}
	return sum
}

// String is for the log.
func (b Belief) String() string {
	return fmt.Sprintf("disk %v, dark for %v, %d customers by the disk, %d by %d others' words, %.0f units a second before", b.Verdict,
		b.Dark.Round(time.Millisecond), b.Kept, b.Told, b.Others, b.Work)
}
