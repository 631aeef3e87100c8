// Package discovery decides when a gateway calls discovery, which calls it keeps while they are not answered, and which answers
// it uses. It does no I/O and reads no clock: the caller makes the calls and passes the time in.
//
// While discovery answers in time, there is one call in progress, a watch. An unanswered watch can't tell a discovery that is down
// from one that answers late or has nothing to tell, so after it is overdue the Scheduler polls. A poll that is not answered is
// not given up for the next one: it is kept, so that an answer that takes seconds is heard, and new polls begin beside it, so that
// a discovery that is back, or a change that came after the earlier polls, is heard too.
package discovery

import (
	"net/netip"
	"slices"
	"time"
)

// Call is a call to discovery.
type Call struct {
	ID    int // increases from call to call
	Addr  netip.AddrPort
	Whole bool          // requests the whole list; otherwise what has changed since version After
	After uint64        // unused if Whole
	Wait  time.Duration // how long discovery is asked to wait for a change; 0: the call is a poll, otherwise a watch
}

// Commands are what the caller of a Scheduler has to do.
type Commands struct {
	Cancel []int         // IDs of calls to end; their answers are no longer wanted
	Start  []Call        // calls to make
	Late   int           // calls of which it has just become certain that they are not answered in time
	Wake   time.Duration // when to call Advance next if nothing happens before; Never: only once something happens
}

// Never is a time that does not come.
const Never = time.Duration(1<<63 - 1)

// Scheduler is the state of the calls to discovery. All times are on the caller's clock, which starts at 0 or later. It is not safe
// for concurrent use.
type Scheduler struct {
	timing     Timing
	addr       netip.AddrPort
	generation int // of addr and of its version count; those of different generations are unrelated
	calls      []*callState
	canceled   []int // to be passed on by Advance, like newlyLate
	newlyLate  int
	lastID     int
	held       heldVersion

	watching  bool // the last poll of this generation was answered in time: a watch is worthwhile
	nextWatch time.Duration
	uncertain bool // a watch told several changes after a long time: they may have come at once, or its answer was late

	polling   bool
	nextPoll  time.Duration
	pollWhole bool // the next poll requests the whole list, although there is one

	sequentialUntil time.Duration // until then one poll follows the other
	lastDelay       time.Duration // of a late answer

	lastPoll       time.Duration // when the last poll began
	lastKept       time.Duration // when the last poll that was kept began
	lastAnswer     time.Duration
	lastLateAnswer time.Duration // a sign that discovery answers late if a poll is overdue after it; otherwise discovery was silent and is back
	lastLate       time.Duration // the last sign that discovery answers late
	lastOverdue    time.Duration // of a watch
}

// callState is a call in progress.
type callState struct {
	Call
	generation int
	known      uint64 // version of the list held when the call was made; 0 if there was none of its generation
	sent       time.Duration
	overdue    bool
	late       bool // not answered in time
}

// past is before any time of the caller's clock by more than any duration of a Timing.
const past = -time.Hour

// New returns a Scheduler for discovery at an address, without a list.
func New(now time.Duration, addr netip.AddrPort, timing Timing) *Scheduler {
	s := &Scheduler{timing: timing, lastPoll: past}
	s.begin(now, addr)
	return s
}

// begin starts a new generation with a poll at a time.
func (s *Scheduler) begin(firstPoll time.Duration, addr netip.AddrPort) {
	s.addr = addr
	s.generation++
	s.watching = false
	s.uncertain = false
	s.polling, s.nextPoll = true, firstPoll
	s.sequentialUntil = past
	s.lastKept, s.lastAnswer, s.lastLateAnswer, s.lastLate, s.lastOverdue = past, past, past, past, past
}

// Move tells that discovery is to be asked at an address from now on, as after a reload. If the address is new, versions start
// anew, and polls that are still waiting for an answer at the former one are used until the new one has answered: otherwise
// addresses that change faster than discovery answers would leave the gateway without news. If it is the same address, the whole
// list is requested once more.
func (s *Scheduler) Move(now time.Duration, addr netip.AddrPort) {
	nextPoll := max(now, s.lastPoll+s.timing.ProbeInterval) // reloads in quick succession don't add calls
	if addr == s.addr {
		s.polling, s.nextPoll, s.pollWhole = true, nextPoll, true
		return
	}
	lastKept := s.lastKept
	s.cancelIf(func(c *callState) bool { return c.Wait > 0 && !c.overdue }) // what it may yet tell, the new address tells
	s.begin(nextPoll, addr)
	s.lastKept = lastKept // bounds the calls that are kept over several moves
}

// Advance returns what is to be done at a time.
func (s *Scheduler) Advance(now time.Duration) Commands {
	for _, c := range slices.Clone(s.calls) {
		s.checkTime(now, c)
	}
	s.cancelIf(func(c *callState) bool { return now >= c.sent+c.Wait+s.timing.GiveUpTime })
	var started []Call
	if s.polling && now >= s.nextPoll {
		started = append(started, s.startPoll(now))
	}
	if s.watching && !s.hasWatch() && now >= s.nextWatch {
		started = append(started, s.startWatch(now))
	}
	commands := Commands{Cancel: s.canceled, Start: started, Late: s.newlyLate, Wake: s.wake()}
	s.canceled, s.newlyLate = nil, 0
	return commands
}

