// Package route decides within which bounds a request is tried: how long an attempt and the whole may take, how many
// attempts there may be and after what, when a second copy goes out, and what share of first attempts may be repeated.
// Package decide still chooses servers and decides on each attempt, within these bounds. The package is pure: time
// comes in as a value, and nothing in it is safe for concurrent use.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sloepick/decide"
	"sloepick/internal/sloe"
)

// Route is one route as the operators' file has it. Times of 0 are no bound.
type Route struct {
	Name string
	Pos  sloe.Pos // of the block

	Classes, Plans   []string // none: all
	Customers        []uint64 // none: all
	CustomerPrefix   string   // of a customer's 16 hex digits; "": all
	MinClientTimeout time.Duration
	MaxClientTimeout time.Duration // declared patience within [from, to); 0: no upper end

	AttemptTimeout, TotalTimeout time.Duration
	MaxAttempts                  int
	RetryOn                      decide.OutcomeSet
	RetryOnNames                 []string // Again, as the file spells it
	InitialBackoff, MaxBackoff   time.Duration
	BackoffFactor, Jitter        float64
	Hedge                        HedgePolicy
	RetryRatio                   float64 // further attempts a first attempt ...
	MinRetriesPerSecond          float64 // ... and so many a second besides, for each node group
	MaxOpen                      int     // requests open at once; 0: no bound
	RetryAfter                   time.Duration
	keyPos                       func(key string) sloe.Pos
}

// HedgePolicy tells when a second copy may go out.
type HedgePolicy struct {
	Enabled     bool
	Delay       time.Duration // with a Quantile: until enough answers were seen
	Quantile    float64       // of the answer times of route and class; 0: After alone
	MinTimeLeft time.Duration // time that must be left to it
}

// position is where a key was set, or the route.
func (r *Route) position(key string) sloe.Pos {
	if r.keyPos != nil {
		if p := r.keyPos(key); p.Valid() {
			return p
		}
	}
	return r.Pos
}

// specificity orders routes that match the same request: what names customers comes before what names a prefix of them, the
// longer prefix first; then what names classes, then plans, then a patience.
func (r *Route) specificity() int {
	n := 0
	switch {
	case len(r.Customers) > 0:
		n = customerDigits + 1
	case r.CustomerPrefix != "":
		n = len(r.CustomerPrefix)
	}
	n = n*8 + 4*boolToInt(len(r.Classes) > 0) + 2*boolToInt(len(r.Plans) > 0) + boolToInt(r.MinClientTimeout > 0 || r.MaxClientTimeout > 0)
	return n
}

const customerDigits = 16

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// matchesTimeout reports whether a declared patience is in the route's span.
func (r *Route) matchesTimeout(d time.Duration) bool {
	return d >= r.MinClientTimeout && (r.MaxClientTimeout == 0 || d < r.MaxClientTimeout)
}

// Table finds the route of a request. Make it with NewTable. It is not changed after that but for what its routes have
// seen: budgets, answer times and how many requests are open.
type Table struct {
	routes      []*Route // by rank, the highest first
	classes     map[string]int
	plans       map[string]int
	pairCount   int // of a class and a plan, in each group's index
	byCustomer  map[uint64]classPlanIndex
	byPrefix    []prefixIndex // the longest first
	anyCustomer classPlanIndex
	states      []*routeState // by place in routes
}

// classPlanIndex holds the routes of the same customers by class and plan: for each of the pairs those that fit, by rank.
type classPlanIndex [][]int16

type prefixIndex struct {
	shift  uint // of a customer's number
	groups map[uint64]classPlanIndex
}

// MaxRoutes is how many routes a table takes.
const MaxRoutes = 4096

