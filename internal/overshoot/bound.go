// Package allowance states how far a customer's limit may be passed while members of a fleet fail, as functions: tests hold what nodes were
// sent to them, and the status tells by them how things stand. docs/design/limits.md has where each term comes from. Pure.
package overshoot

import "time"

const (
	replicaLagBursts  = 0.2 // bursts: what one home lets in before it tells the other
	knownExcessFactor = 1.3 // the width of a step in which a flood's share is told, 2^0.75, halved both ways
	unknownEvenShares = 4.0 // even parts that a gateway lets in of a customer that nobody told of, without its homes
)

// Plan is a customer's limit.
type Plan struct{ Rate, Burst float64 } // units a second, and at once

// Incident is what happened in a time.
type Incident struct {
	Duration            time.Duration // the time that is looked at
	CoordinatorSilence  time.Duration // of it: no home of the customer was heard
	KnownOverQuota      bool          // the customer was told of as flooding before the silence
	CoordinatorRestarts int           // times that a home of it began anew, with nothing known
}

// MaxAdmitted is how many units of a customer all gateways together let in, at most, where homes keep its bucket: what its rate gives and its
// burst, and what Over tells.
func MaxAdmitted(p Plan, t Incident) float64 {
	return p.Rate*t.Duration.Seconds() + p.Burst + MaxExcess(p, t)
}

// MaxExcess is how many of these may be beyond rate x time + burst: a fifth of a burst that one home let in before the other knew; a burst for
// each time that a home began anew; in silence 1.3 times the rate, or four even parts at each gateway where nobody knew that it floods.
// For ceilings it is nothing beyond the platform's slack, whoever hears whom.
func MaxExcess(p Plan, t Incident) float64 {
	outage := knownExcessFactor * p.Rate * t.CoordinatorSilence.Seconds()
	if !t.KnownOverQuota && t.CoordinatorSilence > 0 {
		outage = unknownEvenShares * (p.Rate*t.CoordinatorSilence.Seconds() + p.Burst)
	}
	return outage + (replicaLagBursts+float64(t.CoordinatorRestarts))*p.Burst
}

// MaxExcessRatio is what a customer that is known to flood may get beyond its rate in a time, as a share of what the rate gives in it, where its
// home was silent for a while; a fifth of a burst comes on top.
func MaxExcessRatio(silence, window time.Duration) float64 {
	return knownExcessFactor * min(silence, window).Seconds() / window.Seconds()
}
