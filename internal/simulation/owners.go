package simulation

import (
	"fmt"
	"time"

	"sloepick/internal/election"
)

const ownersTick = 200 * time.Millisecond // as internal/gossip has it

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

	MessagesSent int // messages
	conf         election.Config
	lives        uint64
}

// ElectionMember is one member.
type ElectionMember struct {
	Index int
	Table *election.Table
	Up    bool

	gen    int
	died   time.Duration
	voters election.Electorate // on its disk
}

// NewElectionFleet makes members in the places of their numbers, all up.
func NewElectionFleet(k *Kernel, net *Network, conf election.Config, n int) (*ElectionFleet, error) {
	o := &ElectionFleet{Kernel: k, Net: net, DetectionDelay: 8 * time.Second, ReservationPeriod: 3 * time.Minute, OnOwnerChange: func(*ElectionMember, string, bool) {}, conf: conf}
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

func ownerName(i int) string { return fmt.Sprintf("n%04d", i) }

// Start starts a member's process, which remembers nothing.
func (o *ElectionFleet) Start(m *ElectionMember) error {
	o.lives++
	conf := o.conf
	conf.Self, conf.Incarnation = ownerName(m.Index), o.lives
	t, err := election.New(conf, o.Kernel.Now(), nil, m.voters)
	if err != nil {
		return err
	}
	m.Table, m.Up = t, true
	m.gen++
	gen := m.gen
	o.tell(m, o.stand(m))
	o.Kernel.Every(ownersTick, ownersTick, func() bool {
		if m.gen == gen && m.Up {
			o.tell(m, election.Tick{WallMillis: uint64(o.Kernel.Now() / time.Millisecond)})
		}
		return m.gen == gen && m.Up
	})
	o.Kernel.After(o.DetectionDelay, o.standAll)
	return nil
}

// Kill ends a member's process.
func (o *ElectionFleet) Kill(m *ElectionMember) {
	m.Up, m.died = false, o.Kernel.Now()
	o.Kernel.After(o.DetectionDelay, o.standAll)
	o.Kernel.After(o.ReservationPeriod+o.DetectionDelay, o.standAll)
}

func (o *ElectionFleet) standAll() {
	for _, m := range o.Members {
		if m.Up {
			o.tell(m, o.stand(m))
		}
	}
}

// stand is how a member stands now. Who is gone keeps its place until Hold is over.
func (o *ElectionFleet) stand(m *ElectionMember) election.FleetUpdate {
	s := election.FleetUpdate{Slot: m.Index, ExpectedMembers: len(o.Members)}
	for _, x := range o.Members {
		h := election.Holder{Name: ownerName(x.Index), Alive: x.Up}
		if !x.Up && o.Kernel.Now()-x.died >= o.ReservationPeriod {
			h.Name = ""
		}
		s.Holders = append(s.Holders, h)
	}
	return s
}

func (o *ElectionFleet) tell(m *ElectionMember, e election.Event) {
	for _, a := range m.Table.Handle(o.Kernel.Now(), e) {
		switch a := a.(type) {
		case election.Send:
			o.MessagesSent++
			o.Net.SendPacket(m.Index, a.To, func() {
				if to := o.Members[a.To]; to.Up {
					o.tell(to, election.Received{From: m.Index, Message: a.Message})
				}
			})
		case election.Acquired:
			o.OnOwnerChange(m, a.Duty, true)
		case election.Lost:
			o.OnOwnerChange(m, a.Duty, false)
		case election.ElectorateChange:
			m.voters = a.Electorate
		}
	}
}
