package recovery

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Phase is how far a member's service has returned.
type Phase int

// The phases, in their order. Nothing is let in before PhaseRampUp.
const (
	PhaseStarting    Phase = iota // nothing is known
	PhaseDiskChecked              // the disk has been judged
	PhaseJoined                   // it has a place in its fleet, if there is one
	PhaseRampUp                   // a rising share of what was answered before
	PhaseFull
)

func (p Phase) String() string {
	return [...]string{"dark", "believed", "met", "trickle", "full"}[p]
}

// AdmissionConfig are the figures of the phases.
type AdmissionConfig struct {
	ColdCapacity   float64       // speed of a node that has just started, as a share
	ColdDuration   time.Duration // it is warm after so long
	ColdLoadFactor float64       // times what it can do that a cold node may be sent, where it is known to be cold; 0: once
	MaxRetryAfter  time.Duration // longest time that a refusal may tell to stay away; 0: none is told
	MaxUnits       float64       // of one request
	MaxPrice       float64       // of the dearest plan
	Seed           uint64        // of what spreads the crowd
}

const (
	fullFrom    = 0.95 // of the nodes' speed: the rest is within chance
	floorRate   = 10.0 // units a second that are let in where nothing is known of the time before: some requests, to learn from
	floorGrows  = 2.0  // times what was answered in the last second, there
	answersIn   = time.Second
	bucketFor   = 500 * time.Millisecond // of the rate may be let in at once ...
	bucketUnits = 4.0                    // ... and so many of the largest requests at least
	needKeyed   = 0.2                    // of that must be left for a new keyed request, so that repeats find room ...
	needOther   = 0.4                    // ... and so much for one that may be asked anywhere, any time
	needCheap   = 0.15                   // more for the cheapest plan than for the dearest: less than what parts the classes
	adviceLeast = 50 * time.Millisecond
)

// Request is a request, as far as its turn goes by it.
type Request struct {
	Write, ClientRetry bool // it must not run twice; it may be a repeat of one from before
	Units, Price       float64
}

// AdmissionController is the order in which a member serves again: a state machine whose phases only rise. Times are since an origin of the
// caller's choice.
type AdmissionController struct {
	cfg    AdmissionConfig
	rnd    *rand.Rand
	phase  Phase
	from   time.Duration // of Trickle: nodes count as started then, as long as no list says otherwise
	work   float64       // units a second that all answered before; 0: not known
	alive  int           // members that are back, this one among them
	fresh  bool          // discovery has answered since the start
	starts []time.Duration
	left   float64 // of the bucket
	at     time.Duration
	done   float64 // answered of late, a second
	doneAt time.Duration
	Stats  AdmissionStats
}

// AdmissionStats are of requests in Trickle and before.
type AdmissionStats struct{ Admitted, Refused, RefusedEarly uint64 }

// NewAdmissionController begins in Dark.
func NewAdmissionController(cfg AdmissionConfig) *AdmissionController {
	return &AdmissionController{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 3)), alive: 1}
}

// Phase is where it is.
func (s *AdmissionController) Phase() Phase { return s.phase }

// MarkDiskChecked tells that the disk has been judged.
func (s *AdmissionController) MarkDiskChecked() { s.phase = max(s.phase, PhaseDiskChecked) }

// Join tells that the member has its place. lit: others are in full service, so that nothing needs to return.
func (s *AdmissionController) Join(now time.Duration, work float64, lit bool) {
	if s.phase >= PhaseJoined {
		return
	}
	s.phase, s.from, s.at, s.work = PhaseJoined, now, now, work
	if lit {
		s.phase = PhaseFull
	}
}

// SetMemberCount tells how many members are back.
func (s *AdmissionController) SetMemberCount(n int) { s.alive = max(1, n) }

// RaiseServedRate tells what all answered before, as far as is known by now.
func (s *AdmissionController) RaiseServedRate(work float64) { s.work = max(s.work, work) }

// SetServerStarts tells when the nodes that serve started; 0: long ago. fresh: discovery has said so since the start.
func (s *AdmissionController) SetServerStarts(fresh bool, starts []time.Duration) {
	if s.fresh = s.fresh || fresh; fresh || !s.fresh {
		s.starts = starts
	}
}

