package gateway

import (
	"math"
	"time"

	"sloepick/decide"
	"sloepick/internal/recovery"
)

// StateStore keeps what outlives the process. Its methods never wait for a disk.
type StateStore interface {
	// Note takes customers whose buckets changed, the units that are answered a second, and the usual requests a second that a
	// warm node is sent.
	Note(changed []decide.BucketSnapshot, work, sends float64)
	// Heard takes what is known of other members.
	Heard(seen map[string]recovery.Seen)
	// Open tells that what is believed has been taken: from now on images are this process's. kept: by the disk's own.
	Open(kept bool)
}

// RecoveryConfig is how a gateway comes back after a loss of power.
type RecoveryConfig struct {
	Start        *recovery.Start // with what the disk held
	Service      recovery.ServiceConfig
	Store        StateStore
	SaveInterval time.Duration // from one Note to the next
	Clock        func() recovery.Clock
	OnPhase      func(recovery.Phase) // is told each phase; nil: nobody asks
}

const (
	maxChangedPerSave    = 4096             // customers that one Note takes: the loop copies them
	throughputTimeConstant = 10 * time.Second // memory of what is answered
	peerSnapshotWindow     = 5 * time.Second  // from its place on, a member still learns from others' words
)

// recoverer is what the loop keeps of it. nil: nothing is kept, and all is let in at once.
type recoverer struct {
	*RecoveryConfig
	l            *eventLoop
	service      *recovery.Service
	joinedAt     time.Duration
	belief       recovery.Belief
	throughput   float64 // units answered a second, faded
	throughputAt time.Duration
	changed      []decide.BucketSnapshot
	phase        recovery.Phase
}

// newRecoverer begins with the disk judged.
func (l *eventLoop) newRecoverer(cfg *RecoveryConfig) *recoverer {
	now := l.clock.Now()
	p := &recoverer{RecoveryConfig: cfg, l: l, service: recovery.NewService(cfg.Service), throughputAt: now}
	p.service.Judged()
	p.reportPhase("")
	l.schedule(now, p.tick)
	return p
}

// tick keeps what changed, and moves the phases on.
func (p *recoverer) tick() {
	now := p.l.clock.Now()
	p.l.schedule(now+p.SaveInterval, p.tick)
	if p.service.Phase() < recovery.Met {
		if p.l.cfg.Member != nil {
			return
		}
		p.join(1) // without a fleet there is nobody to wait for
	}
	p.changed = p.l.decider.AppendChanged(p.changed[:0], maxChangedPerSave)
	p.Store.Note(p.changed, p.throughputToSave(now), p.l.decider.WarmServerRate())
	if note := p.service.Tick(now); note != "" {
		p.reportPhase(note)
	}
}

// throughputToSave is what is answered a second. While service returns it is what was answered before, if that is more: power may be lost again.
func (p *recoverer) throughputToSave(now time.Duration) float64 {
	p.decay(now)
	since := now - p.joinedAt
	reached := 1 - math.Exp(-max(since, time.Second).Seconds()/throughputTimeConstant.Seconds()) // of a steady rate, so soon after the beginning
	if p.service.Phase() < recovery.Full || since < throughputTimeConstant {
		return max(p.throughput/reached, p.belief.Own)
	}
	return p.throughput / reached
}

func (p *recoverer) decay(now time.Duration) {
	p.throughput *= math.Exp(-(now - p.throughputAt).Seconds() / throughputTimeConstant.Seconds())
	p.throughputAt = now
}

// reportPhase puts a phase that was reached into the log.
func (p *recoverer) reportPhase(note string) {
	p.phase = p.service.Phase()
	p.l.log.Info("power: "+p.phase.String(), "note", note)
	if p.OnPhase != nil {
		p.OnPhase(p.phase)
	}
}

// join takes what is believed, as the gateway has its place among so many members that are back.
func (p *recoverer) join(alive int) {
	p.service.Alive(alive)
	if p.service.Phase() >= recovery.Met {
		return
	}
	p.joinedAt = p.l.clock.Now()
	p.restoreBuckets()
	p.service.Meet(p.joinedAt, p.belief.Work, p.Start.Lit())
	p.Store.Open(p.belief.Verdict == recovery.Kept)
	p.reportPhase(p.belief.String())
}

func (p *recoverer) restoreBuckets() {
	p.belief = p.Start.Believe(p.Clock())
	p.l.enqueue(p.belief.Recall)
	p.Store.Heard(p.Start.Seen())
}

// receiveSnapshot takes another member's word. Long after the start only last lives are learned from it: what it knows of customers is told by
// the module's own messages.
func (p *recoverer) receiveSnapshot(w recovery.Word) {
	if !p.Start.Hear(w) {
		return
	}
	p.Store.Heard(p.Start.Seen())
	switch phase := p.service.Phase(); {
	case phase < recovery.Met:
	case phase < recovery.Full && p.l.clock.Now()-p.joinedAt < peerSnapshotWindow:
		p.restoreBuckets()
		p.service.Work(p.belief.Work)
	default:
		p.Start.Over()
	}
}

// countAnswer counts the units of a request that was served.
func (p *recoverer) countAnswer(units float64) {
	now := p.l.clock.Now()
	p.decay(now)
	p.throughput += units / throughputTimeConstant.Seconds()
	p.service.Answered(now, units)
}

// updateNodes tells the phases of the nodes that serve.
func (p *recoverer) updateNodes(kind decide.ListKind) {
	if kind == decide.ListFailed {
		return
	}
	var starts []time.Duration
	for _, s := range p.l.pool.snapshot() {
		if s.State == decide.Serving {
			starts = append(starts, s.Started)
		}
	}
	p.service.Nodes(kind != decide.ListStale, starts)
}

// admit reports whether it is a request's turn, and else when to return.
func (p *recoverer) admit(v *Request) (ok bool, after time.Duration) {
	if p.service.Phase() == recovery.Full {
		return true, 0
	}
	ask := recovery.Ask{Keyed: v.Write, Again: v.ClientRetry, Units: v.Units}
	for i := range p.l.cfg.Settings.Decide.Plans {
		if plan := &p.l.cfg.Settings.Decide.Plans[i]; plan.Name == v.Plan {
			ask.Price = plan.Price
		}
	}
	return p.service.Admit(p.l.clock.Now(), ask)
}

// DeliverRecoverySnapshot lets the loop take what another member told of the time before.
func (c *Core) DeliverRecoverySnapshot(w recovery.Word) {
	c.Post(func() {
		if c.l.recovery != nil {
			c.l.recovery.receiveSnapshot(w)
		}
	})
}
