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
	place                        func(key string) sloe.Pos
}

// HedgePolicy tells when a second copy may go out.
type HedgePolicy struct {
	Enabled     bool
	Delay       time.Duration // with a Quantile: until enough answers were seen
	Quantile    float64       // of the answer times of route and class; 0: After alone
	MinTimeLeft time.Duration // time that must be left to it
}

// at is where a key was set, or the route.
func (r *Route) at(key string) sloe.Pos {
	if r.place != nil {
		if p := r.place(key); p.Valid() {
			return p
		}
	}
	return r.Pos
}

// rank orders routes that match the same request: what names customers comes before what names a prefix of them, the
// longer prefix first; then what names classes, then plans, then a patience.
func (r *Route) rank() int {
	n := 0
	switch {
	case len(r.Customers) > 0:
		n = customerDigits + 1
	case r.CustomerPrefix != "":
		n = len(r.CustomerPrefix)
	}
	n = n*8 + 4*b2i(len(r.Classes) > 0) + 2*b2i(len(r.Plans) > 0) + b2i(r.MinClientTimeout > 0 || r.MaxClientTimeout > 0)
	return n
}

const customerDigits = 16

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hasPatience reports whether a declared patience is in the route's span.
func (r *Route) hasPatience(d time.Duration) bool {
	return d >= r.MinClientTimeout && (r.MaxClientTimeout == 0 || d < r.MaxClientTimeout)
}

// Table finds the route of a request. Make it with NewTable. It is not changed after that but for what its routes have
// seen: budgets, answer times and how many requests are open.
type Table struct {
	routes   []*Route // by rank, the highest first
	classes  map[string]int
	plans    map[string]int
	cells    int // of a class and a plan, in each group's index
	exact    map[uint64]group
	prefixes []prefixes // the longest first
	all      group
	state    []*state // by place in routes
}

// group holds the routes of the same customers by class and plan: for each of the pairs those that fit, by rank.
type group [][]int16

type prefixes struct {
	shift uint // of a customer's number
	by    map[uint64]group
}

// MaxRoutes is how many routes a table takes.
const MaxRoutes = 4096

// NewTable makes a table for a platform's settings. The routes were checked by Prove.
func NewTable(routes []*Route, cfg *decide.Config) *Table {
	t := &Table{routes: slices.Clone(routes), classes: map[string]int{}, plans: map[string]int{}, exact: map[uint64]group{}}
	slices.SortStableFunc(t.routes, func(a, b *Route) int { return cmp.Compare(b.rank(), a.rank()) })
	for i, c := range cfg.Classes {
		t.classes[c.Name] = i
	}
	for i, p := range cfg.Plans {
		t.plans[p.Name] = i
	}
	t.cells = len(cfg.Classes) * len(cfg.Plans)
	t.all = make(group, t.cells)
	for i, r := range t.routes {
		t.state = append(t.state, newState(r, len(cfg.Classes)))
		t.index(int16(i), r)
	}
	slices.SortFunc(t.prefixes, func(a, b prefixes) int { return cmp.Compare(a.shift, b.shift) })
	return t
}

func (t *Table) index(no int16, r *Route) {
	switch {
	case len(r.Customers) > 0:
		for _, c := range r.Customers {
			if t.exact[c] == nil {
				t.exact[c] = make(group, t.cells)
			}
			t.put(t.exact[c], no, r)
		}
	case r.CustomerPrefix != "":
		v, err := strconv.ParseUint(r.CustomerPrefix, 16, 64)
		if err != nil {
			panic(err) // its shape was checked when it was read
		}
		shift := uint(4 * (customerDigits - len(r.CustomerPrefix)))
		i := slices.IndexFunc(t.prefixes, func(p prefixes) bool { return p.shift == shift })
		if i < 0 {
			i = len(t.prefixes)
			t.prefixes = append(t.prefixes, prefixes{shift, map[uint64]group{}})
		}
		by := t.prefixes[i].by
		if by[v] == nil {
			by[v] = make(group, t.cells)
		}
		t.put(by[v], no, r)
	default:
		t.put(t.all, no, r)
	}
}

