package testbed

import (
	"fmt"
	"slices"
	"time"
)

// Rules are the limits that an audit checks.
type Rules struct {
	AnswerSlack    time.Duration // how late a reply may be after a client's patience, and an attempt after the reply
	DrainGrace     time.Duration
	ColdCapacity   float64
	ColdDuration   time.Duration
	OverloadFactor float64
	OverloadWindow time.Duration
	Cores          int // of each node
	Ceilings       map[string]Ceiling
	// SchedulingDelay returns for how long the machine delayed processes between two times, by which replies may
	// be later; nil: no delay.
	SchedulingDelay func(from, to time.Time) time.Duration
}

// slack returns by how much an event may be late in an interval.
func (r *Rules) slack(from, to time.Time) time.Duration {
	if r.SchedulingDelay == nil {
		return r.AnswerSlack
	}
	return r.AnswerSlack + r.SchedulingDelay(from, to)
}

// Ceiling is a plan's ceiling: a token bucket of Depth units that refills at Rate per second and may go below zero
// by Slack.
type Ceiling struct{ Rate, Depth, Slack float64 }

// RuleResult is the result of the check of one rule.
type RuleResult struct {
	Rule       string
	Examples   []string // descriptions of the first few violations
	Violations int      // total
	Checked    int      // number of checked items
	WorstLoad  float64  // rule on cold nodes: the largest load of a node as a share of what is allowed
}

const maxExamples = 5 // violations that a result describes

func (v *RuleResult) addViolation(format string, args ...any) {
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// Units returns the sum of units that nodes received for a customer, each request counted once.
func (r *Recorder) Units(customer string) (sum float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	for _, a := range r.arrivals {
		if a.Customer == customer && !seen[a.ID] {
			seen[a.ID] = true
			sum += a.Units
		}
	}
	return sum
}

// DrainPeriod is the time from the announcement that a node drains to its restart.
type DrainPeriod struct {
	Node        string
	AnnouncedAt time.Time
	RestartedAt time.Time // zero: not restarted
}

// Audit checks what clients and nodes observed against the five rules.
func Audit(rules Rules, results []RequestResult, recorder *Recorder, drains []DrainPeriod) []RuleResult {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return []RuleResult{checkAnswers(rules, results, recorder), checkEffects(results, recorder), checkDrains(rules, recorder, drains),
		checkColdNodes(rules, recorder), checkCeilings(rules, results, recorder)}
}

func checkAnswers(rules Rules, results []RequestResult, recorder *Recorder) RuleResult {
	v := RuleResult{Rule: "one answer in time, no attempt after it", Checked: len(results)}
	endedAt := map[string]time.Time{}
	for _, e := range results {
		endedAt[e.ID] = e.EndedAt
		if e.Outcome == OutcomeLost {
			v.addViolation("%s got no answer: %s", e.ID, e.Detail)
		} else if late := e.EndedAt.Sub(e.SentAt) - e.Patience; late > rules.AnswerSlack && late > rules.slack(e.SentAt, e.EndedAt) {
			v.addViolation("%s was answered %v late", e.ID, late)
		}
	}
	for _, a := range recorder.arrivals {
		if at, ok := endedAt[a.ID]; ok && a.At.After(at.Add(rules.AnswerSlack)) && a.At.After(at.Add(rules.slack(at, a.At))) {
			v.addViolation("%s reached %s %v after its answer", a.ID, a.Node, a.At.Sub(at))
		}
	}
	return v
}

func checkEffects(results []RequestResult, recorder *Recorder) RuleResult {
	v := RuleResult{Rule: "no duplicate effect, no refusal of an executed request"}
	keyed := map[string]bool{}
	for _, a := range recorder.arrivals {
		keyed[a.ID] = a.Key != ""
	}
	for id, n := range recorder.effects {
		if keyed[id] {
			v.Checked++
			if n > 1 {
				v.addViolation("%s took effect %d times", id, n)
			}
		}
	}
	for _, e := range results {
		if keyed[e.ID] && e.Outcome == OutcomeRefused && recorder.effects[e.ID] > 0 {
			v.addViolation("%s was refused and took effect", e.ID)
		}
	}
	return v
}

func checkDrains(rules Rules, recorder *Recorder, drains []DrainPeriod) RuleResult {
	v := RuleResult{Rule: "no new requests to a draining node", Checked: len(drains)}
	for _, d := range drains {
		for _, a := range recorder.arrivals {
			if a.Node == d.Node && a.At.After(d.AnnouncedAt.Add(rules.DrainGrace)) && (d.RestartedAt.IsZero() || a.At.Before(d.RestartedAt)) {
				v.addViolation("%s reached %s %v after the announcement of the drain", a.ID, a.Node, a.At.Sub(d.AnnouncedAt))
			}
		}
	}
	return v
}

// checkColdNodes checks the load on nodes that have just started: in any window a node may receive, besides its
// largest request, at most OverloadFactor times the work that it can do in that time.
func checkColdNodes(rules Rules, recorder *Recorder) RuleResult {
	v := RuleResult{Rule: "no overload of a cold node"}
	cfg := NodeConfig{ColdCapacity: rules.ColdCapacity, ColdDuration: rules.ColdDuration}
	for node, starts := range recorder.starts {
		for _, start := range starts {
			v.Checked++
			var arrivals []Arrival
			for _, a := range recorder.arrivals {
				if since := a.At.Sub(start); a.Node == node && since >= 0 && since < rules.ColdDuration {
					arrivals = append(arrivals, a)
				}
			}
			slices.SortFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
			for i, first := range arrivals {
				sent, largest := time.Duration(0), time.Duration(0)
				for _, a := range arrivals[i:] {
					if a.At.Sub(first.At) > rules.OverloadWindow {
						break
					}
					sent, largest = sent+a.Work, max(largest, a.Work)
				}
				capacity := rules.OverloadFactor * float64(rules.Cores) * cfg.speed(first.At.Sub(start)) * float64(rules.OverloadWindow)
				v.WorstLoad = max(v.WorstLoad, float64(sent-largest)/capacity)
				if float64(sent-largest) > capacity {
					v.addViolation("%s received %v of work within %v, %v after its start", node, sent, rules.OverloadWindow, first.At.Sub(start))
				}
			}
		}
	}
	return v
}

func checkCeilings(rules Rules, results []RequestResult, recorder *Recorder) RuleResult {
	v := RuleResult{Rule: "ceilings kept across all gateways"}
	plans, seen := map[string]string{}, map[string]bool{}
	for _, e := range results {
		plans[e.Customer] = e.Plan
	}
	type bucket struct {
		level float64
		at    time.Time
	}
	buckets := map[string]*bucket{}
	sorted := slices.Clone(recorder.arrivals)
	slices.SortFunc(sorted, func(a, b Arrival) int { return a.At.Compare(b.At) })
	for _, a := range sorted {
		c, ok := rules.Ceilings[plans[a.Customer]]
		if !ok || seen[a.ID] {
			continue
		}
		seen[a.ID] = true
		b := buckets[a.Customer]
		if b == nil {
			b = &bucket{c.Depth, a.At}
			buckets[a.Customer] = b
		}
		b.level = min(c.Depth, b.level+c.Rate*a.At.Sub(b.at).Seconds()) - a.Units
		b.at = a.At
		if b.level < -c.Slack {
			v.addViolation("the ceiling's bucket of customer %s is %.1f units below zero", a.Customer, -b.level)
		}
	}
	v.Checked = len(buckets)
	return v
}
