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

// Margins are the safety margins that a gateway keeps before the time limits of clients and nodes.
type Margins struct {
	Response time.Duration // an answer is sent at least this long before the client's timeout ends
	Dedup    time.Duration // the last attempt ends at least this long before nodes forget the idempotency key
}

// validator collects the errors of routes. Each message names the rule, the values and the smallest change that fixes it.
type validator struct {
	cfg     *decide.Config
	margins Margins
	diags   sloe.Diags
}

// Validate checks each route against each class that it can match, by the platform's settings. If it returns no errors,
// no sequence of outcomes makes a request on these routes break a rule, as all durations are those of the worst case.
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

// checkRoute checks what does not depend on the class: names, limits of the platform and the range of client timeouts.
func (p *validator) checkRoute(r *Route) {
	classes, plans := classAndPlanNames(p.cfg)
	for _, n := range r.Classes {
		if !slices.Contains(classes, n) {
			p.errorf(r.position("classes"), "route %s: the platform has no class %q%s", r.Name, n, operator.Suggest(n, classes))
		}
	}
	for _, n := range r.Plans {
		if !slices.Contains(plans, n) {
			p.errorf(r.position("plans"), "route %s: the platform has no plan %q%s", r.Name, n, operator.Suggest(n, plans))
		}
	}
	if limit := p.cfg.Limits.MaxAttempts; r.MaxAttempts > limit {
		p.errorf(r.position("attempts"), "route %s: %d attempts, but the platform allows %d; attempts at most %d", r.Name, r.MaxAttempts, limit, limit)
	}
	if l := p.cfg.Limits; r.RetryAfter > 0 && !l.RetryAfter {
		p.errorf(r.position("advise"), "route %s: the platform's clients do not follow retry advice; remove advise", r.Name)
	} else if r.RetryAfter > l.MaxRetryAfter {
		p.errorf(r.position("advise"), "route %s: clients follow retry advice up to %v; advise at most that, not %v", r.Name, l.MaxRetryAfter, r.RetryAfter)
	}
	if r.MaxClientTimeout > 0 && r.MinClientTimeout >= r.MaxClientTimeout {
		p.errorf(r.position("patience-to"), "route %s: the range of patience from %v to below %v is empty; patience-to more than %v", r.Name, r.MinClientTimeout,
			r.MaxClientTimeout, r.MinClientTimeout)
	}
}

