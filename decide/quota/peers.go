package quota

import (
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

// Telling everyone, where the intake lets it.
const (
	intakePart = 0.8                    // of the stated intake is used by all peers together
	meshPace   = 2.0                    // messages a second between any two: under it customers have homes
	askedStep  = 0.25                   // of the burst: asked units that are worth telling
	quietBeat  = 400 * time.Millisecond // an idle peer still says that it lives
	homeBeat   = 100 * time.Millisecond // pace of the upkeep where there are homes
	openKept   = 800 * time.Millisecond // attempts that a peer told count so long: later word may be lost
	leaveTimes = 3                      // that it leaves is said so often, as messages may be lost
)

type peer struct {
	heard, sent       time.Duration
	epoch, seq, mySeq int
	known             bool // heard since this gateway started
	left              bool // it told that it stops, or its number is vacant, and was not heard since
	missing           bool // it is missing, and was not heard since
	younger           bool // it started after this gateway, so all of its totals are news
	queue             []*Customer
}

// told is what one peer last said of a customer.
type told struct {
	have        bool
	at          time.Duration
	used, asked float64
	open        int // its attempts out
	rate        Rate
}

// tellsAll reports whether the intake lets every gateway tell every other often enough.
func (b *Tracker) tellsAll() bool {
	return !b.cfg.PeersAllowed || intakePart*b.cfg.PeerIntake >= meshPace*float64(b.cfg.Gateways-1)
}

// TickInterval is the pace at which Beat is to be called.
func (b *Tracker) TickInterval() time.Duration {
	if !b.Mesh {
		return homeBeat
	}
	perS := intakePart * b.cfg.PeerIntake / float64(max(1, b.cfg.Gateways-1))
	return time.Duration(float64(time.Second) / max(perS, 1))
}

// AnnounceLeave tells the peers that this gateway stops, so that they share its part at once.
func (b *Tracker) AnnounceLeave() {
	for i := range b.peers {
		if i == b.Rank {
			continue
		}
		p := &b.peers[i]
		p.mySeq = (p.mySeq + 1) % peermsg.CounterModulus
		text := peermsg.Totals{Epoch: b.epoch, Seq: p.mySeq, Leaving: true}.Encode()
		for range leaveTimes {
			b.tell(i, text)
		}
	}
}

// QueueUpdate queues what is known of a customer for the other gateways of its set.
func (b *Tracker) QueueUpdate(c *Customer) {
	for i := range b.peers {
		b.tellOne(c, i)
	}
}

func (b *Tracker) tellOne(c *Customer, i int) {
	if i != b.Rank && b.inSet(c, i) && !c.queued[i] {
		c.queued[i] = true
		b.peers[i].queue = append(b.peers[i].queue, c)
	}
}

// SendTotals tells each peer what changed.
func (b *Tracker) SendTotals() {
	for i := range b.peers {
		p := &b.peers[i]
		if i == b.Rank || (len(p.queue) == 0 && b.Now-p.sent < quietBeat) {
			continue
		}
		p.sent, p.mySeq = b.Now, (p.mySeq+1)%peermsg.CounterModulus
		b.tell(i, b.message(i, p))
	}
}

func (b *Tracker) message(i int, p *peer) string {
	var entries [peermsg.MaxEntries]peermsg.Entry
	n := min(len(p.queue), len(entries))
	for at, c := range p.queue[:n] {
		c.queued[i] = false
		c.last = b.Now
		b.Leak(c)
		entries[at] = peermsg.Entry{Key: c.Key, Plan: c.PlanNo, Used: c.usedSum, Requested: c.askedSum, Open: c.Open,
			Level: c.FleetLevel / max(c.Plan.Burst, 1)}
	}
	p.queue = slices.Delete(p.queue, 0, n)
	return peermsg.Totals{Epoch: b.epoch, Seq: p.mySeq, Entries: entries[:n]}.Encode()
}

// ReceiveTotals takes a peer's totals. Totals make lost and repeated messages harmless, the number makes late
// ones so, the epoch a restart of the peer. What is malformed or from nobody is dropped.
func (b *Tracker) ReceiveTotals(from int, text string) {
	if !b.IsPeer(from) || len(b.peers) == 0 {
		return
	}
	var room [peermsg.MaxEntries]peermsg.Entry
	t, ok := peermsg.ParseTotals(text, room[:0])
	if !ok {
		return
	}
	p := &b.peers[from]
	if p.known && p.epoch == t.Epoch && peermsg.Delta(float64(p.seq), float64(t.Seq)) <= 0 {
		return
	}
	if t.Leaving && p.known && p.epoch != t.Epoch {
		return // a former life's word, late
	}
	if !p.known || p.epoch != t.Epoch {
		b.greet(from, p)
	}
	p.epoch, p.seq, p.known, p.heard, p.left, p.missing = t.Epoch, t.Seq, true, b.Now, t.Leaving, false
	for i := range t.Entries {
		b.learn(from, p, &t.Entries[i])
	}
}

// IsPeer reports whether a number is another gateway's.
func (b *Tracker) IsPeer(rank int) bool { return rank >= 0 && rank < b.cfg.Gateways && rank != b.Rank }

// greet meets a new life of a peer: its totals begin anew, and it is told all there is to tell.
func (b *Tracker) greet(i int, p *peer) {
	p.younger = p.known
	for _, c := range b.queue {
		c.told[i].have = false
		b.tellOne(c, i)
	}
}

func (b *Tracker) learn(from int, p *peer, e *peermsg.Entry) {
	if e.Plan >= len(b.cfg.Plans) {
		return
	}
	c := b.Customer(e.Key, e.Plan)
	b.Leak(c)
	t := &c.told[from]
	switch {
	case !t.have && p.younger:
		t.used, t.asked = 0, 0
	case !t.have || b.Now-t.at > toldFor: // the peer may have forgotten the customer since, and count anew
		t.used, t.asked = e.Used, e.Requested
		c.FleetLevel = max(c.FleetLevel, e.Level*c.Plan.Burst)
	}
	t.have, t.at = true, b.Now
	c.FleetLevel = max(0, c.FleetLevel+peermsg.Delta(t.used, e.Used))
	t.rate.Add(b.Now, max(0, peermsg.Delta(t.asked, e.Requested)))
	t.used, t.asked, t.open = e.Used, e.Requested, e.Open
	b.noteChange(c)
}

// askedByAll is what all gateways of a customer's set ask for it, this one so much, and since when all
// have been heard: below 0 if one never was. The last word of a peer that fell silent stands: if it died,
// its traffic comes here and the part grows by that; if it is cut off, both keep their parts as they were.
// Without this, customers of a gateway that is down would have but the even parts of the others. A fleet
// tells more: of one that is missing the even part is kept, in which it may be at work.
func (b *Tracker) askedByAll(c *Customer, own float64) (all float64, oldest time.Duration, kept float64) {
	all, oldest = own, b.Now
	for i := range b.peers {
		p := &b.peers[i]
		if i == b.Rank || !b.inSet(c, i) || p.left {
			continue
		}
		if p.missing {
			kept += 1 / float64(c.GatewayCount)
			continue
		}
		if !p.known {
			return all, -1, kept
		}
		at := b.Now
		if b.Now-p.heard >= peerStale {
			at = p.heard
		}
		all += c.told[i].rate.Get(at) + partPrior*c.Plan.Rate/float64(c.GatewayCount)
		oldest = min(oldest, p.heard)
	}
	return all, oldest, kept
}

// OpenElsewhere is what the other gateways of a customer's set have out for it; not told if one is silent.
func (b *Tracker) OpenElsewhere(c *Customer) (out int, told bool) {
	for i := range b.peers {
		p := &b.peers[i]
		if i == b.Rank || !b.inSet(c, i) || p.left {
			continue
		}
		if !p.known || p.missing || b.Now-p.heard >= peerStale {
			return 0, false
		}
		if t := &c.told[i]; t.have && b.Now-t.at < openKept {
			out += t.open
		}
	}
	return out, c.GatewayCount == 1 || len(b.peers) > 0
}
