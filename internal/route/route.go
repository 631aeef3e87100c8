// Package route matches requests to routes and gives each request the retry policy of its route: timeouts for an
// attempt and for the whole request, the number of attempts, the outcomes that may be retried, backoff, hedging and the
// retry budget. Package decide still chooses servers and decides on each attempt, within this policy. The package does
// no I/O and reads no clock: the current time is a parameter. Nothing in it is safe for concurrent use.
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

// Route is one route of the operators' file. A duration of 0 means no limit.
type Route struct {
	Name string
	Pos  sloe.Pos // of the route's block

	Classes, Plans   []string      // empty: all
	Customers        []uint64      // empty: all
	CustomerPrefix   string        // prefix of a customer's 16 hex digits; "": all
	MinClientTimeout time.Duration // shortest client timeout that matches
	MaxClientTimeout time.Duration // client timeouts from this one on do not match; 0: no upper limit

	AttemptTimeout, TotalTimeout time.Duration
	MaxAttempts                  int
	RetryOn                      decide.OutcomeSet
	RetryOnNames                 []string // RetryOn as the names in the file
	InitialBackoff, MaxBackoff   time.Duration
	BackoffFactor, Jitter        float64
	Hedge                        HedgePolicy
	RetryRatio                   float64 // retries that each first attempt adds to the budget of its node group
	MinRetriesPerSecond          float64 // retries that each second adds to the budget of each node group
	MaxOpen                      int     // requests open at the same time; 0: no limit
	RetryAfter                   time.Duration
	keyPos                       func(key string) sloe.Pos
}

// HedgePolicy says when a hedged attempt may be sent.
type HedgePolicy struct {
	Enabled     bool
	Delay       time.Duration // with a Quantile: used until there are enough samples
	Quantile    float64       // of the latencies of the route and class; 0: only Delay is used
	MinTimeLeft time.Duration // time that must remain for the hedged attempt
}

// position returns where the file sets a key, or the position of the route if it does not.
func (r *Route) position(key string) sloe.Pos {
	if r.keyPos != nil {
		if p := r.keyPos(key); p.Valid() {
			return p
		}
	}
	return r.Pos
}

// specificity orders routes that match the same request; the highest wins. Routes that name customers come first, then
// those with a customer prefix, longer prefixes first. Among equals a route that names classes comes first, then one that
// names plans, then one that is limited by the client timeout.
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

// matchesTimeout reports whether a client timeout is in the range of the route.
func (r *Route) matchesTimeout(d time.Duration) bool {
	return d >= r.MinClientTimeout && (r.MaxClientTimeout == 0 || d < r.MaxClientTimeout)
}

// Table finds the route of a request. Its routes and indexes do not change after NewTable; its state does: retry
// budgets, latencies and the numbers of open requests.
type Table struct {
	routes      []*Route // by specificity, the highest first
	classes     map[string]int
	plans       map[string]int
	pairCount   int // number of pairs of a class and a plan; the length of each index
	byCustomer  map[uint64]classPlanIndex
	byPrefix    []prefixIndex // longest prefix first
	anyCustomer classPlanIndex
	states      []*routeState // in the order of routes
}

// classPlanIndex holds the routes for the same set of customers by pair of class and plan. Each entry lists the indexes
// in Table.routes of the matching routes, the most specific first.
type classPlanIndex [][]int16

// prefixIndex holds the routes with a customer prefix of one length.
type prefixIndex struct {
	shift  uint // number of low bits of a customer's number that are not part of the prefix
	groups map[uint64]classPlanIndex
}

// MaxRoutes is the largest number of routes in a table.
const MaxRoutes = 4096

// NewTable returns a table of routes that Validate has accepted for the same settings.
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
			panic(err) // unreachable: parseRoute has checked the prefix
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

// Request holds the attributes of a request by which its route is chosen.
type Request struct {
	Class, Plan   string
	Customer      string // 16 hex digits
	ClientTimeout time.Duration
}

// Match returns the index of the most specific route that matches a request, or -1 if there is none.
func (t *Table) Match(req Request) int {
	class, ok := t.classes[req.Class]
	plan, ok2 := t.plans[req.Plan]
	if !ok || !ok2 {
		return -1
	}
	pair := class*len(t.plans) + plan
	if len(t.byCustomer)+len(t.byPrefix) > 0 {
		if c, ok := parseCustomer(req.Customer); ok {
			if n := t.lookup(t.byCustomer[c], pair, req.ClientTimeout); n >= 0 {
				return n
			}
			for i := range t.byPrefix {
				p := &t.byPrefix[i]
				if n := t.lookup(p.groups[c>>p.shift], pair, req.ClientTimeout); n >= 0 {
					return n
				}
			}
		}
	}
	return t.lookup(t.anyCustomer, pair, req.ClientTimeout)
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

// parseCustomer parses a customer's 16 hex digits, in either case.
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

// Route returns the route at an index that Match returned.
func (t *Table) Route(n int) *Route { return t.routes[n] }

// Explain describes which route a request gets and why the others do not apply.
func (t *Table) Explain(req Request) string {
	var b strings.Builder
	matched := t.Match(req)
	if matched < 0 {
		b.WriteString("no route matches: the module's own bounds hold\n")
	} else {
		r := t.routes[matched]
		fmt.Fprintf(&b, "route %s (%s) matches\n", r.Name, r.Pos)
		t.explainPolicy(&b, r, req)
	}
	for i, r := range t.routes {
		if i == matched {
			continue
		}
		reason := r.mismatch(req)
		if reason == "" {
			reason = "it matches too, and comes after " + t.routes[matched].Name + ", which is more specific"
		}
		fmt.Fprintf(&b, "not %s: %s\n", r.Name, reason)
	}
	return b.String()
}

// mismatch describes the first condition of a route that a request does not meet, or returns "" if it meets all.
func (r *Route) mismatch(req Request) string {
	c, ok := parseCustomer(req.Customer)
	switch {
	case len(r.Customers) > 0 && (!ok || !slices.Contains(r.Customers, c)):
		return "customer " + req.Customer + " is not in its list"
	case r.CustomerPrefix != "" && !strings.HasPrefix(strings.ToLower(req.Customer), strings.ToLower(r.CustomerPrefix)):
		return "customer " + req.Customer + " does not begin with " + r.CustomerPrefix
	case len(r.Classes) > 0 && !slices.Contains(r.Classes, req.Class):
		return "class " + req.Class + " is not in its list"
	case len(r.Plans) > 0 && !slices.Contains(r.Plans, req.Plan):
		return "plan " + req.Plan + " is not in its list"
	case !r.matchesTimeout(req.ClientTimeout):
		return fmt.Sprintf("patience %v is not in its span", req.ClientTimeout)
	}
	return ""
}

// explainPolicy writes the retry policy that a request gets, with timeouts cut to the request's client timeout.
func (t *Table) explainPolicy(b *strings.Builder, r *Route, req Request) {
	clamp := func(name string, v time.Duration) {
		switch {
		case v == 0:
			fmt.Fprintf(b, "  %s: to the end of the request's patience (%v)\n", name, req.ClientTimeout)
		case req.ClientTimeout > 0 && req.ClientTimeout < v:
			fmt.Fprintf(b, "  %s: %v, cut to the request's patience of %v\n", name, v, req.ClientTimeout)
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

// maxBackoff returns the longest backoff, before jitter.
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
