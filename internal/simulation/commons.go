package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloepick/internal/peerinfo"
)

// PeerInfoFleet is members that know of each other, each with the program's own table, as internal/gossip runs it.
type PeerInfoFleet struct {
	Kernel       *Kernel
	Net          *Network
	Members      []*PeerInfoMember
	MessagesSent int // messages
	BytesSent    int

	conf peerinfo.Config
	rnd  *rand.Rand
	born map[string]time.Duration // of facts, by author and number
}

// PeerInfoMember is one member.
type PeerInfoMember struct {
	Index int
	Name  string
	Table *peerinfo.Table
	Up    bool

	life, no uint64
}

const commonsTopic peerinfo.Topic = 0

// NewPeerInfoFleet makes members that begin to ask at different times.
func NewPeerInfoFleet(k *Kernel, net *Network, conf peerinfo.Config, n int) (*PeerInfoFleet, error) {
	c := &PeerInfoFleet{Kernel: k, Net: net, conf: conf, rnd: k.RandomStream("commons"), born: map[string]time.Duration{}}
	for i := range n {
		c.Members = append(c.Members, &PeerInfoMember{Index: i, Name: fmt.Sprintf("n%04d", i)})
	}
	for _, m := range c.Members {
		if err := c.Start(m); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Start starts a member's process, which knows nothing.
func (c *PeerInfoFleet) Start(m *PeerInfoMember) error {
	m.life++
	m.no, m.Up = 0, true
	conf := c.conf
	conf.Name, conf.Incarnation = m.Name, m.life
	t, err := peerinfo.New(conf, c.rnd.Uint64())
	if err != nil {
		return err
	}
	m.Table = t
	life := m.life
	c.Kernel.Every(time.Duration(c.rnd.Int64N(int64(conf.Interval))), conf.Interval, func() bool {
		if !m.Up || m.life != life {
			return false
		}
		c.turn(m)
		return true
	})
	return nil
}

// Kill ends a member's process.
func (c *PeerInfoFleet) Kill(m *PeerInfoMember) { m.Up = false }

// turn says what is new of a member, and asks a few others.
func (c *PeerInfoFleet) turn(m *PeerInfoMember) {
	m.no++
	c.born[bornKey(m.Name, m.life, m.no)] = c.Kernel.Now()
	if err := m.Table.Publish(c.Kernel.Now(), commonsTopic, []byte("hall-a")); err != nil {
		panic(err) // a value of this size always has room
	}
	q := m.Table.NextQuery(c.Kernel.Now())
	for range min(c.conf.Fanout, len(c.Members)-1) {
		to := c.rnd.IntN(len(c.Members) - 1)
		if to >= m.Index {
			to++
		}
		c.send(m, c.Members[to], q)
	}
}

func (c *PeerInfoFleet) send(from, to *PeerInfoMember, text []byte) {
	c.MessagesSent++
	c.BytesSent += len(text)
	c.Net.SendPacket(from.Index, to.Index, func() {
		if !to.Up {
			return
		}
		for _, back := range to.Table.HandleMessage(c.Kernel.Now(), text) {
			c.send(to, from, back)
		}
	})
}

func bornKey(name string, life, no uint64) string { return fmt.Sprint(name, "/", life, "/", no) }

// Age is how old a member's news of another one is as it tells it, and as it is; false: it knows nothing.
func (c *PeerInfoFleet) Age(m, of *PeerInfoMember) (told, is time.Duration, ok bool) {
	f, told, err := m.Table.Lookup(c.Kernel.Now(), of.Name, commonsTopic, c.conf.Retention)
	if err != nil {
		return 0, 0, false
	}
	return told, c.Kernel.Now() - c.born[bornKey(of.Name, f.Incarnation, f.Version)], true
}
