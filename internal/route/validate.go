package route

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"sloepick/decide"
	"sloepick/internal/operator"
	"sloepick/internal/sloe"
)

// Margins are what a gateway keeps of the time that clients and nodes give it.
type Margins struct {
	Response time.Duration // an answer leaves so long before its client stops waiting
	Dedup    time.Duration // a repeat comes so long before nodes forget its key
}

// validator collects what is wrong with routes. Each finding names the rule, the figures and the smallest change.
type validator struct {
	cfg     *decide.Config
	margins Margins
	diags   sloe.Diags
}

// Validate holds every route against every class that it can match, by the figures of a platform's settings. Without a
// finding no order of outcomes makes a request on these routes break a rule: the sums below are of the worst case.
func Validate(routes []*Route, cfg *decide.Config, m Margins) sloe.Diags {
	p := &validator{cfg: cfg, margins: m}
	if len(routes) > MaxRoutes {
		p.errorf(routes[MaxRoutes].Pos, "more than %d routes", MaxRoutes)
		return p.diags
	}
	for _, r := range routes {
		p.checkRoute(r)
		for i := range cfg.Classes {
			if k := &cfg.Classes[i]; len(r.Classes) == 0 || slices.Contains(r.Classes, k.Name) {
				p.checkClass(r, k)
			}
		}
	}
	p.checkOverlaps(routes)
	return p.diags
}

func (p *validator) errorf(at sloe.Pos, format string, args ...any) *sloe.Diag {
	p.diags = append(p.diags, sloe.Diag{Pos: at, Msg: fmt.Sprintf(format, args...)})
	return &p.diags[len(p.diags)-1]
}

func (p *validator) checkRoute(r *Route) {
	classes, plans := classAndPlanNames(p.cfg)
	for _, n := range r.Classes {
		if !slices.Contains(classes, n) {
			p.errorf(r.position("classes"), "route %s: the platform has no class %q%s", r.Name, n, operator.Near(n, classes))
		}
	}
	for _, n := range r.Plans {
		if !slices.Contains(plans, n) {
			p.errorf(r.position("plans"), "route %s: the platform has no plan %q%s", r.Name, n, operator.Near(n, plans))
		}
	}
	if limit := p.cfg.Limits.MaxAttempts; r.MaxAttempts > limit {
		p.errorf(r.position("attempts"), "route %s: %d attempts, and the platform allows %d; attempts at most %d", r.Name, r.MaxAttempts, limit, limit)
	}
	if l := p.cfg.Limits; r.RetryAfter > 0 && !l.RetryAfter {
		p.errorf(r.position("advise"), "route %s: the platform's clients take no advice; leave advise out", r.Name)
	} else if r.RetryAfter > l.MaxRetryAfter {
		p.errorf(r.position("advise"), "route %s: clients follow advice up to %v; advise at most that, not %v", r.Name, l.MaxRetryAfter, r.RetryAfter)
	}
	if r.MaxClientTimeout > 0 && r.MinClientTimeout >= r.MaxClientTimeout {
		p.errorf(r.position("patience-to"), "route %s: no patience is from %v and below %v; patience-to more than %v", r.Name, r.MinClientTimeout,
			r.MaxClientTimeout, r.MinClientTimeout)
	}
}

// checkClass proves a route for one checkClass. A finding of which another follows is told alone.
func (p *validator) checkClass(r *Route, k *decide.Class) {
	maxTotal := k.Deadline - p.margins.Response
	if k.Deadline <= 0 {
		maxTotal = math.MaxInt64
	}
	if k.Deadline > 0 && r.MinClientTimeout > k.Deadline {
		p.errorf(r.position("patience-from"), "route %s, class %s: no client declares %v or more, as all give up after %v; patience-from at most that",
			r.Name, k.Name, r.MinClientTimeout, k.Deadline)
		return
	}
	if r.TotalTimeout > maxTotal {
		p.errorf(r.position("whole"), "route %s, class %s: whole is %v, and clients wait %v, of which %v are for the way; whole at most %v",
			r.Name, k.Name, r.TotalTimeout, k.Deadline, p.margins.Response, maxTotal)
		return
	}
	total := r.TotalTimeout
	if total == 0 {
		total = maxTotal
	}
	if !p.checkEffect(r, k) || !p.checkTimeouts(r, k, total) {
		return
	}
	p.checkHedge(r, k, total)
	p.checkDedupWindow(r, k, total)
}

// mayRun are the outcomes after which an attempt may have run.
const mayHaveRunNames = "error, timed-out or reset"

func (r *Route) retriesAfterExecution() bool {
	return r.MaxAttempts > 1 && r.RetryOn&^notExecuted != 0
}

