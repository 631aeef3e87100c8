package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sloepick/decide/words"
)

// Homes. Where the intake is too small for telling everyone, a gateway's part of a mark is less than one request and what
// it last heard is older than the bucket. There the bucket of the whole customer stands at its home.
const (
	Homes      = 2                 // of a customer; the second stands in for a silent first
	GrantsKept = 3 * time.Second   // a home knows for so long what it granted
	LoneTimes  = 4.0               // of the even part is what passes at a gateway of a customer, where no home tells
	twinFrom   = 8.0               // units a second that a customer asks: from there, or if it floods, its homes tell ...
	twinStep   = 0.2               // ... each other what they grant, by this part of the burst
	handPart   = 0.5               // of a second's intake of each other gateway is filled as a home hands its customers over
	handUp     = 0.5 / words.Steps // of a burst is told more, so that it is not rounded down
	fillMost   = 4.0               // bursts: true units may fill a bucket beyond its mark, but not this far
)

// Home is the number of the nth gateway that keeps the customer's bucket, the same at every gateway.
func (b *Book) Home(key uint64, n int) int {
	first := b.there(int(key % uint64(b.cfg.Gateways)))
	if n == 0 {
		return first
	}
	second := b.there((first + 1 + int(key>>18%uint64(b.cfg.Gateways-1))) % b.cfg.Gateways)
	if second == first && b.away != nil {
		return b.there((first + 1) % b.cfg.Gateways)
	}
	return second
}

// IsHome reports whether the gateway of that number is one of the customer's homes.
func (b *Book) IsHome(key uint64, rank int) bool {
	return b.Home(key, 0) == rank || b.Home(key, 1) == rank
}

// HomesOf is how many homes a customer has: under a ceiling one, as what a second one kept would be lacking elsewhere.
func HomesOf(c *Customer) int {
	if c.Plan.CeilingRate > 0 {
		return 1
	}
	return Homes
}

// BecomeHome begins a bucket that another home kept until now: half full, with an empty store.
func (b *Book) BecomeHome(c *Customer) {
	if b.away == nil {
		return
	}
	now := [Homes]int16{int16(b.Home(c.Key, 0) + 1), int16(b.Home(c.Key, 1) + 1)}
	if was := c.homes; was != now {
		if me := int16(b.Rank + 1); was[0] != me && was[1] != me {
			if c.Store = 0; !c.recalled { // what a start recalled is as good as a home's bucket, wherever that was
				c.Whole = max(c.Whole, StartLevel*c.Plan.Burst)
			}
		}
		c.homes, c.recalled = now, false
	}
}

// Granted charges at its home what it granted a customer, and tells the other home: who is not answered by one asks the
// other, which would else give the quota a second time. Totals make lost words harmless.
func (b *Book) Granted(c *Customer, units float64) {
	c.Whole += units
	c.Store -= units
	b.noteChange(c)
	c.given = math.Mod(c.given+units, words.GivenWrap)
	c.untold += units
	much := c.Fleet.Get(b.Now) >= twinFrom || 1-c.Over < floodFrom
	if !much || c.untold < twinStep*c.Plan.Burst {
		return
	}
	c.untold = 0
	for n := range Homes {
		if i := b.Home(c.Key, n); i != b.Rank {
			b.Tell(i, words.Grants, c, 0, c.given)
		}
	}
}

// Twin takes what the other home granted in all. More than a burst at once is no step but a home that began anew.
func (b *Book) Twin(c *Customer, given float64) {
	d := math.Mod(given-c.twinGiven+words.GivenWrap, words.GivenWrap)
	if c.twinKnown && d <= c.Plan.Burst {
		b.Leak(c)
		c.Whole += d
	}
	c.twinGiven, c.twinKnown = given, true
}

// Settle takes at a home how many units more than granted a request was, and that its attempt is over.
func (b *Book) Settle(c *Customer, from int, no uint64, more float64) {
	for i := range c.Grants {
		if d := &c.Grants[i]; d.From == from && d.No == no && d.OK {
			b.Leak(c)
			c.Whole = max(0, c.Whole+more)
			d.Out = false
		}
	}
}

// Doubt takes, as nobody was heard for a while, that who floods was let in by others meanwhile: its bucket is full.
func (b *Book) Doubt() {
	for _, c := range b.queue {
		if 1-c.Over < floodFrom {
			b.Leak(c)
			c.Whole = max(c.Whole, c.Plan.Burst)
		}
	}
}

// HandOver tells those who keep the customers' buckets next, as this home stops for good, how full they are: the fullest first, and no
// more than they take in. Else they would begin half full. It goes by what a fleet tells of who is there.
func (b *Book) HandOver() {
	if b.Mesh || b.away == nil {
		return
	}
	var mine []*Customer
	for _, c := range b.queue {
		if b.Leak(c); c.Whole > 0 && c.Plan.Rate > 0 && b.IsHome(c.Key, b.Rank) {
			mine = append(mine, c)
		}
	}
	slices.SortStableFunc(mine, func(x, y *Customer) int { return cmp.Compare(y.Whole/y.Plan.Burst, x.Whole/x.Plan.Burst) })
	b.away[b.Rank] = true
	for _, c := range mine[:min(len(mine), int(handPart*b.cfg.Intake)*max(1, b.cfg.Gateways-1))] {
		for n := range HomesOf(c) {
			b.Tell(b.Home(c.Key, n), words.Hands, c, 0, min(fillMost, c.Whole/c.Plan.Burst)+handUp)
		}
	}
}

// Inherit takes what a home that stops tells of a customer: only ever to the fuller side. It is told before all know that
// the home is gone, so whoever hears it takes it, in a fleet alone.
func (b *Book) Inherit(w *words.Word) {
	if b.away == nil {
		return
	}
	c := b.Customer(w.Key, w.Plan)
	b.Leak(c)
	c.Whole, c.recalled = max(c.Whole, w.V[0]*c.Plan.Burst), true
	b.noteChange(c)
}

// Tell sends a word about a customer, with what rides along.
func (b *Book) Tell(to int, kind byte, c *Customer, no uint64, v ...float64) {
	w := words.Word{Kind: kind, Key: c.Key, Plan: c.PlanNo, No: no, N: len(v)}
	copy(w.V[:], v)
	w.Sights, w.Seen = b.News.v, b.News.n
	w.Floods, w.Flooded = b.Floods.tell(b.Now, c.Key)
	b.tell(to, w.Text(b.Now))
}

// Newest are the last few sights of own requests.
type Newest struct {
	v [words.SightsOf]words.Sight
	n int
}

// Add adds a sight; one that a word has no digit for is left out.
func (n *Newest) Add(v words.Sight) {
	if v.Class > words.MaxClass {
		return
	}
	copy(n.v[1:], n.v[:])
	n.v[0], n.n = v, min(n.n+1, words.SightsOf)
}