func (t *Table) put(g group, no int16, r *Route) {
	for class, i := range t.classes {
		if len(r.Classes) > 0 && !slices.Contains(r.Classes, class) {
			continue
		}
		for plan, j := range t.plans {
			if len(r.Plans) == 0 || slices.Contains(r.Plans, plan) {
				at := i*len(t.plans) + j
				g[at] = append(g[at], no)
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
	cell := class*len(t.plans) + plan
	if len(t.exact)+len(t.prefixes) > 0 {
		if c, ok := number(a.Customer); ok {
			if n := t.in(t.exact[c], cell, a.ClientTimeout); n >= 0 {
				return n
			}
			for i := range t.prefixes {
				p := &t.prefixes[i]
				if n := t.in(p.by[c>>p.shift], cell, a.ClientTimeout); n >= 0 {
					return n
				}
			}
		}
	}
	return t.in(t.all, cell, a.ClientTimeout)
}

func (t *Table) in(g group, cell int, patience time.Duration) int {
	if g == nil {
		return -1
	}
	for _, n := range g[cell] {
		if t.routes[n].hasPatience(patience) {
			return int(n)
		}
	}
	return -1
}

// number reads a customer's 16 hex digits.
func number(s string) (v uint64, ok bool) {
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
	won := t.Match(a)
	if won < 0 {
		b.WriteString("no route matches: the module's own bounds hold\n")
	} else {
		r := t.routes[won]
		fmt.Fprintf(&b, "route %s (%s) matches\n", r.Name, r.Pos)
		t.explainBounds(&b, r, a)
	}
	for i, r := range t.routes {
		if i == won {
			continue
		}
		why := r.whyNot(a)
		if why == "" {
			why = "it matches too, and comes after " + t.routes[won].Name + ", which is more specific"
		}
		fmt.Fprintf(&b, "not %s: %s\n", r.Name, why)
	}
	return b.String()
}

// whyNot is the first thing in which a request does not fit a route, or "".
func (r *Route) whyNot(a Request) string {
	c, ok := number(a.Customer)
	switch {
	case len(r.Customers) > 0 && (!ok || !slices.Contains(r.Customers, c)):
		return "customer " + a.Customer + " is not in its list"
	case r.CustomerPrefix != "" && !strings.HasPrefix(strings.ToLower(a.Customer), strings.ToLower(r.CustomerPrefix)):
		return "customer " + a.Customer + " does not begin with " + r.CustomerPrefix
	case len(r.Classes) > 0 && !slices.Contains(r.Classes, a.Class):
		return "class " + a.Class + " is not in its list"
	case len(r.Plans) > 0 && !slices.Contains(r.Plans, a.Plan):
		return "plan " + a.Plan + " is not in its list"
	case !r.hasPatience(a.ClientTimeout):
		return fmt.Sprintf("patience %v is not in its span", a.ClientTimeout)
	}
	return ""
}

// explainBounds writes what holds for a request, with what its own patience narrows.
func (t *Table) explainBounds(b *strings.Builder, r *Route, a Request) {
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
		fmt.Fprintf(b, "  wait: %v, times %g each, %v at most, give or take %.0f%%\n", r.InitialBackoff, r.BackoffFactor, r.longestWait(), 100*r.Jitter)
	}
	switch {
	case !r.Hedge.Enabled:
		b.WriteString("  second copy: none\n")
	case r.Hedge.Quantile > 0:
		fmt.Fprintf(b, "  second copy: after the %.4g%% quantile of answer times (%v until %d answers were seen), with %v left\n",
			100*r.Hedge.Quantile, r.Hedge.Delay, quantileLeast, r.Hedge.MinTimeLeft)
	default:
		fmt.Fprintf(b, "  second copy: after %v, with %v left\n", r.Hedge.Delay, r.Hedge.MinTimeLeft)
	}
	fmt.Fprintf(b, "  budget: %.4g%% of first attempts, and %.4g a second, in each node group\n", 100*r.RetryRatio, r.MinRetriesPerSecond)
}

// longestWait is the longest wait before jitter.
func (r *Route) longestWait() time.Duration {
	if r.MaxBackoff > 0 {
		return r.MaxBackoff
	}
	w := r.InitialBackoff
	for range max(0, r.MaxAttempts-2) {
		w = time.Duration(float64(w) * max(1, r.BackoffFactor))
	}
	return w
}
