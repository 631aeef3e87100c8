package quota

import (
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

// Totals are sent to every gateway where the message intake allows it.
const (
	intakeShare       = 0.8                    // of a gateway's message intake is used by all its peers together
	minMeshRate       = 2.0                    // messages per second between any two gateways; below it, customers have coordinators
	demandStep        = 0.25                   // of the burst: requested units that are worth an update
	keepaliveInterval = 400 * time.Millisecond // a gateway without updates still sends a message this often
	coordinatorTick   = 100 * time.Millisecond // tick interval where customers have coordinators
	openTimeout       = 800 * time.Millisecond // a peer's open attempts count for this long: a later message may be lost
	leaveRepeats      = 3                      // number of times that a leave message is sent, as messages may be lost
)

type peer struct {
	receivedAt, sentAt  time.Duration
	epoch, seq, sentSeq int
	known               bool // it sent a message since this gateway started
	left                bool // it announced that it stops, or its rank is vacant, and it sent nothing since
	unreachable         bool // the fleet reported it as unreachable, and it sent nothing since
	startedLater        bool // it started after this gateway, so its totals count from zero
	queue               []*Customer
}

// peerTotals is what one peer last reported about a customer.
type peerTotals struct {
	known           bool
	receivedAt      time.Duration
	used, requested float64
	open            int // attempts in progress there
	demand          Rate
}

// canMesh reports whether the message intake lets every gateway send to every other often enough.
func (t *Tracker) canMesh() bool {
	return !t.cfg.PeersAllowed || intakeShare*t.cfg.PeerIntake >= minMeshRate*float64(t.cfg.Gateways-1)
}

// TickInterval returns the interval at which SendTotals is to be called.
func (t *Tracker) TickInterval() time.Duration {
	if !t.Mesh {
		return coordinatorTick
	}
	perSecond := intakeShare * t.cfg.PeerIntake / float64(max(1, t.cfg.Gateways-1))
	return time.Duration(float64(time.Second) / max(perSecond, 1))
}

// AnnounceLeave tells the peers that this gateway stops, so that they take over its share at once.
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

// QueueUpdate queues a customer's totals for the other gateways at which its requests arrive.
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

// SendTotals sends each peer the totals that changed, or every keepaliveInterval none, to show that this gateway is alive.
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

// ReceiveTotals applies a peer's totals. Lost and repeated messages do no harm because totals are cumulative, late ones
// because of the sequence number, and a restart of the peer because of the epoch. Malformed messages, and those that are not
// from a peer, are dropped.
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
		return // a late message from an earlier incarnation
	}
	if !p.known || p.epoch != totals.Epoch {
		t.resetPeer(from, p)
	}
	p.epoch, p.seq, p.known, p.receivedAt, p.left, p.unreachable = totals.Epoch, totals.Seq, true, t.Now, totals.Leaving, false
	for i := range totals.Entries {
		t.applyEntry(from, p, &totals.Entries[i])
	}
}

// IsPeer reports whether a rank is another gateway's.
func (t *Tracker) IsPeer(rank int) bool { return rank >= 0 && rank < t.cfg.Gateways && rank != t.Rank }

// resetPeer handles a new incarnation of a peer: its totals start over, and it is sent those of all customers.
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
	case !last.known || t.Now-last.receivedAt > totalsValidFor: // the peer may have removed the customer since, and count from zero
		last.used, last.requested = e.Used, e.Requested
		c.FleetLevel = max(c.FleetLevel, e.Level*c.Plan.Burst)
	}
	last.known, last.receivedAt = true, t.Now
	c.FleetLevel = max(0, c.FleetLevel+peermsg.Delta(last.used, e.Used))
	last.demand.Add(t.Now, max(0, peermsg.Delta(last.requested, e.Requested)))
	last.used, last.requested, last.open = e.Used, e.Requested, e.Open
	t.markChanged(c)
}

// totalDemand returns the demand of all gateways at which a customer's requests arrive, ownDemand being this one's; the time
// of the oldest of their latest messages, below 0 if one never sent any; and the share reserved for unreachable peers.
//
// The last report of a peer that fell silent still counts: if the peer died, its traffic comes here and this gateway's share
// grows with it; if it is cut off, both sides keep their shares. Otherwise customers of a gateway that is down would be left
// with the even shares of the others. If the fleet reports a peer as unreachable, its even share is reserved, as it may be
// working.
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

// OpenElsewhere returns the number of a customer's attempts in progress at other gateways; it is not known if one of them is
// silent.
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
