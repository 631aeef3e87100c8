package simulation

import (
	"math/rand/v2"
	"time"
)

// Network carries messages between numbered places: late, and as the faults that are set have it.
type Network struct {
	kernel        *Kernel
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
func NewNetwork(k *Kernel, minDelay, maxDelay time.Duration) *Network {
	return &Network{kernel: k, rnd: k.RandomStream("network"), MinDelay: minDelay, MaxDelay: maxDelay}
}

// SendPacket carries one message, once, twice or never.
func (n *Network) SendPacket(from, to int, deliver func()) {
	n.Sent++
	if n.partitioned(from, to) || n.rnd.Float64() < n.LossRate {
		n.Lost++
		return
	}
	n.kernel.After(n.delay(), deliver)
	if n.rnd.Float64() < n.DuplicateRate {
		n.kernel.After(n.delay(), deliver)
	}
}

// Call carries a question and its answer over a connection, which loses nothing: if either way is cut it fails after a time-out.
func (n *Network) Call(from, to int, timeout time.Duration, handle func() (reply func()), fail func()) {
	n.Sent++
	if n.partitioned(from, to) || n.partitioned(to, from) {
		n.Lost++
		n.kernel.After(timeout, fail)
		return
	}
	n.kernel.After(n.delay(), func() {
		reply := handle()
		if reply == nil { // nobody listens
			n.kernel.After(n.delay(), fail)
			return
		}
		n.Sent++
		n.kernel.After(n.delay(), reply)
	})
}

func (n *Network) partitioned(from, to int) bool {
	return n.Partitioned != nil && n.Partitioned(from, to)
}

func (n *Network) delay() time.Duration {
	return n.MinDelay + time.Duration(n.rnd.Int64N(int64(n.MaxDelay-n.MinDelay)+1))
}