// checkTime marks a call that is overdue or late.
func (s *Scheduler) checkTime(now time.Duration, c *callState) {
	if !c.overdue && now >= s.overdueAt(c) {
		c.overdue = true
		if c.Wait > 0 {
			s.watchOverdue(now, c)
		} else {
			s.pollOverdue(now, c)
		}
	}
	if !c.late && now >= s.lateAt(c) {
		c.late = true
		s.newlyLate++
		if s.watching && c.generation == s.generation {
			s.lastLate = now // others are answered in time
		}
	}
}

// pollOverdue keeps a poll that was not answered soon, or cancels it if one that began not long before it is kept.
func (s *Scheduler) pollOverdue(now time.Duration, c *callState) {
	if c.generation == s.generation {
		s.lastLate = max(s.lastLate, s.lastLateAnswer)
	}
	if s.sequential(now) || c.sent-s.lastKept >= s.timing.PollInterval {
		s.lastKept = c.sent
	} else {
		s.cancelIf(func(other *callState) bool { return other == c })
	}
}

// overdueAt returns when a call is overdue.
func (s *Scheduler) overdueAt(c *callState) time.Duration {
	if c.Wait > 0 {
		return s.lateAt(c)
	}
	return c.sent + s.timing.ProbeTimeout
}

// lateAt returns from when on an answer to a call is not in time.
func (s *Scheduler) lateAt(c *callState) time.Duration { return c.sent + c.Wait + s.timing.Grace }

// watchOverdue handles a watch that was not answered in time: its connection or discovery may be silent, or discovery is slow.
func (s *Scheduler) watchOverdue(now time.Duration, c *callState) {
	if c.generation != s.generation {
		return
	}
	if now-s.lastOverdue < s.timing.RecurrenceTime {
		s.lastLate = now
	}
	s.lastOverdue = now
	s.distrust(now)
}

// distrust ends the watches until a poll is answered in time, and makes the next poll due at a time.
func (s *Scheduler) distrust(nextPoll time.Duration) {
	s.watching = false
	s.uncertain = false
	if !s.polling || nextPoll < s.nextPoll {
		s.nextPoll = nextPoll
	}
	s.polling = true
}

func (s *Scheduler) startPoll(now time.Duration) Call {
	s.nextPoll = s.pollAfter(now)
	s.lastPoll = now
	whole := s.pollWhole || !s.hasList()
	s.pollWhole = false
	return s.start(now, whole, 0)
}

// pollAfter returns when the poll after one that begins now is due if that is not answered before.
func (s *Scheduler) pollAfter(now time.Duration) time.Duration {
	if s.sequential(now) {
		return now + max(s.timing.PollInterval, 2*s.lastDelay)
	}
	next := now + s.timing.PollInterval
	if now-s.lastAnswer > 2*s.timing.PollInterval && !s.watching {
		next = now + s.timing.ProbeInterval
	}
	if keepNext := s.lastKept + s.timing.PollInterval; now < keepNext { // this one won't be kept
		next = min(next, max(keepNext, now+s.timing.RetryDelay))
	}
	return next
}

// sequential reports whether one poll follows the other.
func (s *Scheduler) sequential(now time.Duration) bool { return now < s.sequentialUntil }

func (s *Scheduler) startWatch(now time.Duration) Call {
	wait := s.timing.Wait
	if s.uncertain {
		wait = s.timing.ShortWait
	}
	return s.start(now, false, wait)
}

func (s *Scheduler) start(now time.Duration, whole bool, wait time.Duration) Call {
	if len(s.calls) >= s.timing.MaxCalls {
		s.dropOne()
	}
	s.lastID++
	c := &callState{Call: Call{ID: s.lastID, Addr: s.addr, Whole: whole, Wait: wait}, generation: s.generation, sent: now}
	if s.hasList() {
		c.known = s.held.version
	}
	if !whole {
		c.After = s.held.version
	}
	s.calls = append(s.calls, c)
	return c.Call
}

// dropOne makes room for a call. It spares the oldest one, which is the most likely to be answered next: if each call were dropped
// before its answer, none would ever be heard.
func (s *Scheduler) dropOne() {
	dropped := s.calls[1]
	if i := slices.IndexFunc(s.calls[1:], func(c *callState) bool { return c.overdue }); i >= 0 {
		dropped = s.calls[1+i]
	}
	s.cancelIf(func(c *callState) bool { return c == dropped })
}

