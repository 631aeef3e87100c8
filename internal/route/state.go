package route

import (
	"math"
	"time"

	"sloepick/decide"
)

// state is what a route has seen since it was loaded.
type state struct {
	route   *Route
	open    int
	budgets map[int]*tokens // by node group
	times   []*Times        // by class; nil where no quantile is asked for
	bounds  []*decide.Bounds
}

const (
	groupsMost    = 1024 // node groups with a budget of their own; the others share one
	sharedGroup   = math.MinInt
	quantileLeast = 50 // answers without which a quantile says nothing
	delayStep     = time.Millisecond
)

func newState(r *Route, classes int) *state {
	s := &state{route: r, budgets: map[int]*tokens{}}
	for range classes {
		var t *Times
		if r.Copy.Allowed && r.Copy.Quantile > 0 {
			t = &Times{}
		}
		s.times = append(s.times, t)
		s.bounds = append(s.bounds, s.make(0))
	}
	return s
}

// make is the route in the module's words, with a delay of second copies.
func (s *state) make(after time.Duration) *decide.Bounds {
	r := s.route
	b := &decide.Bounds{Attempts: r.Attempts, Attempt: r.Attempt, Whole: r.Whole, Again: r.Again, Wait: r.Wait, WaitMost: r.WaitMost,
		WaitGrowth: r.WaitGrowth, Jitter: r.Jitter, CopyLeast: r.Copy.Least, Advice: r.Advice, Budget: s}
	if b.CopyAfter = r.Copy.After; after > 0 {
		b.CopyAfter = after
	}
	b.Copies = r.Copy.Allowed && b.CopyAfter > 0
	return b
}

// tokens are a node group's: a first attempt brings the share, a second brings the floor, a further attempt takes one.
type tokens struct {
	v  float64
	at time.Duration
}

// burstSeconds is how much of the floor is kept for a moment in which it is needed, and there at the start.
const burstSeconds = 1.0

// fill lets time bring the floor's part. What it brings is capped apart from what first attempts brought.
func (k *tokens) fill(now time.Duration, floor float64) {
	if k.at == 0 {
		k.v, k.at = floor*burstSeconds, now
		return
	}
	if room := max(0, floor*burstSeconds-k.v); now > k.at {
		k.v += min(room, floor*(now-k.at).Seconds())
		k.at = now
	}
}

// keptMost is how many unspent further attempts a group keeps from its first attempts.
const keptMost = 10.0

func (s *state) group(cell int) *tokens {
	k := s.budgets[cell]
	if k == nil {
		if len(s.budgets) >= groupsMost {
			cell = sharedGroup
			if k = s.budgets[cell]; k != nil {
				return k
			}
		}
		k = &tokens{}
		s.budgets[cell] = k
	}
	return k
}

// First counts a first attempt at a server's group.
func (s *state) First(now time.Duration, to *decide.Server) {
	k := s.group(to.Cell)
	k.fill(now, s.route.BudgetFloor)
	if most := max(keptMost, s.route.BudgetFloor*burstSeconds); k.v < most {
		k.v = min(most, k.v+s.route.Budget)
	}
}

// Take takes a further attempt from the budget of a server's group, if it holds one. With F first attempts in t
// seconds a group gets at most F x Budget + (t + burstSeconds) x BudgetFloor further ones.
func (s *state) Take(now time.Duration, to *decide.Server) bool {
	k := s.group(to.Cell)
	k.fill(now, s.route.BudgetFloor)
	if k.v < 1 {
		return false
	}
	k.v--
	return true
}

// Begin takes a request into its route, or reports that the route has no room for it. Every request that it takes
// must be given back by End.
func (t *Table) Begin(n int) bool {
	s := t.state[n]
	if s.route.Open > 0 && s.open >= s.route.Open {
		return false
	}
	s.open++
	return true
}

// End gives a request back.
func (t *Table) End(n int) { t.state[n].open-- }

// Bounds is what holds for a request of a class on a route now. It is shared and must not be changed.
func (t *Table) Bounds(n int, class string, now time.Duration) *decide.Bounds {
	s, i := t.state[n], t.classes[class]
	times := s.times[i]
	if times == nil {
		return s.bounds[i]
	}
	if after := times.Quantile(s.route.Copy.Quantile, now); after > 0 {
		if d := after - s.bounds[i].CopyAfter; d > delayStep || d < -delayStep {
			s.bounds[i] = s.make(after) // requests that are open keep what they began with
		}
	}
	return s.bounds[i]
}

// Answered notes how long an answer took.
func (t *Table) Answered(n int, class string, took, now time.Duration) {
	if times := t.state[n].times[t.classes[class]]; times != nil {
		times.Add(took, now)
	}
}

// Times are answer times in constant memory: counts in buckets whose bounds grow by a twentieth, halved with age, as in
// a DDSketch (Masson et al., VLDB 2019). A quantile is told by its bucket's upper bound: over the true one by 5% at most
// and never under it. Told too low, it would send second copies after the bulk of answers that are on time, and the
// budget would be spent when a slow one comes.
type Times struct {
	counts [buckets]float32
	sum    float32
	aged   time.Duration
	cached time.Duration
	known  float64 // the quantile that cached is
	since  int     // answers since it was
}

const (
	buckets     = 256
	growth      = 1.05
	shortest    = time.Millisecond / 10
	halveAfter  = 10 * time.Second
	recountEach = 16 // answers after which a quantile is looked up anew
)

var logGrowth = math.Log(growth)

// Add counts an answer.
func (t *Times) Add(took, now time.Duration) {
	t.age(now)
	i := 0
	if took > shortest {
		i = min(buckets-1, int(math.Log(float64(took)/float64(shortest))/logGrowth))
	}
	t.counts[i]++
	t.sum++
	t.since++
}

func (t *Times) age(now time.Duration) {
	if t.aged == 0 {
		t.aged = now
	}
	for n := 0; now-t.aged >= halveAfter; n++ {
		t.aged += halveAfter
		if n > buckets { // so long ago that nothing is left
			t.aged = now
		}
		t.sum = 0
		for i := range t.counts {
			t.counts[i] /= 2
			t.sum += t.counts[i]
		}
		t.since = recountEach
	}
}

// Quantile is the time within which a share of the answers came, or 0 while too few were seen.
func (t *Times) Quantile(q float64, now time.Duration) time.Duration {
	t.age(now)
	if t.sum < quantileLeast {
		return 0
	}
	if t.cached > 0 && t.known == q && t.since < recountEach {
		return t.cached
	}
	left := float32(q) * t.sum
	i := 0
	for ; i < buckets-1; i++ {
		if left -= t.counts[i]; left <= 0 {
			break
		}
	}
	t.cached = time.Duration(float64(shortest) * math.Pow(growth, float64(i+1)))
	t.known, t.since = q, 0
	return t.cached
}
