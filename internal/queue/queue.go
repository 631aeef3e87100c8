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

type item[T any] struct {
	value   T
	addedAt time.Time
}

type ringBuffer[T any] struct {
	mu     sync.Mutex
	items  []item[T]
	head   int
	length int
	stats  Stats
	ready  chan struct{}
}

func (b *ringBuffer[T]) init(size int) {
	b.items = make([]item[T], max(1, size))
	b.ready = make(chan struct{}, 1)
}

// push appends where there is room; the lock is held.
func (b *ringBuffer[T]) push(v T) {
	b.items[(b.head+b.length)%len(b.items)] = item[T]{v, time.Now()}
	b.length++
	b.stats.Put++
	b.stats.MaxDepth = max(b.stats.MaxDepth, b.length)
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// pop removes the oldest; the lock is held and there is one.
func (b *ringBuffer[T]) pop() item[T] {
	s := b.items[b.head]
	b.items[b.head] = item[T]{}
	b.head = (b.head + 1) % len(b.items)
	b.length--
	return s
}

// Ready is told when there may be something to take; the reader takes until there is no more.
func (b *ringBuffer[T]) Ready() <-chan struct{} { return b.ready }

// Take removes the oldest; false: there is none.
func (b *ringBuffer[T]) Take() (v T, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.length == 0 {
		return v, false
	}
	s := b.pop()
	b.stats.MaxWait = max(b.stats.MaxWait, time.Since(s.addedAt))
	return s.value, true
}

// Stats tells what became of all so far.
func (b *ringBuffer[T]) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Evicting is a ring that drops the oldest when it is full. Make it with NewLatest.
type Evicting[T any] struct{ ringBuffer[T] }

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
	if r.length == len(r.items) {
		r.pop()
		r.stats.Dropped++
	}
	r.push(v)
}

// Rejecting is a ring that refuses when it is full. Make it with NewSure.
type Rejecting[T any] struct{ ringBuffer[T] }

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
	if r.length == len(r.items) {
		r.stats.Dropped++
		return false
	}
	r.push(v)
	return true
}
