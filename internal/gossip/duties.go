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
	dutyFlag             = 1 << 15 // in a message's place: it is about a duty, and not the module's
	maxDutyNameBytes     = 64      // bytes of the name of a member that may own
	maxPendingDutyEvents = 1024    // messages on duties that wait for the table; more are lost, as datagrams may be
)

// duties are this member's part in work on behalf of the fleet. The engine's goroutine owns the table. nil: there are none.
type duties struct {
	e          *Engine
	table      *election.Table
	events     chan election.Event
	assignment fleet.Assignment
	leases     atomic.Pointer[map[string]lease]
}

// lease is an ownership as those may read it who act for it.
type lease struct {
	number       uint64
	until        time.Duration // since the engine's start, by the monotonic clock
	recordedWall time.Time     // when it was told: a machine that slept has a wall clock that went on, and a monotonic one that did not
	recordedAt   time.Duration
}

func newDuties(e *Engine, cfg election.Config) (*duties, error) {
	cfg.Self, cfg.Incarnation = e.cfg.Name, e.incarnation
	if len(cfg.Self) > maxDutyNameBytes {
		return nil, fmt.Errorf("the member's name has %d bytes, more than the %d that its messages on duties have room for", len(cfg.Self), maxDutyNameBytes)
	}
	t, err := election.New(cfg, time.Since(e.start), nil, e.saved.Voters)
	if err != nil {
		return nil, err
	}
	d := &duties{e: e, table: t, events: make(chan election.Event, maxPendingDutyEvents)}
	d.leases.Store(&map[string]lease{})
	return d, nil
}

// inbox is where events wait; nil, which is never ready, without duties.
func (d *duties) inbox() <-chan election.Event {
	if d == nil {
		return nil
	}
	return d.events
}

// handle hands the table an event and does what it wants.
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

// publishLeases has those who act read what is owned.
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
		d.e.log.Debug("a message on a duty was not sent", "err", err) // as if lost
	}
}

// receive takes a receive of the member in a place.
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

// MayAct reports whether this member may act for a duty at this moment, and under which number. It is to be asked before and after each
// step that can't be taken back: no after it means that the outcome is unknown. It may be called from any goroutine.
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

// ReportRejection tells that a receiver turned this member away below a number.
func (e *Engine) ReportRejection(duty string, number uint64) error {
	if e.duties == nil {
		return fmt.Errorf("there is no duty %q here", duty)
	}
	e.duties.enqueue(election.Rejected{Duty: duty, Number: number})
	return nil
}
