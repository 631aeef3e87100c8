package world

import (
	"fmt"
	"time"

	"sloepick/internal/election"
)

const ownersTick = 200 * time.Millisecond // as internal/gossip has it

// Owners is members that do work on behalf of their fleet, each with the program's own table of owners. Who is alive is told to all a while
// after it changed, as the fleet's membership tells it.
type Owners struct {
	K       *Kernel
	Net     *Network
	Members []*OwnerMember
	// Noticed is how long it takes until all know that a member is gone or back.
	Noticed time.Duration
	// Hold is for how long a place is kept for who is gone.
	Hold time.Duration
	// Changed is told who owns a duty from now on, and that it does no more.
	Changed func(m *OwnerMember, duty string, owns bool)

	Sent  int // messages
	conf  election.Config
	lives uint64
}

// OwnerMember is one member.
type OwnerMember struct {
	No    int
	Table *election.Table
	Up    bool

	gen    int
	died   time.Duration
	voters election.Electorate // on its disk
}

// NewOwners makes members in the places of their numbers, all up.
func NewOwners(k *Kernel, net *Network, conf election.Config, n int) (*Owners, error) {
	o := &Owners{K: k, Net: net, Noticed: 8 * time.Second, Hold: 3 * time.Minute, Changed: func(*OwnerMember, string, bool) {}, conf: conf}
	for i := range n {
		o.Members = append(o.Members, &OwnerMember{No: i})
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
func (o *Owners) Start(m *OwnerMember) error {
	o.lives++
	conf := o.conf
	conf.Self, conf.Incarnation = ownerName(m.No), o.lives
	t, err := election.New(conf, o.K.Now(), nil, m.voters)
	if err != nil {
		return err
	}
	m.Table, m.Up = t, true
	m.gen++
	gen := m.gen
	o.tell(m, o.stand(m))
	o.K.Every(ownersTick, ownersTick, func() bool {
		if m.gen == gen && m.Up {
			o.tell(m, election.Tick{WallMillis: uint64(o.K.Now() / time.Millisecond)})
		}
		return m.gen == gen && m.Up
	})
	o.K.After(o.Noticed, o.standAll)
	return nil
}

// Kill ends a member's process.
func (o *Owners) Kill(m *OwnerMember) {
	m.Up, m.died = false, o.K.Now()
	o.K.After(o.Noticed, o.standAll)
	o.K.After(o.Hold+o.Noticed, o.standAll)
}

func (o *Owners) standAll() {
	for _, m := range o.Members {
		if m.Up {
			o.tell(m, o.stand(m))
		}
	}
}

// stand is how a member stands now. Who is gone keeps its place until Hold is over.
func (o *Owners) stand(m *OwnerMember) election.FleetUpdate {
	s := election.FleetUpdate{Slot: m.No, ExpectedMembers: len(o.Members)}
	for _, x := range o.Members {
		h := election.Holder{Name: ownerName(x.No), Alive: x.Up}
		if !x.Up && o.K.Now()-x.died >= o.Hold {
			h.Name = ""
		}
		s.Holders = append(s.Holders, h)
	}
	return s
}

func (o *Owners) tell(m *OwnerMember, e election.Event) {
	for _, a := range m.Table.Handle(o.K.Now(), e) {
		switch a := a.(type) {
		case election.Send:
			o.Sent++
			o.Net.Packet(m.No, a.To, func() {
				if to := o.Members[a.To]; to.Up {
					o.tell(to, election.Received{From: m.No, Message: a.Message})
				}
			})
		case election.Acquired:
			o.Changed(m, a.Duty, true)
		case election.Lost:
			o.Changed(m, a.Duty, false)
		case election.ElectorateChange:
			m.voters = a.Electorate
		}
	}
}
