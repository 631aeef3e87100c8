package simulation

import (
	"fmt"
	"time"

	"sloepick/internal/election"
)

const electionTickInterval = 200 * time.Millisecond // as internal/gossip has it

// ElectionFleet is members that do work on behalf of their fleet, each with the program's own table of owners. Who is alive is told to all a while
// after it changed, as the fleet's membership tells it.
type ElectionFleet struct {
	Kernel  *Kernel
	Net     *Network
	Members []*ElectionMember
	// DetectionDelay is how long it takes until all know that a member is gone or back.
	DetectionDelay time.Duration
	// ReservationPeriod is for how long a place is kept for who is gone.
	ReservationPeriod time.Duration
	// OnOwnerChange is told who owns a duty from now on, and that it does no more.
	OnOwnerChange func(m *ElectionMember, duty string, owns bool)

	MessagesSent    int // messages
	config          election.Config
	lastIncarnation uint64
}

// ElectionMember is one member.
type ElectionMember struct {
	Index int
	Table *election.Table
	Up    bool

	generation int
	killedAt   time.Duration
	electorate election.Electorate // on its disk
}

// NewElectionFleet makes members in the places of their numbers, all up.
func NewElectionFleet(k *Kernel, net *Network, conf election.Config, n int) (*ElectionFleet, error) {
	o := &ElectionFleet{Kernel: k, Net: net, DetectionDelay: 8 * time.Second, ReservationPeriod: 3 * time.Minute, OnOwnerChange: func(*ElectionMember, string, bool) {}, config: conf}
	for i := range n {
		o.Members = append(o.Members, &ElectionMember{Index: i})
	}
	for _, m := range o.Members {
		m.Up = true
	}
	for _, m := range o.Members {
		if err := o.Start(m); err != nil {
			return nil, err
		}
	}
	return o, nil
}

func electionMemberName(i int) string { return fmt.Sprintf("n%04d", i) }

// Start starts a member's process, which remembers nothing.
func (o *ElectionFleet) Start(m *ElectionMember) error {
	o.lastIncarnation++
	conf := o.config
	conf.Self, conf.Incarnation = electionMemberName(m.Index), o.lastIncarnation
	t, err := election.New(conf, o.Kernel.Now(), nil, m.electorate)
	if err != nil {
		return err
	}
	m.Table, m.Up = t, true
	m.generation++
	generation := m.generation
	o.handle(m, o.fleetUpdate(m))
	o.Kernel.Every(electionTickInterval, electionTickInterval, func() bool {
		if m.generation == generation && m.Up {
			o.handle(m, election.Tick{WallMillis: uint64(o.Kernel.Now() / time.Millisecond)})
		}
		return m.generation == generation && m.Up
	})
	o.Kernel.After(o.DetectionDelay, o.updateAll)
	return nil
}

// Kill ends a member's process.
func (o *ElectionFleet) Kill(m *ElectionMember) {
	m.Up, m.killedAt = false, o.Kernel.Now()
	o.Kernel.After(o.DetectionDelay, o.updateAll)
	o.Kernel.After(o.ReservationPeriod+o.DetectionDelay, o.updateAll)
}

func (o *ElectionFleet) updateAll() {
	for _, m := range o.Members {
		if m.Up {
			o.handle(m, o.fleetUpdate(m))
		}
	}
}

// fleetUpdate is how a member stands now. Who is gone keeps its place until Hold is over.
func (o *ElectionFleet) fleetUpdate(m *ElectionMember) election.FleetUpdate {
	update := election.FleetUpdate{Slot: m.Index, ExpectedMembers: len(o.Members)}
	for _, other := range o.Members {
		holder := election.Holder{Name: electionMemberName(other.Index), Alive: other.Up}
		if !other.Up && o.Kernel.Now()-other.killedAt >= o.ReservationPeriod {
			holder.Name = ""
		}
		update.Holders = append(update.Holders, holder)
	}
	return update
}

func (o *ElectionFleet) handle(m *ElectionMember, e election.Event) {
	for _, a := range m.Table.Handle(o.Kernel.Now(), e) {
		switch a := a.(type) {
		case election.Send:
			o.MessagesSent++
			o.Net.SendPacket(m.Index, a.To, func() {
				if to := o.Members[a.To]; to.Up {
					o.handle(to, election.Received{From: m.Index, Message: a.Message})
				}
			})
		case election.Acquired:
			o.OnOwnerChange(m, a.Duty, true)
		case election.Lost:
			o.OnOwnerChange(m, a.Duty, false)
		case election.ElectorateChange:
			m.electorate = a.Electorate
		}
	}
}
