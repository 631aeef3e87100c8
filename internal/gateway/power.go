package gateway

import (
	"math"
	"time"

	"sloepick/decide"
	"sloepick/internal/recovery"
)

// StateStore keeps what outlives the process. Its methods never wait for a disk.
type StateStore interface {
	// RecordChanges takes customers whose buckets changed, the units that are answered a second, and the usual requests a second that a
	// warm node is sent.
	RecordChanges(changed []decide.BucketSnapshot, work, sends float64)
	// SetPeers takes what is known of other members.
	SetPeers(seen map[string]recovery.PeerSummary)
	// StartWriting tells that what is believed has been taken: from now on images are this process's. kept: by the disk's own.
	StartWriting(kept bool)
}

// RecoveryConfig is how a gateway comes back after a loss of power.
type RecoveryConfig struct {
	Start        *recovery.Collector // with what the disk held
	Service      recovery.AdmissionConfig
	Store        StateStore
	SaveInterval time.Duration // from one RecordChanges to the next
	Clock        func() recovery.ClockReading
	OnPhase      func(recovery.Phase) // is told each phase; nil: nobody asks
}

const (
	changedMost = 4096             // customers that one RecordChanges takes: the loop copies them
	workFades   = 10 * time.Second // memory of what is answered
	hearFor     = 5 * time.Second  // from its place on, a member still learns from others' words
)

// power is what the loop keeps of it. nil: nothing is kept, and all is let in at once.
type power struct {
	*RecoveryConfig
	l       *loop
	svc     *recovery.AdmissionController
	met     time.Duration
	belief  recovery.RestoredState
	work    float64 // units answered a second, faded
	workAt  time.Duration
	changed []decide.BucketSnapshot
	phase   recovery.Phase
}

// newPower begins with the disk judged.
func (l *loop) newPower(cfg *RecoveryConfig) *power {
	now := l.clock.Now()
	p := &power{RecoveryConfig: cfg, l: l, svc: recovery.NewAdmissionController(cfg.Service), workAt: now}
	p.svc.MarkDiskChecked()
	p.tell("")
	l.at(now, p.tick)
	return p
}

// tick keeps what changed, and moves the phases on.
func (p *power) tick() {
	now := p.l.clock.Now()
	p.l.at(now+p.SaveInterval, p.tick)
	if p.svc.Phase() < recovery.PhaseJoined {
		if p.l.cfg.Member != nil {
			return
		}
		p.meet(1) // without a fleet there is nobody to wait for
	}
	p.changed = p.l.core.AppendChanged(p.changed[:0], changedMost)
	p.Store.RecordChanges(p.changed, p.worked(now), p.l.core.WarmServerRate())
	if note := p.svc.Tick(now); note != "" {
		p.tell(note)
	}
}

// worked is what is answered a second. While service returns it is what was answered before, if that is more: power may be lost again.
func (p *power) worked(now time.Duration) float64 {
	p.fade(now)
	since := now - p.met
	seen := 1 - math.Exp(-max(since, time.Second).Seconds()/workFades.Seconds()) // of a steady rate, so soon after the beginning
	if p.svc.Phase() < recovery.PhaseFull || since < workFades {
		return max(p.work/seen, p.belief.OwnServedRate)
	}
	return p.work / seen
}

func (p *power) fade(now time.Duration) {
	p.work *= math.Exp(-(now - p.workAt).Seconds() / workFades.Seconds())
	p.workAt = now
}

// tell puts a phase that was reached into the log.
func (p *power) tell(note string) {
	p.phase = p.svc.Phase()
	p.l.log.Info("power: "+p.phase.String(), "note", note)
	if p.OnPhase != nil {
		p.OnPhase(p.phase)
	}
}

// meet takes what is believed, as the gateway has its place among so many members that are back.
func (p *power) meet(alive int) {
	p.svc.SetMemberCount(alive)
	if p.svc.Phase() >= recovery.PhaseJoined {
		return
	}
	p.met = p.l.clock.Now()
	p.recall()
	p.svc.Join(p.met, p.belief.FleetServedRate, p.Start.PeerInService())
	p.Store.StartWriting(p.belief.SnapshotStatus == recovery.SnapshotValid)
	p.tell(p.belief.String())
}

func (p *power) recall() {
	p.belief = p.Start.Resolve(p.Clock())
	p.l.feed(p.belief.Event)
	p.Store.SetPeers(p.Start.Peers())
}

// heard takes another member's word. Long after the start only last lives are learned from it: what it knows of customers is told by
// the module's own messages.
func (p *power) heard(w recovery.PeerSnapshot) {
	if !p.Start.AddPeerSnapshot(w) {
		return
	}
	p.Store.SetPeers(p.Start.Peers())
	switch phase := p.svc.Phase(); {
	case phase < recovery.PhaseJoined:
	case phase < recovery.PhaseFull && p.l.clock.Now()-p.met < hearFor:
		p.recall()
		p.svc.RaiseServedRate(p.belief.FleetServedRate)
	default:
		p.Start.IgnorePeerBuckets()
	}
}

// answered counts the units of a request that was served.
func (p *power) answered(units float64) {
	now := p.l.clock.Now()
	p.fade(now)
	p.work += units / workFades.Seconds()
	p.svc.RecordServed(now, units)
}

// listed tells the phases of the nodes that serve.
func (p *power) listed(kind decide.ListKind) {
	if kind == decide.ListFailed {
		return
	}
	var starts []time.Duration
	for _, s := range p.l.pool.listed() {
		if s.State == decide.Serving {
			starts = append(starts, s.Started)
		}
	}
	p.svc.SetServerStarts(kind != decide.ListStale, starts)
}

// mayBegin reports whether it is a request's turn, and else when to return.
func (p *power) mayBegin(v *Request) (ok bool, after time.Duration) {
	if p.svc.Phase() == recovery.PhaseFull {
		return true, 0
	}
	ask := recovery.Request{Write: v.Write, ClientRetry: v.ClientRetry, Units: v.Units}
	for i := range p.l.cfg.Settings.Decide.Plans {
		if plan := &p.l.cfg.Settings.Decide.Plans[i]; plan.Name == v.Plan {
			ask.Price = plan.Price
		}
	}
	return p.svc.Admit(p.l.clock.Now(), ask)
}

// DeliverRecoverySnapshot lets the loop take what another member told of the time before.
func (d *Core) DeliverRecoverySnapshot(w recovery.PeerSnapshot) {
	d.Post(func() {
		if d.l.power != nil {
			d.l.power.heard(w)
		}
	})
}