func (p *validator) checkEffect(r *Route, k *decide.Class) bool {
	if k.Effect != decide.Unsafe {
		return true
	}
	if r.retriesAfterExecution() {
		p.errorf(r.position("again"), "route %s, class %s: it must never run twice, and %s may have run; again = [never-ran], or attempts = 1",
			r.Name, k.Name, mayHaveRunNames)
		return false
	}
	if r.Hedge.Enabled {
		p.errorf(r.position("copy"), "route %s, class %s: it must never run twice, so it takes no second copy; leave copy out", r.Name, k.Name)
		return false
	}
	return true
}

// totalBackoff are the totalBackoff between attempts that one after the other take together, at their longest.
func (r *Route) totalBackoff(attempts int) (sum time.Duration) {
	w := float64(r.InitialBackoff)
	for range attempts - 1 {
		one := w
		if r.MaxBackoff > 0 {
			one = min(one, float64(r.MaxBackoff))
		}
		sum += time.Duration(math.Ceil(one * (1 + r.Jitter)))
		w *= max(1, r.BackoffFactor)
	}
	return sum
}

// totalDuration is the longest that so many attempts take with their waits.
func (r *Route) totalDuration(attempts int) time.Duration {
	return time.Duration(attempts)*r.AttemptTimeout + r.totalBackoff(attempts)
}

func (p *validator) checkTimeouts(r *Route, k *decide.Class, total time.Duration) bool {
	if r.AttemptTimeout > total {
		p.errorf(r.position("attempt"), "route %s, class %s: one attempt has %v and the whole %v; attempt at most %v", r.Name, k.Name, r.AttemptTimeout,
			total, total)
		return false
	}
	if r.MaxAttempts < 2 {
		return true
	}
	if r.AttemptTimeout == 0 && r.RetryOn.Has(decide.TimedOut) {
		p.errorf(r.position("attempts"), "route %s, class %s: %d attempts, again after timed-out, and no time for one: the first would take the whole; attempt at most %v",
			r.Name, k.Name, r.MaxAttempts, p.maxAttemptTimeout(r, r.MaxAttempts, total))
		return false
	}
	if need := r.totalDuration(r.MaxAttempts); need > total {
		attempts := r.MaxAttempts
		for attempts > 1 && r.totalDuration(attempts) > total {
			attempts--
		}
		fix := fmt.Sprintf("attempts at most %d", attempts)
		if timeout := p.maxAttemptTimeout(r, r.MaxAttempts, total); timeout > 0 {
			fix += fmt.Sprintf(", or attempt at most %v", timeout)
		}
		attemptTimeout := ""
		if r.AttemptTimeout > 0 {
			attemptTimeout = fmt.Sprintf(" of %v", r.AttemptTimeout)
		}
		p.errorf(r.position("attempts"), "route %s, class %s: %d attempts%s with waits of %v come to %v, and the whole is %v; %s", r.Name, k.Name,
			r.MaxAttempts, attemptTimeout, r.totalBackoff(r.MaxAttempts), need, total, fix)
		return false
	}
	return true
}

// maxAttemptTimeout is the time that one of so many attempts can have, in whole milliseconds, or 0.
func (p *validator) maxAttemptTimeout(r *Route, attempts int, total time.Duration) time.Duration {
	if total == math.MaxInt64 {
		return total
	}
	return max(0, (total-r.totalBackoff(attempts))/time.Duration(attempts)).Truncate(time.Millisecond)
}

func (p *validator) checkHedge(r *Route, k *decide.Class, total time.Duration) {
	c := r.Hedge
	if !c.Enabled {
		return
	}
	switch {
	case !p.cfg.Limits.ParallelAttempts:
		p.errorf(r.position("copy"), "route %s: the platform allows one attempt at a time, so no second copy; leave copy out", r.Name)
	case r.MaxAttempts < 2:
		p.errorf(r.position("attempts"), "route %s: a second copy is an attempt, and attempts is %d; attempts at least 2", r.Name, r.MaxAttempts)
	case c.Delay == 0 && c.Quantile == 0:
		p.errorf(r.position("copy"), "route %s: copy says neither after nor quantile; after = 100ms, or quantile = 95%%", r.Name)
	case r.AttemptTimeout > 0 && c.Delay >= r.AttemptTimeout:
		p.errorf(r.position("copy.after"), "route %s, class %s: a second copy after %v never goes out, as an attempt ends after %v; after below %v",
			r.Name, k.Name, c.Delay, r.AttemptTimeout, r.AttemptTimeout)
	case c.MinTimeLeft > total:
		p.errorf(r.position("copy.least"), "route %s, class %s: a second copy needs %v to win, and the whole is %v; least at most %v", r.Name, k.Name,
			c.MinTimeLeft, total, max(0, total-c.Delay))
	case c.Delay+c.MinTimeLeft > total:
		p.errorf(r.position("copy.after"), "route %s, class %s: a second copy after %v has %v to win, and least is %v; after at most %v", r.Name, k.Name,
			c.Delay, total-c.Delay, c.MinTimeLeft, max(0, total-c.MinTimeLeft))
	}
}

