package gossip

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sloepick/internal/election"
	"sloepick/internal/fleet"
)

const (
	dutyFlag             = 1 << 15 // set in a message's slot: the message is about a duty and not one of the decision module
	maxDutyNameBytes     = 64      // of a member's name: limited by the size of messages on duties
	maxPendingDutyEvents = 1024    // events that wait for the table; further messages are dropped, as datagrams may be
)

// duties runs this member's part in the election of owners for the fleet's duties. The event loop owns the table. nil:
// there are no duties.
type duties struct {
	e          *Engine
	table      *election.Table
	events     chan election.Event
	assignment fleet.Assignment
	leases     atomic.Pointer[map[string]lease]
}

// lease is the ownership of a duty as MayAct reads it.
type lease struct {
	number       uint64
	until        time.Duration // since the engine's start, by the monotonic clock
	recordedWall time.Time     // a machine that was suspended has a wall clock that went on and a monotonic clock that stood still
	recordedAt   time.Duration
}

func newDuties(e *Engine, cfg election.Config) (*duties, error) {
	cfg.Self, cfg.Incarnation = e.cfg.Name, e.incarnation
	if len(cfg.Self) > maxDutyNameBytes {
		return nil, fmt.Errorf("the member's name has %d bytes, want at most %d for messages on duties", len(cfg.Self), maxDutyNameBytes)
	}
	t, err := election.New(cfg, time.Since(e.start), nil, e.saved.Voters)
	if err != nil {
		return nil, err
	}
	d := &duties{e: e, table: t, events: make(chan election.Event, maxPendingDutyEvents)}
	d.leases.Store(&map[string]lease{})
	return d, nil
}

// inbox returns the channel of waiting events; without duties it is nil, which is never ready.
func (d *duties) inbox() <-chan election.Event {
	if d == nil {
		return nil
	}
	return d.events
}

// handle passes an event to the table and carries out the actions that it returns.
func (d *duties) handle(ev election.Event) {
	if d == nil {
		return
	}
	for queue := []election.Event{ev}; len(queue) > 0; queue = queue[1:] {
		for _, a := range d.table.Handle(time.Since(d.e.start), queue[0]) {
			switch a := a.(type) {
			case election.Send:
				if a.To == d.assignment.Slot {
					queue = append(queue, election.Received{From: a.To, Message: a.Message})
				} else {
					d.send(a)
				}
			case election.Acquired:
				d.e.log.Info("duty: owned", "duty", a.Duty, "number", a.Number)
			case election.Lost:
				d.e.log.Info("duty: lost", "duty", a.Duty)
			case election.ElectorateChange:
				d.e.log.Info("duties: voters", "epoch", a.Epoch, "places", a.Voters, "next", a.NextVoters)
				d.e.saved.Voters = a.Electorate
				d.e.requestSave()
			}
		}
	}
	d.publishLeases()
}

// publishLeases makes the leases that this member holds visible to MayAct.
func (d *duties) publishLeases() {
	leases := map[string]lease{}
	now := time.Now()
	for _, name := range d.e.cfg.Election.Duties {
		if until, number := d.table.LeaseEnd(name); until > 0 {
			leases[name] = lease{number, until, now.Round(0), now.Sub(d.e.start)}
		}
	}
	d.leases.Store(&leases)
}

func (d *duties) send(a election.Send) {
	b, err := cbor.Marshal(a.Message)
	if err == nil {
		err = d.e.sendToSlot(a.To, dutyFlag, string(b))
	}
	if err != nil {
		d.e.log.Debug("failed to send a message on a duty", "err", err) // the table treats it as lost
	}
}

// receive queues a message of the member in a slot.
func (d *duties) receive(from int, b []byte) {
	var m election.Message
	if d == nil || cbor.Unmarshal(b, &m) != nil {
		return
	}
	d.enqueue(election.Received{From: from, Message: m})
}

func (d *duties) enqueue(ev election.Event) {
	select {
	case d.events <- ev:
	default:
	}
}

func (d *duties) applyAssignment(s fleet.Assignment) {
	if d == nil {
		return
	}
	update := election.FleetUpdate{Slot: s.Slot, SlotChanged: d.assignment.Holders != nil && (s.Slot != d.assignment.Slot || s.Term != d.assignment.Term), Isolated: s.Isolated, ExpectedMembers: d.e.cfg.Fleet.ExpectedMembers}
	for _, h := range s.Holders {
		update.Holders = append(update.Holders, election.Holder{Name: h.Name, Alive: h.Name != "" && h.State == fleet.Alive})
	}
	d.assignment = s
	d.handle(update)
}

func (d *duties) statuses() []election.DutyStatus { return d.table.Duties(time.Since(d.e.start)) }

// MayAct reports whether this member may act for a duty at this moment, and under which number. Call it before and
// after each step that can't be undone: false after the step means that its outcome is unknown. It may be called from
// any goroutine.
func (e *Engine) MayAct(duty string) (election.Ownership, bool) {
	if e.duties == nil {
		return election.Ownership{}, false
	}
	l, ok := (*e.duties.leases.Load())[duty]
	now := time.Now()
	elapsed := now.Sub(e.start)
	if suspended := now.Round(0).Sub(l.recordedWall) - (elapsed - l.recordedAt); !ok || elapsed >= l.until || max(suspended, -suspended) > maxClockJump {
		return election.Ownership{}, false
	}
	return election.Ownership{Number: l.number, Owner: e.duties.table.Identity()}, true
}

// ReportRejection reports that a receiver rejected this member because it has seen the given, higher number.
func (e *Engine) ReportRejection(duty string, number uint64) error {
	if e.duties == nil {
		return fmt.Errorf("unknown duty %q: this member has no duties", duty)
	}
	e.duties.enqueue(election.Rejected{Duty: duty, Number: number})
	return nil
}
