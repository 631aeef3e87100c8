package simulation

import (
	"fmt"
	"time"

	"sloepick/internal/election"
)

const electionTickInterval = 200 * time.Millisecond // same as in internal/gossip

// ElectionFleet is a fleet whose members elect owners of duties. Each member has the program's own election table. All
// running members get a membership update some time after a member starts or ends, as they would from the fleet's
// membership.
type ElectionFleet struct {
	Kernel  *Kernel
	Net     *Network
	Members []*ElectionMember
	// DetectionDelay is the time until all members know that a member has ended or restarted.
	DetectionDelay time.Duration
	// ReservationPeriod is how long the slot of a member that has ended is reserved.
	ReservationPeriod time.Duration
	// OnOwnerChange is called when a member acquires or loses a duty.
	OnOwnerChange func(m *ElectionMember, duty string, owns bool)

	MessagesSent    int
	config          election.Config
	lastIncarnation uint64
}

// ElectionMember is a member of an ElectionFleet.
type ElectionMember struct {
	Index int
	Table *election.Table
	Up    bool

	generation int
	killedAt   time.Duration
	electorate election.Electorate // kept on its disk
}

// NewElectionFleet starts n members. Each holds the slot of its own index.
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

// Start starts a member's process, which remembers only the electorate on its disk.
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

// Kill ends a member's process without a message to the others.
func (o *ElectionFleet) Kill(m *ElectionMember) {
	m.Up, m.killedAt = false, o.Kernel.Now()
	o.Kernel.After(o.DetectionDelay, o.updateAll)
	o.Kernel.After(o.ReservationPeriod+o.DetectionDelay, o.updateAll)
}

// updateAll passes every running member its current view of the fleet.
func (o *ElectionFleet) updateAll() {
	for _, m := range o.Members {
		if m.Up {
			o.handle(m, o.fleetUpdate(m))
		}
	}
}

// fleetUpdate returns a member's current view of the fleet. A member that has ended keeps its slot for ReservationPeriod.
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

// handle passes an event to a member's table and carries out the actions that it returns.
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
