package route

import (
	"fmt"
	"strings"
	"time"

	"sloepick/decide"
	"sloepick/internal/operator"
)

// The words for outcomes after which another attempt may be made. A cancelled attempt is one that timed out while the
// gateway itself came late.
var outcomeWords = []string{"never-ran", "error", "timed-out", "reset"}

var (
	neverRan = decide.NewOutcomeSet(decide.Rejected, decide.NoConnection, decide.NotSent)
	outcomes = map[string]decide.OutcomeSet{
		"never-ran": decide.NewOutcomeSet(decide.Rejected, decide.NoConnection),
		"error":     decide.NewOutcomeSet(decide.Error),
		"timed-out": decide.NewOutcomeSet(decide.TimedOut, decide.Cancelled),
		"reset":     decide.NewOutcomeSet(decide.Reset),
	}
)

// Block declares the block route.
func Block() *operator.Block {
	return &operator.Block{
		Name: "route", Labeled: true, Check: checkBlock,
		Doc: "Bounds within which requests are tried. A request gets the most specific route that matches it: one that names its customer, then the longest prefix, then one that names its class, its plan, its patience. Without one the module's own bounds hold.",
		Keys: []operator.Key{
			{Name: "classes", Kind: operator.Text, List: true, Optional: true, Doc: "The classes it matches; left out: all."},
			{Name: "plans", Kind: operator.Text, List: true, Optional: true, Doc: "The plans it matches; left out: all."},
			{Name: "customers", Kind: operator.Text, List: true, Optional: true, Doc: "The customers it matches, each as 16 hex digits; left out: all."},
			{Name: "customer-prefix", Kind: operator.Text, Optional: true, Doc: "The first hex digits of the customers it matches, in place of customers."},
			{Name: "patience-from", Kind: operator.Duration, Default: "0s", Max: "1h", Doc: "The least patience that a client declares, to match."},
			{Name: "patience-to", Kind: operator.Duration, Optional: true, Min: "1ms", Max: "1h", Doc: "The patience from which on it does not match; left out: none."},
			{Name: "attempt", Kind: operator.Duration, Optional: true, Min: "1ms", Max: "1h", Strictness: operator.HigherIsLooser, Doc: "Time for one attempt; left out: to the request's end."},
			{Name: "whole", Kind: operator.Duration, Optional: true, Min: "1ms", Max: "1h", Strictness: operator.HigherIsLooser, Doc: "Time for all attempts from the request on; left out: to the client's patience."},
			{Name: "attempts", Kind: operator.Count, Default: "2", Min: "1", Max: "100", Strictness: operator.HigherIsLooser, Doc: "Attempts in all, second copies among them."},
			{Name: "again", Kind: operator.Word, AllowedWords: outcomeWords, List: true, Default: "[never-ran]", Doc: "What an attempt may have ended with to be followed by another."},
			{Name: "wait", Kind: operator.Duration, Default: "0s", Max: "1m", Strictness: operator.LowerIsLooser, Doc: "Wait before the first further attempt."},
			{Name: "wait-growth", Kind: operator.Share, Default: "200%", Min: "100%", Max: "1000%", Doc: "Each further wait as a share of the one before."},
			{Name: "wait-most", Kind: operator.Duration, Optional: true, Min: "1ms", Max: "1m", Doc: "The longest wait, before jitter."},
			{Name: "jitter", Kind: operator.Share, Default: "20%", Max: "100%", Doc: "A wait is longer or shorter by so much, at random."},
			{Name: "budget", Kind: operator.Share, Default: "15%", Max: "1000%", Strictness: operator.HigherIsLooser, Doc: "Further attempts as a share of first ones, for each node group (cell). Second copies count."},
			{Name: "budget-floor", Kind: operator.Rate, RateItem: "reqs", Default: "1reqs/s", Max: "10000reqs/s", Strictness: operator.HigherIsLooser, Doc: "Further attempts that each node group may get besides, so that few requests can be repeated too."},
			{Name: "open", Kind: operator.Count, Optional: true, Min: "1", Max: "1000000", Strictness: operator.HigherIsLooser, Doc: "Requests of the route that may be open at once; others are refused at once. Left out: no bound."},
			{Name: "advise", Kind: operator.Duration, Optional: true, Min: "1ms", Max: "1h", Doc: "When a client that is refused should come again; left out: the module's own advice."},
		},
		Blocks: []*operator.Block{{
			Name: "copy", Doc: "A second copy, while the first attempt is out. Without the block there is none.",
			Keys: []operator.Key{
				{Name: "after", Kind: operator.Duration, Optional: true, Min: "1ms", Max: "1m", Strictness: operator.LowerIsLooser, Doc: "The first attempt has been out for so long. Beside a quantile: until 50 answers were seen."},
				{Name: "quantile", Kind: operator.Share, Optional: true, Min: "50%", Max: "99.9%", Doc: "The first attempt has been out for longer than this share of the answers of its route and class took."},
				{Name: "least", Kind: operator.Duration, Default: "20ms", Max: "1m", Doc: "Time that must be left to a second copy to win."},
			},
		}},
	}
}

