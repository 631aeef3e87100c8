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

// prover collects what is wrong with routes. Each finding names the rule, the figures and the smallest change.
type prover struct {
	cfg     *decide.Config
	margins Margins
	diags   sloe.Diags
}

// Validate holds every route against every class that it can match, by the figures of a platform's settings. Without a
// finding no order of outcomes makes a request on these routes break a rule: the sums below are of the worst case.
func Validate(routes []*Route, cfg *decide.Config, m Margins) sloe.Diags {
	p := &prover{cfg: cfg, margins: m}
	if len(routes) > MaxRoutes {
		p.errorf(routes[MaxRoutes].Pos, "more than %d routes", MaxRoutes)
		return p.diags
	}
	for _, r := range routes {
		p.names(r)
		for i := range cfg.Classes {
			if k := &cfg.Classes[i]; len(r.Classes) == 0 || slices.Contains(r.Classes, k.Name) {
				p.class(r, k)
			}
		}
	}
	p.order(routes)
	return p.diags
}

func (p *prover) errorf(at sloe.Pos, format string, args ...any) *sloe.Diag {
	p.diags = append(p.diags, sloe.Diag{Pos: at, Msg: fmt.Sprintf(format, args...)})
	return &p.diags[len(p.diags)-1]
}

func (p *prover) names(r *Route) {
	classes, plans := namesOf(p.cfg)
	for _, n := range r.Classes {
		if !slices.Contains(classes, n) {
			p.errorf(r.at("classes"), "route %s: the platform has no class %q%s", r.Name, n, operator.Suggest(n, classes))
		}
	}
	for _, n := range r.Plans {
		if !slices.Contains(plans, n) {
			p.errorf(r.at("plans"), "route %s: the platform has no plan %q%s", r.Name, n, operator.Suggest(n, plans))
		}
	}
	if most := p.cfg.Limits.MaxAttempts; r.MaxAttempts > most {
		p.errorf(r.at("attempts"), "route %s: %d attempts, and the platform allows %d; attempts at most %d", r.Name, r.MaxAttempts, most, most)
	}
	if l := p.cfg.Limits; r.RetryAfter > 0 && !l.RetryAfter {
		p.errorf(r.at("advise"), "route %s: the platform's clients take no advice; leave advise out", r.Name)
	} else if r.RetryAfter > l.MaxRetryAfter {
		p.errorf(r.at("advise"), "route %s: clients follow advice up to %v; advise at most that, not %v", r.Name, l.MaxRetryAfter, r.RetryAfter)
	}
	if r.MaxClientTimeout > 0 && r.MinClientTimeout >= r.MaxClientTimeout {
		p.errorf(r.at("patience-to"), "route %s: no patience is from %v and below %v; patience-to more than %v", r.Name, r.MinClientTimeout,
			r.MaxClientTimeout, r.MinClientTimeout)
	}
}

// class proves a route for one class. A finding of which another follows is told alone.
func (p *prover) class(r *Route, k *decide.Class) {
	most := k.Deadline - p.margins.Response
	if k.Deadline <= 0 {
		most = math.MaxInt64
	}
	if k.Deadline > 0 && r.MinClientTimeout > k.Deadline {
		p.errorf(r.at("patience-from"), "route %s, class %s: no client declares %v or more, as all give up after %v; patience-from at most that",
			r.Name, k.Name, r.MinClientTimeout, k.Deadline)
		return
	}
	if r.TotalTimeout > most {
		p.errorf(r.at("whole"), "route %s, class %s: whole is %v, and clients wait %v, of which %v are for the way; whole at most %v",
			r.Name, k.Name, r.TotalTimeout, k.Deadline, p.margins.Response, most)
		return
	}
	whole := r.TotalTimeout
	if whole == 0 {
		whole = most
	}
	if !p.effects(r, k) || !p.times(r, k, whole) {
		return
	}
	p.copies(r, k, whole)
	p.window(r, k, whole)
}

// mayRun are the outcomes after which an attempt may have run.
const mayRunWords = "error, timed-out or reset"

func (r *Route) repeatsWhatMayHaveRun() bool {
	return r.MaxAttempts > 1 && r.RetryOn&^neverRan != 0
}

