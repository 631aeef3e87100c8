package peermsg

import (
	"math"
	"strings"
)

// Totals are a header, and an entry for each customer whose totals changed.
const (
	totalsVersion   = "e" // a message that begins otherwise is rejected, except ...
	leaveVersion    = "x" // ... the header alone that a gateway sends when it stops
	totalsHeaderLen = 5   // version; two digits each: epoch, sequence number
	entryLen        = 13  // key of six digits, plan, used of two, requested of two, open attempts, level
	levelSteps      = 30.0

	MaxEntries     = (MaxSize - totalsHeaderLen) / entryLen // entries of a message at most
	CounterModulus = 4096                                   // sequence numbers, epochs and totals wrap there
)

// Totals is a message with a gateway's totals for several customers.
type Totals struct {
	Epoch, Seq int  // the sender's incarnation, and the number of the message in it
	Leaving    bool // the sender stops; there are no entries
	Entries    []Entry
}

// Entry is what the sender reports about one customer.
type Entry struct {
	Key             uint64
	Plan            int
	Used, Requested float64 // total units that the sender admitted and was asked for; decoded, they wrap at CounterModulus
	Open            int     // attempts in progress at the sender; decoded, 63 at most
	Level           float64 // of the customer's bucket, in bursts; decoded, 63/30 at most
}

// Encode returns the text of the message.
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

// ParseTotals decodes a message, and stores its entries in list from the start; ok is false if any of it is malformed.
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

// Delta returns the difference between a total and a later one; totals wrap and may also fall a little.
func Delta(from, to float64) float64 {
	return float64((int(to)-int(from)+CounterModulus/2+CounterModulus)%CounterModulus - CounterModulus/2)
}
