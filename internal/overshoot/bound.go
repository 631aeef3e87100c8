// Package overshoot computes how far a customer's limit may be exceeded while members of a fleet fail. Its functions
// are pure. Tests check by them what reached the nodes, and the fleet's status shows their results.
// docs/design/limits.md derives each term.
package overshoot

import "time"

const (
	replicaLagBursts = 0.2 // in bursts: what one coordinator admits before its replica knows of it
	// An over-quota customer's share is reported in steps of a factor of 2^0.75, so it may be off by half a step,
	// 2^0.375, either way.
	knownExcessFactor = 1.3
	// A gateway admits so many even shares of a customer that was not reported over quota while its coordinators are
	// unreachable.
	unknownEvenShares = 4.0
)

// Plan is a customer's limit.
type Plan struct{ Rate, Burst float64 } // units a second, and units at once

// Incident describes the failures in a period.
type Incident struct {
	Duration            time.Duration // of the period
	CoordinatorSilence  time.Duration // part of Duration in which none of the customer's coordinators was reachable
	KnownOverQuota      bool          // the customer was reported over quota before CoordinatorSilence began
	CoordinatorRestarts int           // restarts of a coordinator that lost the customer's bucket
}

// MaxAdmitted returns how many units of a customer all gateways together may admit while coordinators keep its bucket:
// what the rate gives in the period, the burst, and MaxExcess.
func MaxAdmitted(p Plan, t Incident) float64 {
	return p.Rate*t.Duration.Seconds() + p.Burst + MaxExcess(p, t)
}

// MaxExcess returns how many of these units may exceed rate x time + burst: a fifth of a burst that one coordinator
// admits before its replica knows of it, a burst for each restart of a coordinator, and during CoordinatorSilence 1.3
// times the rate, or four even shares at each gateway where the customer was not known to be over quota. Ceilings are
// exceeded by no more than the platform's slack, whichever members reach each other.
func MaxExcess(p Plan, t Incident) float64 {
	outage := knownExcessFactor * p.Rate * t.CoordinatorSilence.Seconds()
	if !t.KnownOverQuota && t.CoordinatorSilence > 0 {
		outage = unknownEvenShares * (p.Rate*t.CoordinatorSilence.Seconds() + p.Burst)
	}
	return outage + (replicaLagBursts+float64(t.CoordinatorRestarts))*p.Burst
}

// MaxExcessRatio returns how much a customer that is known to be over quota may get beyond its rate in a window, as a
// share of what the rate gives in it, if its coordinators were unreachable for the time of silence. A fifth of a burst
// may be added to it.
func MaxExcessRatio(silence, window time.Duration) float64 {
	return knownExcessFactor * min(silence, window).Seconds() / window.Seconds()
}