// Answered handles a valid answer to a call, and reports whether its list is to be used: an answer that was overtaken by a newer one
// is not. An error says why an answer is useless although it is valid; discovery then counts as failing.
func (s *Scheduler) Answered(now time.Duration, id int, a Answer) (use bool, err error) {
	c := s.remove(id)
	if c == nil {
		return false, nil // canceled before
	}
	s.checkTime(now, c)
	former := s.held.version
	verdict := s.held.judge(c, a, s.timing.MaxOlderAnswers)
	if verdict == restartedCount {
		s.restart(now, c, a)
	}
	if verdict == unusable || verdict == olderVersion || verdict == restartedCount && !a.Full {
		s.failed(now, c)
		return false, &UselessAnswerError{Answer: a, Held: former, Unrequested: verdict == unusable}
	}
	s.cancelIf(func(other *callState) bool {
		return other.generation < c.generation || other.overdue && other.ID < c.ID // they ask for what is now known
	})
	if c.generation == s.generation {
		s.rate(now, c, a)
	}
	return verdict != overtaken, nil
}

// restart begins a new generation because discovery has restarted its version count, with the answer to a call if it is a whole
// list.
func (s *Scheduler) restart(now time.Duration, c *callState, a Answer) {
	s.cancelIf(func(*callState) bool { return true })
	s.begin(now, s.addr)
	c.generation = s.generation
	if a.Full {
		s.held = heldVersion{version: a.Version, generation: s.generation}
	}
}

// rate learns from an answer whether discovery answers in time, and decides how to go on.
func (s *Scheduler) rate(now time.Duration, c *callState, a Answer) {
	s.lastAnswer = now
	if c.late {
		s.rateLate(now, now-c.sent-c.Wait)
		return
	}
	took := now - c.sent
	if c.Wait > 0 {
		s.nextWatch = now
		if a.empty() && took < s.timing.RetryDelay {
			s.nextWatch = c.sent + s.timing.RetryDelay
		}
	}
	inTime := a.empty() || took < s.timing.Grace // otherwise the answer may have waited for a change, or it may be late
	switch {
	case !inTime && took > s.timing.ShortWait+s.timing.Grace:
		s.uncertain = s.uncertain || a.tellsSeveralChanges(c.After) // a quick discovery would have told the first one
	case took >= s.timing.Grace:
		s.uncertain = false
	}
	if !inTime {
		return
	}
	s.watching = true
	s.sequentialUntil = past
	if !s.AnswersLate(now) {
		s.polling = false
	}
}

// rateLate learns from an answer that was late. A discovery that answers calls one after the other and is slow at that falls behind
// further with each call that is made before the last one was answered.
func (s *Scheduler) rateLate(now, delay time.Duration) {
	s.lastLateAnswer = now
	s.lastDelay = delay
	switch {
	case delay > s.timing.CrowdedDelay:
		s.cancelIf(func(c *callState) bool { return c.overdue })
		s.sequentialUntil = now + s.timing.SequentialTime
	case s.sequential(now) && 2*delay <= s.timing.CrowdedDelay:
		s.sequentialUntil = now + s.timing.SequentialTime
	}
	if s.sequential(now) {
		s.nextPoll = min(s.nextPoll, max(now, s.lastPoll+s.timing.PollInterval))
	}
}

// AnswersLate reports whether there was a sign not long ago that discovery answers late.
func (s *Scheduler) AnswersLate(now time.Duration) bool { return now-s.lastLate < s.timing.SettleTime }

// Failed handles a call that ended without a valid answer.
func (s *Scheduler) Failed(now time.Duration, id int) {
	if c := s.remove(id); c != nil {
		s.failed(now, c)
	}
}

func (s *Scheduler) failed(now time.Duration, c *callState) {
	if c.overdue || c.generation != s.generation {
		return // polls are made already
	}
	s.distrust(now + s.timing.RetryDelay)
}

func (s *Scheduler) hasList() bool { return s.held.generation == s.generation }

// hasWatch reports whether a watch is in progress that may yet be answered in time.
func (s *Scheduler) hasWatch() bool {
	return slices.ContainsFunc(s.calls, func(c *callState) bool {
		return c.Wait > 0 && !c.overdue && c.generation == s.generation
	})
}

// remove ends a call that was answered or has failed; nil if it was canceled.
func (s *Scheduler) remove(id int) *callState {
	i := slices.IndexFunc(s.calls, func(c *callState) bool { return c.ID == id })
	if i < 0 {
		return nil
	}
	c := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	return c
}

// cancelIf cancels the calls for which condition holds.
func (s *Scheduler) cancelIf(condition func(*callState) bool) {
	s.calls = slices.DeleteFunc(s.calls, func(c *callState) bool {
		if condition(c) {
			s.canceled = append(s.canceled, c.ID)
			return true
		}
		return false
	})
}

// wake returns when Advance has something to do next.
func (s *Scheduler) wake() time.Duration {
	wake := Never
	if s.polling {
		wake = s.nextPoll
	}
	if s.watching && !s.hasWatch() {
		wake = min(wake, s.nextWatch)
	}
	for _, c := range s.calls {
		wake = min(wake, c.sent+c.Wait+s.timing.GiveUpTime)
		if !c.overdue {
			wake = min(wake, s.overdueAt(c))
		}
		if !c.late {
			wake = min(wake, s.lateAt(c))
		}
	}
	return wake
}