// checkDedupWindow holds repeats of a keyed class to the time for which nodes drop them, from the first attempt's send through
// the last one's latest moment.
func (p *validator) checkDedupWindow(r *Route, k *decide.Class, total time.Duration) {
	if k.Effect != decide.Keyed || !r.retriesAfterExecution() && !r.Hedge.Enabled {
		return
	}
	span := total
	if r.AttemptTimeout > 0 {
		span = min(total, r.totalDuration(r.MaxAttempts))
	}
	if window := k.DedupWindow - p.margins.Dedup; span > window {
		p.errorf(r.position("whole"), "route %s, class %s: from the first attempt to the end of the last are %v, and nodes drop a repeat for %v, less %v; whole at most %v",
			r.Name, k.Name, span, k.DedupWindow, p.margins.Dedup, max(0, window))
	}
}

// checkOverlaps finds routes between which nothing decides, and routes that can never match.
func (p *validator) checkOverlaps(routes []*Route) {
	for i, r := range routes {
		for _, o := range routes[:i] {
			if r.specificity() == o.specificity() && r.overlaps(o, p.cfg) {
				p.errorf(r.Pos, "route %s and route %s are as specific and match the same requests; narrow one, by customers, classes, plans or patience",
					r.Name, o.Name).Notes = []sloe.Note{{Pos: o.Pos, Msg: "the other route"}}
			}
		}
		for _, o := range routes {
			if o.specificity() > r.specificity() && o.covers(r, p.cfg) {
				p.errorf(r.Pos, "route %s never matches: route %s is more specific and matches all that it would; narrow %s, or remove %s", r.Name,
					o.Name, o.Name, r.Name).Notes = []sloe.Note{{Pos: o.Pos, Msg: "the route that hides it"}}
				break
			}
		}
	}
}

// listOrAll are those that a list means: itself, or all.
func listOrAll(list, all []string) []string {
	if len(list) > 0 {
		return list
	}
	return all
}

func classAndPlanNames(cfg *decide.Config) (classes, plans []string) {
	for _, k := range cfg.Classes {
		classes = append(classes, k.Name)
	}
	for _, t := range cfg.Plans {
		plans = append(plans, t.Name)
	}
	return classes, plans
}

func intersects(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}

func isSubset(a, of []string) bool {
	return !slices.ContainsFunc(a, func(s string) bool { return !slices.Contains(of, s) })
}

// overlaps reports whether some request fits both routes, which are of the same rank.
func (r *Route) overlaps(o *Route, cfg *decide.Config) bool {
	classes, plans := classAndPlanNames(cfg)
	return intersects(listOrAll(r.Classes, classes), listOrAll(o.Classes, classes)) && intersects(listOrAll(r.Plans, plans), listOrAll(o.Plans, plans)) &&
		startsBefore(r.MinClientTimeout, o.MaxClientTimeout) && startsBefore(o.MinClientTimeout, r.MaxClientTimeout) && r.customersOverlap(o)
}

// startsBefore reports whether a start lies startsBefore an end, of which 0 is none.
func startsBefore(from, to time.Duration) bool { return to == 0 || from < to }

func (r *Route) customersOverlap(o *Route) bool {
	if len(r.Customers) > 0 {
		return slices.ContainsFunc(r.Customers, func(c uint64) bool { return slices.Contains(o.Customers, c) })
	}
	return strings.EqualFold(r.CustomerPrefix, o.CustomerPrefix) // the same rank: as long
}

// covers reports whether every request that fits a route of lower rank fits this one too.
func (o *Route) covers(r *Route, cfg *decide.Config) bool {
	classes, plans := classAndPlanNames(cfg)
	return isSubset(listOrAll(r.Classes, classes), listOrAll(o.Classes, classes)) && isSubset(listOrAll(r.Plans, plans), listOrAll(o.Plans, plans)) &&
		o.MinClientTimeout <= r.MinClientTimeout && (o.MaxClientTimeout == 0 || r.MaxClientTimeout > 0 && r.MaxClientTimeout <= o.MaxClientTimeout) && o.coversCustomers(r)
}

func (o *Route) coversCustomers(r *Route) bool {
	fits := func(c uint64) bool {
		if len(o.Customers) > 0 {
			return slices.Contains(o.Customers, c)
		}
		return strings.HasPrefix(fmt.Sprintf("%016x", c), strings.ToLower(o.CustomerPrefix))
	}
	switch {
	case len(r.Customers) > 0:
		return !slices.ContainsFunc(r.Customers, func(c uint64) bool { return !fits(c) })
	case len(r.CustomerPrefix) == customerDigits:
		c, _ := parseCustomer(r.CustomerPrefix)
		return fits(c)
	case len(o.Customers) > 0:
		return false
	}
	return strings.HasPrefix(strings.ToLower(r.CustomerPrefix), strings.ToLower(o.CustomerPrefix))
}