// NewTable makes a table for a platform's settings. The routes were checked by Prove.
func NewTable(routes []*Route, cfg *decide.Config) *Table {
	t := &Table{routes: slices.Clone(routes), classes: map[string]int{}, plans: map[string]int{}, byCustomer: map[uint64]classPlanIndex{}}
	slices.SortStableFunc(t.routes, func(a, b *Route) int { return cmp.Compare(b.specificity(), a.specificity()) })
	for i, c := range cfg.Classes {
		t.classes[c.Name] = i
	}
	for i, p := range cfg.Plans {
		t.plans[p.Name] = i
	}
	t.pairCount = len(cfg.Classes) * len(cfg.Plans)
	t.anyCustomer = make(classPlanIndex, t.pairCount)
	for i, r := range t.routes {
		t.states = append(t.states, newRouteState(r, len(cfg.Classes)))
		t.addToIndex(int16(i), r)
	}
	slices.SortFunc(t.byPrefix, func(a, b prefixIndex) int { return cmp.Compare(a.shift, b.shift) })
	return t
}

func (t *Table) addToIndex(n int16, r *Route) {
	switch {
	case len(r.Customers) > 0:
		for _, c := range r.Customers {
			if t.byCustomer[c] == nil {
				t.byCustomer[c] = make(classPlanIndex, t.pairCount)
			}
			t.addRoute(t.byCustomer[c], n, r)
		}
	case r.CustomerPrefix != "":
		v, err := strconv.ParseUint(r.CustomerPrefix, 16, 64)
		if err != nil {
			panic(err) // its shape was checked when it was read
		}
		shift := uint(4 * (customerDigits - len(r.CustomerPrefix)))
		i := slices.IndexFunc(t.byPrefix, func(p prefixIndex) bool { return p.shift == shift })
		if i < 0 {
			i = len(t.byPrefix)
			t.byPrefix = append(t.byPrefix, prefixIndex{shift, map[uint64]classPlanIndex{}})
		}
		groups := t.byPrefix[i].groups
		if groups[v] == nil {
			groups[v] = make(classPlanIndex, t.pairCount)
		}
		t.addRoute(groups[v], n, r)
	default:
		t.addRoute(t.anyCustomer, n, r)
	}
}

func (t *Table) addRoute(g classPlanIndex, n int16, r *Route) {
	for class, i := range t.classes {
		if len(r.Classes) > 0 && !slices.Contains(r.Classes, class) {
			continue
		}
		for plan, j := range t.plans {
			if len(r.Plans) == 0 || slices.Contains(r.Plans, plan) {
				at := i*len(t.plans) + j
				g[at] = append(g[at], n)
			}
		}
	}
}

// Request is what of a request its route goes by.
type Request struct {
	Class, Plan   string
	Customer      string // 16 hex digits
	ClientTimeout time.Duration
}

// Match is the place of the request's route in the table, or -1 where none matches.
func (t *Table) Match(a Request) int {
	class, ok := t.classes[a.Class]
	plan, ok2 := t.plans[a.Plan]
	if !ok || !ok2 {
		return -1
	}
	pair := class*len(t.plans) + plan
	if len(t.byCustomer)+len(t.byPrefix) > 0 {
		if c, ok := parseCustomer(a.Customer); ok {
			if n := t.lookup(t.byCustomer[c], pair, a.ClientTimeout); n >= 0 {
				return n
			}
			for i := range t.byPrefix {
				p := &t.byPrefix[i]
				if n := t.lookup(p.groups[c>>p.shift], pair, a.ClientTimeout); n >= 0 {
					return n
				}
			}
		}
	}
	return t.lookup(t.anyCustomer, pair, a.ClientTimeout)
}

func (t *Table) lookup(g classPlanIndex, pair int, clientTimeout time.Duration) int {
	if g == nil {
		return -1
	}
	for _, n := range g[pair] {
		if t.routes[n].matchesTimeout(clientTimeout) {
			return int(n)
		}
	}
	return -1
}

// parseCustomer reads a customer's 16 hex digits.
func parseCustomer(s string) (v uint64, ok bool) {
	if len(s) != customerDigits {
		return 0, false
	}
	for i := range len(s) {
		c := s[i]
		switch {
		case '0' <= c && c <= '9':
			v = v<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			v = v<<4 | uint64(c-'a'+10)
		case 'A' <= c && c <= 'F':
			v = v<<4 | uint64(c-'A'+10)
		default:
			return 0, false
		}
	}
	return v, true
}

// Route is the route at a place that Match told.
func (t *Table) Route(n int) *Route { return t.routes[n] }

