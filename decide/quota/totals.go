package quota

import (
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

// Telling everyone, where the intake lets it.
const (
	intakeShare       = 0.8                    // of the stated intake is used by all peers together
	minMeshRate       = 2.0                    // messages a second between any two: under it customers have homes
	demandStep        = 0.25                   // of the burst: asked units that are worth telling
	keepaliveInterval = 400 * time.Millisecond // an idle peer still says that it lives
	coordinatorTick   = 100 * time.Millisecond // pace of the upkeep where there are homes
	openTimeout       = 800 * time.Millisecond // attempts that a peer told count so long: later word may be lost
	leaveRepeats      = 3                      // that it leaves is said so often, as messages may be lost
)

type peer struct {
	receivedAt, sentAt  time.Duration
	epoch, seq, sentSeq int
	known               bool // heard since this gateway started
	left                bool // it told that it stops, or its number is vacant, and was not heard since
	unreachable         bool // it is missing, and was not heard since
	startedLater        bool // it started after this gateway, so all of its totals are news
	queue               []*Customer
}

// peerTotals is what one peer last said of a customer.
type peerTotals struct {
	known           bool
	receivedAt      time.Duration
	used, requested float64
	open            int // its attempts out
	demand          Rate
}

// canMesh reports whether the intake lets every gateway tell every other often enough.
func (t *Tracker) canMesh() bool {
	return !t.cfg.PeersAllowed || intakeShare*t.cfg.PeerIntake >= minMeshRate*float64(t.cfg.Gateways-1)
}

// TickInterval is the pace at which Beat is to be called.
func (t *Tracker) TickInterval() time.Duration {
	if !t.Mesh {
		return coordinatorTick
	}
	perSecond := intakeShare * t.cfg.PeerIntake / float64(max(1, t.cfg.Gateways-1))
	return time.Duration(float64(time.Second) / max(perSecond, 1))
}

// AnnounceLeave tells the peers that this gateway stops, so that they share its part at once.
func (t *Tracker) AnnounceLeave() {
	for i := range t.peers {
		if i == t.Rank {
			continue
		}
		p := &t.peers[i]
		p.sentSeq = (p.sentSeq + 1) % peermsg.CounterModulus
		text := peermsg.Totals{Epoch: t.epoch, Seq: p.sentSeq, Leaving: true}.Encode()
		for range leaveRepeats {
			t.send(i, text)
		}
	}
}

// QueueUpdate queues what is known of a customer for the other gateways of its set.
func (t *Tracker) QueueUpdate(c *Customer) {
	for i := range t.peers {
		t.queueUpdateTo(c, i)
	}
}

func (t *Tracker) queueUpdateTo(c *Customer, to int) {
	if to != t.Rank && t.servesCustomer(c, to) && !c.queued[to] {
		c.queued[to] = true
		t.peers[to].queue = append(t.peers[to].queue, c)
	}
}

// SendTotals tells each peer what changed.
func (t *Tracker) SendTotals() {
	for i := range t.peers {
		p := &t.peers[i]
		if i == t.Rank || (len(p.queue) == 0 && t.Now-p.sentAt < keepaliveInterval) {
			continue
		}
		p.sentAt, p.sentSeq = t.Now, (p.sentSeq+1)%peermsg.CounterModulus
		t.send(i, t.nextTotals(i, p))
	}
}

func (t *Tracker) nextTotals(to int, p *peer) string {
	var entries [peermsg.MaxEntries]peermsg.Entry
	n := min(len(p.queue), len(entries))
	for i, c := range p.queue[:n] {
		c.queued[to] = false
		c.lastUsed = t.Now
		t.Leak(c)
		entries[i] = peermsg.Entry{Key: c.Key, Plan: c.PlanNo, Used: c.usedTotal, Requested: c.requestedTotal, Open: c.Open,
			Level: c.FleetLevel / max(c.Plan.Burst, 1)}
	}
	p.queue = slices.Delete(p.queue, 0, n)
	return peermsg.Totals{Epoch: t.epoch, Seq: p.sentSeq, Entries: entries[:n]}.Encode()
}

// ReceiveTotals takes a peer's totals. Totals make lost and repeated messages harmless, the number makes late
// ones so, the epoch a restart of the peer. What is malformed or from nobody is dropped.
func (t *Tracker) ReceiveTotals(from int, text string) {
	if !t.IsPeer(from) || len(t.peers) == 0 {
		return
	}
	var buffer [peermsg.MaxEntries]peermsg.Entry
	totals, ok := peermsg.ParseTotals(text, buffer[:0])
	if !ok {
		return
	}
	p := &t.peers[from]
	if p.known && p.epoch == totals.Epoch && peermsg.Delta(float64(p.seq), float64(totals.Seq)) <= 0 {
		return
	}
	if totals.Leaving && p.known && p.epoch != totals.Epoch {
		return // a former life's word, late
	}
	if !p.known || p.epoch != totals.Epoch {
		t.resetPeer(from, p)
	}
	p.epoch, p.seq, p.known, p.receivedAt, p.left, p.unreachable = totals.Epoch, totals.Seq, true, t.Now, totals.Leaving, false
	for i := range totals.Entries {
		t.applyEntry(from, p, &totals.Entries[i])
	}
}

// IsPeer reports whether a number is another gateway's.
func (t *Tracker) IsPeer(rank int) bool { return rank >= 0 && rank < t.cfg.Gateways && rank != t.Rank }

// resetPeer meets a new life of a peer: its totals begin anew, and it is told all there is to tell.
func (t *Tracker) resetPeer(from int, p *peer) {
	p.startedLater = p.known
	for _, c := range t.sweepQueue {
		c.byPeer[from].known = false
		t.queueUpdateTo(c, from)
	}
}

func (t *Tracker) applyEntry(from int, p *peer, e *peermsg.Entry) {
	if e.Plan >= len(t.cfg.Plans) {
		return
	}
	c := t.Customer(e.Key, e.Plan)
	t.Leak(c)
	last := &c.byPeer[from]
	switch {
	case !last.known && p.startedLater:
		last.used, last.requested = 0, 0
	case !last.known || t.Now-last.receivedAt > totalsValidFor: // the peer may have forgotten the customer since, and count anew
		last.used, last.requested = e.Used, e.Requested
		c.FleetLevel = max(c.FleetLevel, e.Level*c.Plan.Burst)
	}
	last.known, last.receivedAt = true, t.Now
	c.FleetLevel = max(0, c.FleetLevel+peermsg.Delta(last.used, e.Used))
	last.demand.Add(t.Now, max(0, peermsg.Delta(last.requested, e.Requested)))
	last.used, last.requested, last.open = e.Used, e.Requested, e.Open
	t.markChanged(c)
}

// totalDemand is what all gateways of a customer's set ask for it, this one so much, and since when all
// have been heard: below 0 if one never was. The last word of a peer that fell silent stands: if it died,
// its traffic comes here and the part grows by that; if it is cut off, both keep their parts as they were.
// Without this, customers of a gateway that is down would have but the even parts of the others. A fleet
// tells more: of one that is missing the even part is kept, in which it may be at work.
func (t *Tracker) totalDemand(c *Customer, ownDemand float64) (total float64, oldest time.Duration, reserved float64) {
	total, oldest = ownDemand, t.Now
	for i := range t.peers {
		p := &t.peers[i]
		if i == t.Rank || !t.servesCustomer(c, i) || p.left {
			continue
		}
		if p.unreachable {
			reserved += 1 / float64(c.GatewayCount)
			continue
		}
		if !p.known {
			return total, -1, reserved
		}
		asOf := t.Now
		if t.Now-p.receivedAt >= peerTimeout {
			asOf = p.receivedAt
		}
		total += c.byPeer[i].demand.Get(asOf) + priorDemandShare*c.Plan.Rate/float64(c.GatewayCount)
		oldest = min(oldest, p.receivedAt)
	}
	return total, oldest, reserved
}

// OpenElsewhere is what the other gateways of a customer's set have out for it; not told if one is silent.
func (t *Tracker) OpenElsewhere(c *Customer) (open int, known bool) {
	for i := range t.peers {
		p := &t.peers[i]
		if i == t.Rank || !t.servesCustomer(c, i) || p.left {
			continue
		}
		if !p.known || p.unreachable || t.Now-p.receivedAt >= peerTimeout {
			return 0, false
		}
		if last := &c.byPeer[i]; last.known && t.Now-last.receivedAt < openTimeout {
			open += last.open
		}
	}
	return open, c.GatewayCount == 1 || len(t.peers) > 0
}
