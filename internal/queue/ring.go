// Package ring is bounded queues between goroutines, of fixed size. What is done when one is full is part of its type: a [Evicting] drops the
// oldest, where newer news replaces it; a [Rejecting] refuses, where a promise hangs on what was put in. Neither ever makes a writer wait.
//
// A ring holds a lock for the time of one copy, and never while anything else is done. Writers may be many; there is one reader.
package queue

import (
	"sync"
	"time"
)

// Stats are what became of what was put into a ring.
type Stats struct {
	Put      uint64        // taken in
	Dropped  uint64        // by a Latest: pushed out before they were taken; by a Sure: refused
	MaxDepth int           `json:"Deepest"` // that ever waited
	MaxWait  time.Duration `json:"Longest"` // that one waited until it was taken
}

type slot[T any] struct {
	v  T
	at time.Time
}

type base[T any] struct {
	mu     sync.Mutex
	slots  []slot[T]
	first  int
	n      int
	counts Stats
	ready  chan struct{}
}

func (b *base[T]) init(size int) {
	b.slots = make([]slot[T], max(1, size))
	b.ready = make(chan struct{}, 1)
}

// put appends where there is room; the lock is held.
func (b *base[T]) put(v T) {
	b.slots[(b.first+b.n)%len(b.slots)] = slot[T]{v, time.Now()}
	b.n++
	b.counts.Put++
	b.counts.MaxDepth = max(b.counts.MaxDepth, b.n)
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take removes the oldest; the lock is held and there is one.
func (b *base[T]) take() slot[T] {
	s := b.slots[b.first]
	b.slots[b.first] = slot[T]{}
	b.first = (b.first + 1) % len(b.slots)
	b.n--
	return s
}

// Ready is told when there may be something to take; the reader takes until there is no more.
func (b *base[T]) Ready() <-chan struct{} { return b.ready }

// Take removes the oldest; false: there is none.
func (b *base[T]) Take() (v T, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.n == 0 {
		return v, false
	}
	s := b.take()
	b.counts.MaxWait = max(b.counts.MaxWait, time.Since(s.at))
	return s.v, true
}

// Stats tells what became of all so far.
func (b *base[T]) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Evicting is a ring that drops the oldest when it is full. Make it with NewLatest.
type Evicting[T any] struct{ base[T] }

// NewEvicting makes one for so many.
func NewEvicting[T any](size int) *Evicting[T] {
	r := &Evicting[T]{}
	r.init(size)
	return r
}

// Put puts one in, and the oldest out if there is no room.
func (r *Evicting[T]) Put(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == len(r.slots) {
		r.take()
		r.counts.Dropped++
	}
	r.put(v)
}

// Rejecting is a ring that refuses when it is full. Make it with NewSure.
type Rejecting[T any] struct{ base[T] }

// NewRejecting makes one for so many.
func NewRejecting[T any](size int) *Rejecting[T] {
	r := &Rejecting[T]{}
	r.init(size)
	return r
}

// Put puts one in; false: it is full, and nothing was put in.
func (r *Rejecting[T]) Put(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == len(r.slots) {
		r.counts.Dropped++
		return false
	}
	r.put(v)
	return true
}
