// Package world is the emulator: a fleet and what it meets, in virtual time. The kernel plays events in the order of their times;
// models of networks and members are built on it, round the program's own code. From the same seed everything comes the same.
package simulation

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Kernel is a discrete-event simulation. Events of one instant happen in the order in which they were set. It is for one
// goroutine.
type Kernel struct {
	seed     uint64
	now      time.Duration
	lastSeq  uint64
	queue    timerQueue
	executed uint64
}

// Timer is an event that is to happen.
type Timer struct {
	due      time.Duration
	seq      uint64
	callback func()
	index    int // in the queue, or -1
}

// NewKernel makes one whose time is start; what its components draw comes from the seed.
func NewKernel(seed uint64, start time.Duration) *Kernel { return &Kernel{seed: seed, now: start} }

// Now implements gateway.Clock.
func (k *Kernel) Now() time.Duration { return k.now }

// EventCount is how many have happened.
func (k *Kernel) EventCount() uint64 { return k.executed }

// RandomStream is a source of random numbers for the component of that name. Each has its own: one that is added, or draws more, shifts
// no other.
func (k *Kernel) RandomStream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(k.seed, h.Sum64()))
}

// At has something happen at a time, or now if that is past.
func (k *Kernel) At(at time.Duration, callback func()) *Timer {
	k.lastSeq++
	t := &Timer{due: max(at, k.now), seq: k.lastSeq, callback: callback}
	heap.Push(&k.queue, t)
	return t
}

// After has something happen after a while.
func (k *Kernel) After(d time.Duration, callback func()) *Timer { return k.At(k.now+d, callback) }

// Every has something happen again and again, first after a while, until it says that it is enough.
func (k *Kernel) Every(first, interval time.Duration, callback func() (again bool)) {
	k.After(first, func() {
		if callback() {
			k.Every(interval, interval, callback)
		}
	})
}

// Stop calls a timer off, if it has not happened. nil: nothing.
func (k *Kernel) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&k.queue, t.index)
	}
}

// RunUntil plays all that happens up to a time, which then it is.
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