// checkClass checks a route for one class. It stops at an error that would cause others, so that only the cause is reported.
func (p *validator) checkClass(r *Route, k *decide.Class) {
	maxTotal := k.Deadline - p.margins.Response
	if k.Deadline <= 0 {
		maxTotal = math.MaxInt64
	}
	if k.Deadline > 0 && r.MinClientTimeout > k.Deadline {
		p.errorf(r.position("patience-from"), "route %s, class %s: no client waits %v or longer, as the deadline of the class is %v; patience-from at most that",
			r.Name, k.Name, r.MinClientTimeout, k.Deadline)
		return
	}
	if r.TotalTimeout > maxTotal {
		p.errorf(r.position("whole"), "route %s, class %s: whole is %v, but clients wait %v, less a margin of %v; whole at most %v",
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

// mayHaveRunNames lists the outcomes after which an attempt may have run, for messages.
const mayHaveRunNames = "error, timed-out or reset"

// retriesAfterExecution reports whether the route retries attempts that may have run.
func (r *Route) retriesAfterExecution() bool {
	return r.MaxAttempts > 1 && r.RetryOn&^notExecuted != 0
}

// checkEffect checks that the route never repeats an attempt of an unsafe class that may have run.
func (p *validator) checkEffect(r *Route, k *decide.Class) bool {
	if k.Effect != decide.Unsafe {
		return true
	}
	if r.retriesAfterExecution() {
		p.errorf(r.position("again"), "route %s, class %s: it is unsafe to repeat, and an attempt that ended with %s may have run; again = [never-ran], or attempts = 1",
			r.Name, k.Name, mayHaveRunNames)
		return false
	}
	if r.Hedge.Enabled {
		p.errorf(r.position("copy"), "route %s, class %s: it is unsafe to repeat, so a second copy is not allowed; remove copy", r.Name, k.Name)
		return false
	}
	return true
}

// totalBackoff returns the sum of the waits between a number of sequential attempts, each with the most jitter.
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

// totalDuration returns the longest time that a number of sequential attempts takes, waits included.
func (r *Route) totalDuration(attempts int) time.Duration {
	return time.Duration(attempts)*r.AttemptTimeout + r.totalBackoff(attempts)
}

// checkTimeouts checks that all attempts and the waits between them fit into the total time.
func (p *validator) checkTimeouts(r *Route, k *decide.Class, total time.Duration) bool {
	if r.AttemptTimeout > total {
		p.errorf(r.position("attempt"), "route %s, class %s: one attempt may take %v, but the whole request %v; attempt at most %v", r.Name, k.Name, r.AttemptTimeout,
			total, total)
		return false
	}
	if r.MaxAttempts < 2 {
		return true
	}
	if r.AttemptTimeout == 0 && r.RetryOn.Has(decide.TimedOut) {
		p.errorf(r.position("attempts"), "route %s, class %s: %d attempts, again after timed-out, but no attempt time: the first attempt can use up the whole time; attempt at most %v",
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
		p.errorf(r.position("attempts"), "route %s, class %s: %d attempts%s and waits of %v take up to %v, but the whole request may take %v; %s", r.Name, k.Name,
			r.MaxAttempts, attemptTimeout, r.totalBackoff(r.MaxAttempts), need, total, fix)
		return false
	}
	return true
}

// maxAttemptTimeout returns the longest attempt timeout with which a number of attempts fits into the total, in whole
// milliseconds, or 0 if the waits alone take longer.
func (p *validator) maxAttemptTimeout(r *Route, attempts int, total time.Duration) time.Duration {
	if total == math.MaxInt64 {
		return total
	}
	return max(0, (total-r.totalBackoff(attempts))/time.Duration(attempts)).Truncate(time.Millisecond)
}

// checkHedge checks that a hedged attempt is allowed and that it can be sent in time.
func (p *validator) checkHedge(r *Route, k *decide.Class, total time.Duration) {
	c := r.Hedge
	if !c.Enabled {
		return
	}
	switch {
	case !p.cfg.Limits.ParallelAttempts:
		p.errorf(r.position("copy"), "route %s: the platform does not allow parallel attempts, so no second copy; remove copy", r.Name)
	case r.MaxAttempts < 2:
		p.errorf(r.position("attempts"), "route %s: a second copy counts as an attempt, but attempts is %d; attempts at least 2", r.Name, r.MaxAttempts)
	case c.Delay == 0 && c.Quantile == 0:
		p.errorf(r.position("copy"), "route %s: copy sets neither after nor quantile; after = 100ms, or quantile = 95%%", r.Name)
	case r.AttemptTimeout > 0 && c.Delay >= r.AttemptTimeout:
		p.errorf(r.position("copy.after"), "route %s, class %s: a second copy after %v is never sent, as an attempt ends after %v; after below %v",
			r.Name, k.Name, c.Delay, r.AttemptTimeout, r.AttemptTimeout)
	case c.MinTimeLeft > total:
		p.errorf(r.position("copy.least"), "route %s, class %s: a second copy needs %v, but the whole request may take %v; least at most %v", r.Name, k.Name,
			c.MinTimeLeft, total, max(0, total-c.Delay))
	case c.Delay+c.MinTimeLeft > total:
		p.errorf(r.position("copy.after"), "route %s, class %s: a second copy after %v has %v left, but least is %v; after at most %v", r.Name, k.Name,
			c.Delay, total-c.Delay, c.MinTimeLeft, max(0, total-c.MinTimeLeft))
	}
}

// checkDedupWindow checks that the time from the sending of the first attempt to the latest end of the last one is within
// the deduplication window of a keyed class. After the window nodes no longer drop a repeat.
func (p *validator) checkDedupWindow(r *Route, k *decide.Class, total time.Duration) {
	if k.Effect != decide.Keyed || !r.retriesAfterExecution() && !r.Hedge.Enabled {
		return
	}
	span := total
	if r.AttemptTimeout > 0 {
		span = min(total, r.totalDuration(r.MaxAttempts))
	}
	if window := k.DedupWindow - p.margins.Dedup; span > window {
		p.errorf(r.position("whole"), "route %s, class %s: all attempts together take up to %v, but nodes drop repeats for %v, less a margin of %v; whole at most %v",
			r.Name, k.Name, span, k.DedupWindow, p.margins.Dedup, max(0, window))
	}
}

// checkOverlaps reports routes of the same specificity that can match the same request, and routes that never match because
// a more specific one matches all their requests.
func (p *validator) checkOverlaps(routes []*Route) {
	for i, r := range routes {
		for _, o := range routes[:i] {
			if r.specificity() == o.specificity() && r.overlaps(o, p.cfg) {
				p.errorf(r.Pos, "route %s and route %s are equally specific and can match the same request; narrow one by customers, classes, plans or patience",
					r.Name, o.Name).Notes = []sloe.Note{{Pos: o.Pos, Msg: "the other route"}}
			}
		}
		for _, o := range routes {
			if o.specificity() > r.specificity() && o.covers(r, p.cfg) {
				p.errorf(r.Pos, "route %s never matches: route %s is more specific and matches all of its requests; narrow %s, or remove %s", r.Name,
					o.Name, o.Name, r.Name).Notes = []sloe.Note{{Pos: o.Pos, Msg: "the route that hides it"}}
				break
			}
		}
	}
}

// listOrAll returns the list, or all names if it is empty.
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

// overlaps reports whether some request matches both routes, which have the same specificity.
func (r *Route) overlaps(o *Route, cfg *decide.Config) bool {
	classes, plans := classAndPlanNames(cfg)
	return intersects(listOrAll(r.Classes, classes), listOrAll(o.Classes, classes)) && intersects(listOrAll(r.Plans, plans), listOrAll(o.Plans, plans)) &&
		startsBefore(r.MinClientTimeout, o.MaxClientTimeout) && startsBefore(o.MinClientTimeout, r.MaxClientTimeout) && r.customersOverlap(o)
}

// startsBefore reports whether a range that starts at from begins before the end to; a to of 0 is no end.
func startsBefore(from, to time.Duration) bool { return to == 0 || from < to }

func (r *Route) customersOverlap(o *Route) bool {
	if len(r.Customers) > 0 {
		return slices.ContainsFunc(r.Customers, func(c uint64) bool { return slices.Contains(o.Customers, c) })
	}
	return strings.EqualFold(r.CustomerPrefix, o.CustomerPrefix) // prefixes of the same specificity have the same length
}

// covers reports whether every request that matches r, a less specific route, matches this one too.
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