func (p *prover) effects(r *Route, k *decide.Class) bool {
	if k.Effect != decide.Unsafe {
		return true
	}
	if r.repeatsWhatMayHaveRun() {
		p.errorf(r.at("again"), "route %s, class %s: it must never run twice, and %s may have run; again = [never-ran], or attempts = 1",
			r.Name, k.Name, mayRunWords)
		return false
	}
	if r.Hedge.Enabled {
		p.errorf(r.at("copy"), "route %s, class %s: it must never run twice, so it takes no second copy; leave copy out", r.Name, k.Name)
		return false
	}
	return true
}

// waits are the waits between attempts that one after the other take together, at their longest.
func (r *Route) waits(attempts int) (sum time.Duration) {
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

// spans is the longest that so many attempts take with their waits.
func (r *Route) spans(attempts int) time.Duration {
	return time.Duration(attempts)*r.AttemptTimeout + r.waits(attempts)
}

func (p *prover) times(r *Route, k *decide.Class, whole time.Duration) bool {
	if r.AttemptTimeout > whole {
		p.errorf(r.at("attempt"), "route %s, class %s: one attempt has %v and the whole %v; attempt at most %v", r.Name, k.Name, r.AttemptTimeout,
			whole, whole)
		return false
	}
	if r.MaxAttempts < 2 {
		return true
	}
	if r.AttemptTimeout == 0 && r.RetryOn.Has(decide.TimedOut) {
		p.errorf(r.at("attempts"), "route %s, class %s: %d attempts, again after timed-out, and no time for one: the first would take the whole; attempt at most %v",
			r.Name, k.Name, r.MaxAttempts, p.each(r, r.MaxAttempts, whole))
		return false
	}
	if need := r.spans(r.MaxAttempts); need > whole {
		fit := r.MaxAttempts
		for fit > 1 && r.spans(fit) > whole {
			fit--
		}
		mend := fmt.Sprintf("attempts at most %d", fit)
		if each := p.each(r, r.MaxAttempts, whole); each > 0 {
			mend += fmt.Sprintf(", or attempt at most %v", each)
		}
		each := ""
		if r.AttemptTimeout > 0 {
			each = fmt.Sprintf(" of %v", r.AttemptTimeout)
		}
		p.errorf(r.at("attempts"), "route %s, class %s: %d attempts%s with waits of %v come to %v, and the whole is %v; %s", r.Name, k.Name,
			r.MaxAttempts, each, r.waits(r.MaxAttempts), need, whole, mend)
		return false
	}
	return true
}

// each is the time that one of so many attempts can have, in whole milliseconds, or 0.
func (p *prover) each(r *Route, attempts int, whole time.Duration) time.Duration {
	if whole == math.MaxInt64 {
		return whole
	}
	return max(0, (whole-r.waits(attempts))/time.Duration(attempts)).Truncate(time.Millisecond)
}

func (p *prover) copies(r *Route, k *decide.Class, whole time.Duration) {
	c := r.Hedge
	if !c.Enabled {
		return
	}
	switch {
	case !p.cfg.Limits.ParallelAttempts:
		p.errorf(r.at("copy"), "route %s: the platform allows one attempt at a time, so no second copy; leave copy out", r.Name)
	case r.MaxAttempts < 2:
		p.errorf(r.at("attempts"), "route %s: a second copy is an attempt, and attempts is %d; attempts at least 2", r.Name, r.MaxAttempts)
	case c.Delay == 0 && c.Quantile == 0:
		p.errorf(r.at("copy"), "route %s: copy says neither after nor quantile; after = 100ms, or quantile = 95%%", r.Name)
	case r.AttemptTimeout > 0 && c.Delay >= r.AttemptTimeout:
		p.errorf(r.at("copy.after"), "route %s, class %s: a second copy after %v never goes out, as an attempt ends after %v; after below %v",
			r.Name, k.Name, c.Delay, r.AttemptTimeout, r.AttemptTimeout)
	case c.MinTimeLeft > whole:
		p.errorf(r.at("copy.least"), "route %s, class %s: a second copy needs %v to win, and the whole is %v; least at most %v", r.Name, k.Name,
			c.MinTimeLeft, whole, max(0, whole-c.Delay))
	case c.Delay+c.MinTimeLeft > whole:
		p.errorf(r.at("copy.after"), "route %s, class %s: a second copy after %v has %v to win, and least is %v; after at most %v", r.Name, k.Name,
			c.Delay, whole-c.Delay, c.MinTimeLeft, max(0, whole-c.MinTimeLeft))
	}
}

// window holds repeats of a keyed class to the time for which nodes drop them, from the first attempt's send through
// the last one's latest moment.
func (p *prover) window(r *Route, k *decide.Class, whole time.Duration) {
	if k.Effect != decide.Keyed || !r.repeatsWhatMayHaveRun() && !r.Hedge.Enabled {
		return
	}
	span := whole
	if r.AttemptTimeout > 0 {
		span = min(whole, r.spans(r.MaxAttempts))
	}
	if most := k.DedupWindow - p.margins.Dedup; span > most {
		p.errorf(r.at("whole"), "route %s, class %s: from the first attempt to the end of the last are %v, and nodes drop a repeat for %v, less %v; whole at most %v",
			r.Name, k.Name, span, k.DedupWindow, p.margins.Dedup, max(0, most))
	}
}

// order finds routes between which nothing decides, and routes that can never match.
func (p *prover) order(routes []*Route) {
	for i, r := range routes {
		for _, o := range routes[:i] {
			if r.rank() == o.rank() && r.meets(o, p.cfg) {
				p.errorf(r.Pos, "route %s and route %s are as specific and match the same requests; narrow one, by customers, classes, plans or patience",
					r.Name, o.Name).Notes = []sloe.Note{{Pos: o.Pos, Msg: "the other route"}}
			}
		}
		for _, o := range routes {
			if o.rank() > r.rank() && o.covers(r, p.cfg) {
				p.errorf(r.Pos, "route %s never matches: route %s is more specific and matches all that it would; narrow %s, or remove %s", r.Name,
					o.Name, o.Name, r.Name).Notes = []sloe.Note{{Pos: o.Pos, Msg: "the route that hides it"}}
				break
			}
		}
	}
}

// named are those that a list means: itself, or all.
func named(list, all []string) []string {
	if len(list) > 0 {
		return list
	}
	return all
}

func namesOf(cfg *decide.Config) (classes, plans []string) {
	for _, k := range cfg.Classes {
		classes = append(classes, k.Name)
	}
	for _, t := range cfg.Plans {
		plans = append(plans, t.Name)
	}
	return classes, plans
}

func common(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}

func subset(a, of []string) bool {
	return !slices.ContainsFunc(a, func(s string) bool { return !slices.Contains(of, s) })
}

// meets reports whether some request fits both routes, which are of the same rank.
func (r *Route) meets(o *Route, cfg *decide.Config) bool {
	classes, plans := namesOf(cfg)
	return common(named(r.Classes, classes), named(o.Classes, classes)) && common(named(r.Plans, plans), named(o.Plans, plans)) &&
		before(r.MinClientTimeout, o.MaxClientTimeout) && before(o.MinClientTimeout, r.MaxClientTimeout) && r.meetsCustomers(o)
}

// before reports whether a start lies before an end, of which 0 is none.
func before(from, to time.Duration) bool { return to == 0 || from < to }

func (r *Route) meetsCustomers(o *Route) bool {
	if len(r.Customers) > 0 {
		return slices.ContainsFunc(r.Customers, func(c uint64) bool { return slices.Contains(o.Customers, c) })
	}
	return strings.EqualFold(r.CustomerPrefix, o.CustomerPrefix) // the same rank: as long
}

// covers reports whether every request that fits a route of lower rank fits this one too.
func (o *Route) covers(r *Route, cfg *decide.Config) bool {
	classes, plans := namesOf(cfg)
	return subset(named(r.Classes, classes), named(o.Classes, classes)) && subset(named(r.Plans, plans), named(o.Plans, plans)) &&
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
		c, _ := number(r.CustomerPrefix)
		return fits(c)
	case len(o.Customers) > 0:
		return false
	}
	return strings.HasPrefix(strings.ToLower(r.CustomerPrefix), strings.ToLower(o.CustomerPrefix))
}