// Explain tells in words which route a request gets and why no other.
func (t *Table) Explain(a Request) string {
	var b strings.Builder
	matched := t.Match(a)
	if matched < 0 {
		b.WriteString("no route matches: the module's own bounds hold\n")
	} else {
		r := t.routes[matched]
		fmt.Fprintf(&b, "route %s (%s) matches\n", r.Name, r.Pos)
		t.explainPolicy(&b, r, a)
	}
	for i, r := range t.routes {
		if i == matched {
			continue
		}
		reason := r.mismatch(a)
		if reason == "" {
			reason = "it matches too, and comes after " + t.routes[matched].Name + ", which is more specific"
		}
		fmt.Fprintf(&b, "not %s: %s\n", r.Name, reason)
	}
	return b.String()
}

// mismatch is the first thing in which a request does not fit a route, or "".
func (r *Route) mismatch(a Request) string {
	c, ok := parseCustomer(a.Customer)
	switch {
	case len(r.Customers) > 0 && (!ok || !slices.Contains(r.Customers, c)):
		return "customer " + a.Customer + " is not in its list"
	case r.CustomerPrefix != "" && !strings.HasPrefix(strings.ToLower(a.Customer), strings.ToLower(r.CustomerPrefix)):
		return "customer " + a.Customer + " does not begin with " + r.CustomerPrefix
	case len(r.Classes) > 0 && !slices.Contains(r.Classes, a.Class):
		return "class " + a.Class + " is not in its list"
	case len(r.Plans) > 0 && !slices.Contains(r.Plans, a.Plan):
		return "plan " + a.Plan + " is not in its list"
	case !r.matchesTimeout(a.ClientTimeout):
		return fmt.Sprintf("patience %v is not in its span", a.ClientTimeout)
	}
	return ""
}

// explainPolicy writes what holds for a request, with what its own patience narrows.
func (t *Table) explainPolicy(b *strings.Builder, r *Route, a Request) {
	clamp := func(name string, v time.Duration) {
		switch {
		case v == 0:
			fmt.Fprintf(b, "  %s: to the end of the request's patience (%v)\n", name, a.ClientTimeout)
		case a.ClientTimeout > 0 && a.ClientTimeout < v:
			fmt.Fprintf(b, "  %s: %v, cut to the request's patience of %v\n", name, v, a.ClientTimeout)
		default:
			fmt.Fprintf(b, "  %s: %v\n", name, v)
		}
	}
	clamp("whole", r.TotalTimeout)
	clamp("attempt", r.AttemptTimeout)
	fmt.Fprintf(b, "  attempts: %d, again after %s\n", r.MaxAttempts, strings.Join(r.RetryOnNames, ", "))
	if r.InitialBackoff > 0 {
		fmt.Fprintf(b, "  wait: %v, times %g each, %v at most, give or take %.0f%%\n", r.InitialBackoff, r.BackoffFactor, r.maxBackoff(), 100*r.Jitter)
	}
	switch {
	case !r.Hedge.Enabled:
		b.WriteString("  second copy: none\n")
	case r.Hedge.Quantile > 0:
		fmt.Fprintf(b, "  second copy: after the %.4g%% quantile of answer times (%v until %d answers were seen), with %v left\n",
			100*r.Hedge.Quantile, r.Hedge.Delay, minSamples, r.Hedge.MinTimeLeft)
	default:
		fmt.Fprintf(b, "  second copy: after %v, with %v left\n", r.Hedge.Delay, r.Hedge.MinTimeLeft)
	}
	fmt.Fprintf(b, "  budget: %.4g%% of first attempts, and %.4g a second, in each node group\n", 100*r.RetryRatio, r.MinRetriesPerSecond)
}

// maxBackoff is the longest wait before jitter.
func (r *Route) maxBackoff() time.Duration {
	if r.MaxBackoff > 0 {
		return r.MaxBackoff
	}
	w := r.InitialBackoff
	for range max(0, r.MaxAttempts-2) {
		w = time.Duration(float64(w) * max(1, r.BackoffFactor))
	}
	return w
}
