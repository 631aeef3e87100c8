package peermsg

import (
	"math"
	"strings"
)

// What peers tell all others: a head, and an entry for each customer of which something changed.
const (
	totalsVersion   = "e" // messages that begin otherwise are not understood and dropped, but for
	leaveVersion    = "x" // one that a gateway sends as it stops: a head alone
	totalsHeaderLen = 5   // version; two digits each: epoch, number
	entryLen        = 13  // customer of six digits, plan, used of two, asked of two, attempts out, level
	levelSteps      = 30.0

	MaxEntries     = (MaxSize - totalsHeaderLen) / entryLen // entries of a message
	CounterModulus = 4096                                   // a message's number, an epoch and a total wrap there
)

// Totals is such a message.
type Totals struct {
	Epoch, Seq int  // the sender's life, and the message's number in it
	Leaving    bool // the sender stops
	Entries    []Entry
}

// Entry is what the sender tells of a customer.
type Entry struct {
	Key             uint64
	Plan            int
	Used, Requested float64 // units that it has let in and was asked for in all; read, they wrap at NumbersOf
	Open            int     // attempts that it has out; read, 63 at most
	Level           float64 // of the customer's bucket, in bursts; read, 63/30 at most
}

// Encode is the message as it is sent.
func (t Totals) Encode() string {
	var b strings.Builder
	if t.Leaving {
		b.WriteString(leaveVersion)
	} else {
		b.WriteString(totalsVersion)
	}
	encode(&b, uint64(t.Epoch), 2)
	encode(&b, uint64(t.Seq), 2)
	for _, e := range t.Entries {
		encode(&b, e.Key, 6)
		encode(&b, uint64(e.Plan), 1)
		encode(&b, uint64(int64(math.Round(e.Used)))&(CounterModulus-1), 2)
		encode(&b, uint64(int64(math.Round(e.Requested)))&(CounterModulus-1), 2)
		encode(&b, uint64(min(63, e.Open)), 1)
		encode(&b, uint64(min(63, math.Round(levelSteps*e.Level))), 1)
	}
	return b.String()
}

// ParseTotals reads a message, its entries into the list that is handed in; ok is false if any of it is malformed.
func ParseTotals(s string, list []Entry) (t Totals, ok bool) {
	if len(s) < totalsHeaderLen || (len(s)-totalsHeaderLen)%entryLen != 0 {
		return t, false
	}
	t.Leaving = s[:1] == leaveVersion && len(s) == totalsHeaderLen
	if _, ok = decode(s[1:]); !ok || (s[:1] != totalsVersion && !t.Leaving) {
		return Totals{}, false
	}
	head, _ := decode(s[1:totalsHeaderLen])
	t.Epoch, t.Seq, t.Entries = int(head>>12), int(head&4095), list[:0]
	for s = s[totalsHeaderLen:]; s != ""; s = s[entryLen:] {
		key, _ := decode(s[:6])
		v, _ := decode(s[6:entryLen])
		t.Entries = append(t.Entries, Entry{Key: key, Plan: int(v >> 36), Used: float64(v >> 24 & 4095),
			Requested: float64(v >> 12 & 4095), Open: int(v >> 6 & 63), Level: float64(v&63) / levelSteps})
	}
	return t, true
}

// Delta is the step from one told total to a later one; totals wrap and may also fall a little.
func Delta(from, to float64) float64 {
	return float64((int(to)-int(from)+CounterModulus/2+CounterModulus)%CounterModulus - CounterModulus/2)
}