func checkBlock(s *operator.Section) (out []operator.Problem) {
	_, bad := read(s)
	return bad
}

// read is a route as the block has it.
func read(s *operator.Section) (r *Route, bad []operator.Problem) {
	r = &Route{Name: s.Label, Pos: s.Pos(""), place: s.Pos, Classes: s.Texts("classes"), Plans: s.Texts("plans"),
		MinClientTimeout: s.Duration("patience-from"), MaxAttempts: s.Count("attempts"), RetryOnNames: s.Texts("again"), InitialBackoff: s.Duration("wait"),
		BackoffFactor: s.Share("wait-growth"), Jitter: s.Share("jitter"), RetryRatio: s.Share("budget"), MinRetriesPerSecond: s.Rate("budget-floor")}
	for key, to := range map[string]*time.Duration{"patience-to": &r.MaxClientTimeout, "attempt": &r.AttemptTimeout, "whole": &r.TotalTimeout, "wait-most": &r.MaxBackoff, "advise": &r.RetryAfter} {
		if s.IsSet(key) {
			*to = s.Duration(key)
		}
	}
	if s.IsSet("open") {
		r.MaxOpen = s.Count("open")
	}
	for _, w := range r.RetryOnNames {
		r.RetryOn |= outcomes[w]
	}
	for _, text := range s.Texts("customers") {
		c, ok := number(text)
		if !ok {
			bad = append(bad, operator.Problem{Key: "customers", Msg: fmt.Sprintf("customer %q is not 16 hex digits", text)})
		}
		r.Customers = append(r.Customers, c)
	}
	if s.IsSet("customer-prefix") {
		r.CustomerPrefix = s.Text("customer-prefix")
		if _, ok := number(r.CustomerPrefix + strings.Repeat("0", max(0, customerDigits-len(r.CustomerPrefix)))); !ok || r.CustomerPrefix == "" {
			bad = append(bad, operator.Problem{Key: "customer-prefix", Msg: fmt.Sprintf("%q is not 1 to 16 hex digits", r.CustomerPrefix)})
		}
		if len(r.Customers) > 0 {
			bad = append(bad, operator.Problem{Key: "customer-prefix", Msg: "a route names customers or a prefix, not both"})
		}
	}
	if c := s.Section("copy"); c.Present() {
		r.Hedge = HedgePolicy{Enabled: true, MinTimeLeft: c.Duration("least")}
		if c.IsSet("after") {
			r.Hedge.Delay = c.Duration("after")
		}
		if c.IsSet("quantile") {
			r.Hedge.Quantile = c.Share("quantile")
		}
	}
	return r, bad
}

// FromConfig reads the routes of a checked configuration.
func FromConfig(c *operator.Config) (all []*Route) {
	for _, s := range c.Sections("route") {
		r, _ := read(s)
		all = append(all, r)
	}
	return all
}