// RecordServed tells of an answer.
func (s *AdmissionController) RecordServed(now time.Duration, units float64) {
	if s.phase < PhaseFull {
		s.fade(now)
		s.done += units / answersIn.Seconds()
	}
}

func (s *AdmissionController) fade(now time.Duration) {
	s.done *= max(0, 1-(now-s.doneAt).Seconds()/answersIn.Seconds())
	s.doneAt = now
}

// ServerCapacity is the mean speed of the nodes, as a share of what they do when they are warm.
func (s *AdmissionController) ServerCapacity(now time.Duration) float64 {
	if s.cfg.ColdDuration <= 0 {
		return 1
	}
	speed := func(started time.Duration) float64 {
		return s.cfg.ColdCapacity + (1-s.cfg.ColdCapacity)*min(1, max(0, (now-started).Seconds()/s.cfg.ColdDuration.Seconds()))
	}
	if !s.fresh {
		return speed(s.from)
	}
	sum := 0.0
	for _, at := range s.starts {
		if at == 0 {
			sum++
		} else {
			sum += speed(at)
		}
	}
	return sum / float64(max(1, len(s.starts)))
}

// Rate is how many units a second this member lets in.
func (s *AdmissionController) Rate(now time.Duration) float64 {
	if s.work > 0 {
		times := 1.0
		if s.fresh { // the module knows which nodes are cold, and holds each to its budget
			times = max(1, s.cfg.ColdLoadFactor)
		}
		return max(floorRate, s.work*min(1, times*s.ServerCapacity(now))/float64(s.alive))
	}
	s.fade(now)
	return max(floorRate, floorGrows*s.done)
}

// Tick moves it on. It returns a line for the log when a phase was reached.
func (s *AdmissionController) Tick(now time.Duration) (note string) {
	switch {
	case s.phase == PhaseJoined:
		s.phase = PhaseRampUp
		s.left, s.at = s.size(now)/2, now
		note = fmt.Sprintf("%.0f units a second of %.0f that all answered before, %d members are back, nodes at %.0f%%", s.Rate(now), s.work, s.alive, 100*s.ServerCapacity(now))
	case s.phase == PhaseRampUp && s.ServerCapacity(now) >= fullFrom:
		s.phase = PhaseFull
		note = fmt.Sprintf("let in %d, refused %d and %d before", s.Stats.Admitted, s.Stats.Refused, s.Stats.RefusedEarly)
	}
	return note
}

// size is how many units may be let in at once.
func (s *AdmissionController) size(now time.Duration) float64 {
	return max(s.Rate(now)*bucketFor.Seconds(), bucketUnits*max(1, s.cfg.MaxUnits))
}

// need is the share of the bucket that must be left for a request: what it leaves is for those that go before it.
func (s *AdmissionController) need(a Request) (share float64) {
	if a.Write && a.ClientRetry {
		return 0
	}
	if share = needOther; a.Write {
		share = needKeyed
	}
	if s.cfg.MaxPrice > 0 {
		share += needCheap * (1 - min(1, max(0, a.Price/s.cfg.MaxPrice)))
	}
	return share
}

// Admit takes a request, or tells when to return.
func (s *AdmissionController) Admit(now time.Duration, a Request) (ok bool, after time.Duration) {
	switch s.phase {
	case PhaseFull:
		return true, 0
	case PhaseRampUp:
	default:
		s.Stats.RefusedEarly++
		return false, s.advice(now)
	}
	size := s.size(now)
	s.left = min(size, s.left+s.Rate(now)*(now-s.at).Seconds())
	s.at = now
	if s.left < a.Units+s.need(a)*size {
		s.Stats.Refused++
		return false, s.advice(now)
	}
	s.left -= a.Units
	s.Stats.Admitted++
	return true, 0
}

// advice spreads those who are refused over the time that is left, as far as they may be told of it.
func (s *AdmissionController) advice(now time.Duration) time.Duration {
	if s.cfg.MaxRetryAfter <= 0 {
		return 0
	}
	most := s.cfg.MaxRetryAfter
	if s.phase == PhaseRampUp {
		most = min(most, max(adviceLeast, time.Duration((1-s.ServerCapacity(now))*float64(s.cfg.ColdDuration))))
	}
	return min(s.cfg.MaxRetryAfter, adviceLeast+time.Duration(s.rnd.Int64N(int64(most))))
}
