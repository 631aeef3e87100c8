// Package simulation is a discrete-event simulator of gateway fleets in virtual time. The kernel runs events in the
// order of their times. On top of it, models of the network and of the processes drive the program's own decision code:
// membership, peer information, elections and quotas. The same seed gives the same run.
package simulation

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Kernel is the event queue and the virtual clock. Events with the same time run in the order in which they were
// scheduled. It is not safe for concurrent use.
type Kernel struct {
	seed     uint64
	now      time.Duration
	lastSeq  uint64
	queue    timerQueue
	executed uint64
}

// Timer is a scheduled event.
type Timer struct {
	due      time.Duration
	seq      uint64
	callback func()
	index    int // position in the queue; -1: not queued
}

// NewKernel returns a kernel whose clock shows start. All random streams derive from the seed.
func NewKernel(seed uint64, start time.Duration) *Kernel { return &Kernel{seed: seed, now: start} }

// Now returns the virtual time. It implements gateway.Clock.
func (k *Kernel) Now() time.Duration { return k.now }

// EventCount returns the number of events that have run.
func (k *Kernel) EventCount() uint64 { return k.executed }

// RandomStream returns a source of random numbers for the component with the given name. Each component has its own
// stream, so that adding a component, or more draws in one, doesn't change the draws of the others.
func (k *Kernel) RandomStream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(k.seed, h.Sum64()))
}

// At schedules callback at a time, or now if that time is past.
func (k *Kernel) At(at time.Duration, callback func()) *Timer {
	k.lastSeq++
	t := &Timer{due: max(at, k.now), seq: k.lastSeq, callback: callback}
	heap.Push(&k.queue, t)
	return t
}

// After schedules callback after a delay.
func (k *Kernel) After(d time.Duration, callback func()) *Timer { return k.At(k.now+d, callback) }

// Every runs callback after the delay first, and then at each interval until it returns false.
func (k *Kernel) Every(first, interval time.Duration, callback func() (again bool)) {
	k.After(first, func() {
		if callback() {
			k.Every(interval, interval, callback)
		}
	})
}

// Stop cancels a timer that has not fired. A nil timer is ignored.
func (k *Kernel) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&k.queue, t.index)
	}
}

// RunUntil runs all events up to and including a time, and sets the clock to that time.
func (k *Kernel) RunUntil(until time.Duration) {
	for len(k.queue) > 0 && k.queue[0].due <= until {
		t := heap.Pop(&k.queue).(*Timer)
		k.now = t.due
		k.executed++
		t.callback()
	}
	k.now = max(k.now, until)
}

type timerQueue []*Timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].seq < q[j].seq
}
func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *timerQueue) Push(x any) {
	x.(*Timer).index = len(*q)
	*q = append(*q, x.(*Timer))
}
func (q *timerQueue) Pop() any {
	old := *q
	n := len(old) - 1
	t := old[n]
	old[n], t.index = nil, -1
	*q = old[:n]
	return t
}
