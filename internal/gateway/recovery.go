package gateway

import (
	"math"
	"time"

	"sloepick/decide"
	"sloepick/internal/recovery"
)

// StateStore saves the state that must survive a restart. Its methods never wait for a disk.
type StateStore interface {
	// Note saves the changed buckets of customers, the units answered per second, and the usual number of
	// requests per second sent to a warm node.
	Note(changed []decide.BucketSnapshot, work, sends float64)
	// Heard saves what is known of the other members.
	Heard(seen map[string]recovery.Seen)
	// Open is called when the restored state is in use: saved images describe the state of this process from
	// now on. kept reports that this state comes from the store's own image.
	Open(kept bool)
}

// RecoveryConfig configures the recovery after a power loss.
type RecoveryConfig struct {
	Start        *recovery.Start // with the content of the disk
	Service      recovery.ServiceConfig
	Store        StateStore
	SaveInterval time.Duration // between calls to Store.Note
	Clock        func() recovery.Clock
	OnPhase      func(recovery.Phase) // is called with each new phase; may be nil
}

const (
	maxChangedPerSave      = 4096             // customers per call to Store.Note, because the event loop copies them
	throughputTimeConstant = 10 * time.Second // time constant of the average of units answered
	peerSnapshotWindow     = 5 * time.Second  // after joining, how long snapshots of other members are used to restore buckets
)

// recoverer is the event loop's state of the recovery. nil: nothing is saved, and all requests are admitted
// from the start.
type recoverer struct {
	*RecoveryConfig
	l            *eventLoop
	service      *recovery.Service
	joinedAt     time.Duration
	belief       recovery.Belief
	throughput   float64 // units answered per second, as an exponential average
	throughputAt time.Duration
	changed      []decide.BucketSnapshot
	phase        recovery.Phase
}

// newRecoverer starts a recovery. The state on the disk has been checked by then.
func (l *eventLoop) newRecoverer(cfg *RecoveryConfig) *recoverer {
	now := l.clock.Now()
	p := &recoverer{RecoveryConfig: cfg, l: l, service: recovery.NewService(cfg.Service), throughputAt: now}
	p.service.Judged()
	p.reportPhase("")
	l.schedule(now, p.tick)
	return p
}

// tick saves the changed state and advances the phases.
func (p *recoverer) tick() {
	now := p.l.clock.Now()
	p.l.schedule(now+p.SaveInterval, p.tick)
	if p.service.Phase() < recovery.Met {
		if p.l.cfg.Member != nil {
			return
		}
		p.join(1) // without a fleet there are no other members to wait for
	}
	p.changed = p.l.decider.AppendChanged(p.changed[:0], maxChangedPerSave)
	p.Store.Note(p.changed, p.throughputToSave(now), p.l.decider.WarmServerRate())
	if note := p.service.Tick(now); note != "" {
		p.reportPhase(note)
	}
}

// throughputToSave returns the units answered per second. During recovery, and shortly after joining, it is at
// least the throughput from before the power loss, because power may fail again.
func (p *recoverer) throughputToSave(now time.Duration) float64 {
	p.decay(now)
	since := now - p.joinedAt
	// The part of a constant rate that the average has reached in the time since joining.
	reached := 1 - math.Exp(-max(since, time.Second).Seconds()/throughputTimeConstant.Seconds())
	if p.service.Phase() < recovery.Full || since < throughputTimeConstant {
		return max(p.throughput/reached, p.belief.Own)
	}
	return p.throughput / reached
}

func (p *recoverer) decay(now time.Duration) {
	p.throughput *= math.Exp(-(now - p.throughputAt).Seconds() / throughputTimeConstant.Seconds())
	p.throughputAt = now
}

// reportPhase logs the current phase and calls OnPhase.
func (p *recoverer) reportPhase(note string) {
	p.phase = p.service.Phase()
	p.l.log.Info("power: "+p.phase.String(), "note", note)
	if p.OnPhase != nil {
		p.OnPhase(p.phase)
	}
}

// join restores the state when the gateway has its number in the fleet and that many members are alive.
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

// receiveSnapshot processes the recovery snapshot of another member. In full service, or after
// peerSnapshotWindow, it only records the last incarnations of members: from then on the decision module's own
// messages carry what is known of customers.
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

// countAnswer counts the units of a successful request.
func (p *recoverer) countAnswer(units float64) {
	now := p.l.clock.Now()
	p.decay(now)
	p.throughput += units / throughputTimeConstant.Seconds()
	p.service.Answered(now, units)
}

// updateNodes passes the start times of the serving nodes to the recovery service.
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

// admit reports whether a request may be admitted in the current phase and, if not, when to retry.
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

// DeliverRecoverySnapshot delivers what another member knows of the time before the power loss.
func (c *Core) DeliverRecoverySnapshot(w recovery.Word) {
	c.Post(func() {
		if c.l.recovery != nil {
			c.l.recovery.receiveSnapshot(w)
		}
	})
}
