package peerinfo

import (
	"math"
	"time"
)

// missProbability is the accepted probability that a record is older than StalenessBound.
const missProbability = 1e-6

// StalenessBound returns how old the newest record that a member has of another may be, in a fleet of that many members
// where the given share of messages is lost and each message takes at most delay. The bound fails for one record in a
// million.
//
// Each member publishes a record every Interval. At first only its author has it: a round in which no other member
// learns it has the probability exp(-Fanout p), where p is the probability that a query and its reply both arrive. The
// bound allows for as many such rounds as are likely to occur. From then on each round multiplies the share u of
// members that lack the record by (1 - (1-u) p)^Fanout, until it is likely that no member lacks it. A round takes one
// Interval, and a query with its reply takes two delays.
//
// A query covers only as many authors as fit into one message. In a larger fleet a round takes as many Intervals as
// queries are needed to cover all authors.
//
// A time during which members can't reach each other adds to the bound.
func (c *Config) StalenessBound(members int, loss float64, delay time.Duration) time.Duration {
	if members < 2 {
		return 0
	}
	fanout, roundTrip := float64(min(c.Fanout, members-1)), (1-loss)*(1-loss)
	rounds := 1 + math.Ceil(math.Log(1/missProbability)/(fanout*roundTrip))
	if members-1 <= c.Fanout { // every member is queried, so one reply is enough
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
