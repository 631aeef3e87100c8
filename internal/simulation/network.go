package simulation

import (
	"math/rand/v2"
	"time"
)

// Network carries messages between numbered members, with random delays and the configured faults.
type Network struct {
	kernel        *Kernel
	rnd           *rand.Rand
	MinDelay      time.Duration // shortest delay of a message
	MaxDelay      time.Duration // longest delay of a message
	LossRate      float64       // share of packets that are lost
	DuplicateRate float64       // share of the delivered packets that arrive twice
	// Partitioned reports whether messages from one member to another are blocked; nil: none are.
	Partitioned func(from, to int) bool

	Sent, Lost int // messages
}

// NewNetwork returns a network without faults.
func NewNetwork(k *Kernel, minDelay, maxDelay time.Duration) *Network {
	return &Network{kernel: k, rnd: k.RandomStream("network"), MinDelay: minDelay, MaxDelay: maxDelay}
}

// SendPacket sends a datagram, which is lost, delivered, or delivered twice.
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

// Call sends a request and its response over a reliable connection. handle runs at the receiver and returns what is to
// run at the caller when the response arrives, or nil if the receiver doesn't answer. If either direction is blocked, the
// call fails after the time-out.
func (n *Network) Call(from, to int, timeout time.Duration, handle func() (reply func()), fail func()) {
	n.Sent++
	if n.partitioned(from, to) || n.partitioned(to, from) {
		n.Lost++
		n.kernel.After(timeout, fail)
		return
	}
	n.kernel.After(n.delay(), func() {
		reply := handle()
		if reply == nil { // no response
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
