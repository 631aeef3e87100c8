package simulation

import (
	"math/rand/v2"
	"time"
)

// Network carries messages between numbered places: late, and as the faults that are set have it.
type Network struct {
	k             *Kernel
	rnd           *rand.Rand
	MinDelay      time.Duration // the least time that a message takes
	MaxDelay      time.Duration // the most
	LossRate      float64       // share of the messages that are lost
	DuplicateRate float64       // share of them that come twice
	// Partitioned reports that nothing passes from one place to another; nil: all does.
	Partitioned func(from, to int) bool

	Sent, Lost int
}

// NewNetwork makes one without faults.
func NewNetwork(k *Kernel, fast, slow time.Duration) *Network {
	return &Network{k: k, rnd: k.RandomStream("network"), MinDelay: fast, MaxDelay: slow}
}

// SendPacket carries one message, once, twice or never.
func (n *Network) SendPacket(from, to int, take func()) {
	n.Sent++
	if n.cut(from, to) || n.rnd.Float64() < n.LossRate {
		n.Lost++
		return
	}
	n.k.After(n.delay(), take)
	if n.rnd.Float64() < n.DuplicateRate {
		n.k.After(n.delay(), take)
	}
}

// Call carries a question and its answer over a connection, which loses nothing: if either way is cut it fails after a time-out.
func (n *Network) Call(from, to int, timeout time.Duration, there func() (back func()), failed func()) {
	n.Sent++
	if n.cut(from, to) || n.cut(to, from) {
		n.Lost++
		n.k.After(timeout, failed)
		return
	}
	n.k.After(n.delay(), func() {
		back := there()
		if back == nil { // nobody listens
			n.k.After(n.delay(), failed)
			return
		}
		n.Sent++
		n.k.After(n.delay(), back)
	})
}

func (n *Network) cut(from, to int) bool { return n.Partitioned != nil && n.Partitioned(from, to) }

func (n *Network) delay() time.Duration {
	return n.MinDelay + time.Duration(n.rnd.Int64N(int64(n.MaxDelay-n.MinDelay)+1))
}
