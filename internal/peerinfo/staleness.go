package peerinfo

import (
	"math"
	"time"
)

// missProbability is how likely it may be that news is older than Stale tells.
const missProbability = 1e-6

// StalenessBound is how old the newest that a member knows of another one may be where so many members hear each other: that share of messages is
// lost, and each takes so long at most. It does not hold for one piece of news in a million.
//
// News is said each Every. At first one member has it: a round in which nobody learns it is as likely as exp(-Fan p), where p is that a
// question and its answer both come; so many rounds are waited for until that is unlikely. Then the share u that lacks it falls by the
// factor (1 - (1-u) p)^Fan a round, until it is likely that nobody does. A round is Every, and an answer is on its way for two delays.
//
// One question names no more authors than it has room for, so where there are more members than that, a round takes as many times Every as
// it takes questions to name all.
//
// Where members don't hear each other for a time, add that time.
func (c *Config) StalenessBound(members int, loss float64, delay time.Duration) time.Duration {
	if members < 2 {
		return 0
	}
	fanout, roundTrip := float64(min(c.Fanout, members-1)), (1-loss)*(1-loss)
	rounds := 1 + math.Ceil(math.Log(1/missProbability)/(fanout*roundTrip))
	if members-1 <= c.Fanout { // all are asked, so it is enough that one of the questions is answered
		rounds = 1 + math.Ceil(math.Log(missProbability)/math.Log(1-roundTrip+missProbability))
	} else {
		for uninformed := 1 - 1/float64(members); uninformed*float64(members) > missProbability*float64(members); rounds++ {
			uninformed *= math.Pow(1-(1-uninformed)*roundTrip, fanout)
		}
	}
	authorsPerQuery := (c.MaxMessageBytes - messageOverhead - 2*maxNameBytes) / digestEntryBytes
	round := float64(c.Interval) * (1 + c.ClockDrift) * math.Ceil(float64(members)/float64(authorsPerQuery))
	return time.Duration(float64(c.Interval) + round*(1+rounds) + rounds*2*float64(delay))
}
