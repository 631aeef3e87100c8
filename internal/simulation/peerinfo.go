package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloepick/internal/peerinfo"
)

// PeerInfoFleet is a fleet whose members exchange peer information. Each member has the program's own table and drives
// it as internal/gossip does.
type PeerInfoFleet struct {
	Kernel       *Kernel
	Net          *Network
	Members      []*PeerInfoMember
	MessagesSent int
	BytesSent    int

	config      peerinfo.Config
	rnd         *rand.Rand
	publishedAt map[string]time.Duration // of records, by versionKey
}

// PeerInfoMember is a member of a PeerInfoFleet.
type PeerInfoMember struct {
	Index int
	Name  string
	Table *peerinfo.Table
	Up    bool

	incarnation, version uint64
}

const simulatedTopic peerinfo.Topic = 0

// NewPeerInfoFleet starts n members, each with a random offset of its query interval.
func NewPeerInfoFleet(k *Kernel, net *Network, conf peerinfo.Config, n int) (*PeerInfoFleet, error) {
	c := &PeerInfoFleet{Kernel: k, Net: net, config: conf, rnd: k.RandomStream("commons"), publishedAt: map[string]time.Duration{}}
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

// Start starts a member's process with an empty table.
func (c *PeerInfoFleet) Start(m *PeerInfoMember) error {
	m.incarnation++
	m.version, m.Up = 0, true
	conf := c.config
	conf.Name, conf.Incarnation = m.Name, m.incarnation
	t, err := peerinfo.New(conf, c.rnd.Uint64())
	if err != nil {
		return err
	}
	m.Table = t
	incarnation := m.incarnation
	c.Kernel.Every(time.Duration(c.rnd.Int64N(int64(conf.Interval))), conf.Interval, func() bool {
		if !m.Up || m.incarnation != incarnation {
			return false
		}
		c.publishAndQuery(m)
		return true
	})
	return nil
}

// Kill ends a member's process without a message to the others.
func (c *PeerInfoFleet) Kill(m *PeerInfoMember) { m.Up = false }

// publishAndQuery publishes a new version of a member's record, and sends a query to Fanout random members.
func (c *PeerInfoFleet) publishAndQuery(m *PeerInfoMember) {
	m.version++
	c.publishedAt[versionKey(m.Name, m.incarnation, m.version)] = c.Kernel.Now()
	if err := m.Table.Publish(c.Kernel.Now(), simulatedTopic, []byte("hall-a")); err != nil {
		panic(err) // a value of this size always fits
	}
	query := m.Table.NextQuery(c.Kernel.Now())
	for range min(c.config.Fanout, len(c.Members)-1) {
		to := c.rnd.IntN(len(c.Members) - 1)
		if to >= m.Index {
			to++
		}
		c.send(m, c.Members[to], query)
	}
}

func (c *PeerInfoFleet) send(from, to *PeerInfoMember, message []byte) {
	c.MessagesSent++
	c.BytesSent += len(message)
	c.Net.SendPacket(from.Index, to.Index, func() {
		if !to.Up {
			return
		}
		for _, reply := range to.Table.HandleMessage(c.Kernel.Now(), message) {
			c.send(to, from, reply)
		}
	})
}

func versionKey(name string, incarnation, version uint64) string {
	return fmt.Sprint(name, "/", incarnation, "/", version)
}

// Age returns the age of the record that member m holds of another one: the upper bound that the table reports, and the
// actual age. It returns false if m has no such record.
func (c *PeerInfoFleet) Age(m, of *PeerInfoMember) (reported, actual time.Duration, ok bool) {
	record, reported, err := m.Table.Lookup(c.Kernel.Now(), of.Name, simulatedTopic, c.config.Retention)
	if err != nil {
		return 0, 0, false
	}
	return reported, c.Kernel.Now() - c.publishedAt[versionKey(of.Name, record.Incarnation, record.Version)], true
}
