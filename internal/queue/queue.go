// Package queue provides bounded queues between goroutines. The type of a queue says what happens when it is full: an
// [Evicting] queue drops its oldest item, for data that newer data replaces; a [Rejecting] queue refuses the new item,
// for data that must not be lost silently once it was accepted. A writer never waits for room.
//
// A queue holds its lock only while it copies one item. It takes any number of writers and one reader.
package queue

import (
	"sync"
	"time"
)

// Stats counts what became of the items that were put into a queue.
type Stats struct {
	Put      uint64        // items accepted
	Dropped  uint64        // items evicted before they were taken, or refused
	MaxDepth int           `json:"Deepest"` // highest number of items in the queue
	MaxWait  time.Duration `json:"Longest"` // longest time that an item waited before it was taken
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

// push appends an item. The caller holds the lock and has checked that there is room.
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

// pop removes the oldest item. The caller holds the lock and has checked that there is one.
func (b *ringBuffer[T]) pop() item[T] {
	s := b.items[b.head]
	b.items[b.head] = item[T]{}
	b.head = (b.head + 1) % len(b.items)
	b.length--
	return s
}

// Ready returns a channel that receives a value when there may be items; the reader then calls Take until it returns
// false.
func (b *ringBuffer[T]) Ready() <-chan struct{} { return b.ready }

// Take removes and returns the oldest item; ok is false if the queue is empty.
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

// Stats returns the counters so far.
func (b *ringBuffer[T]) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Evicting is a queue that drops the oldest item when it is full. It is created by [NewEvicting].
type Evicting[T any] struct{ ringBuffer[T] }

// NewEvicting returns an empty queue for up to size items, at least 1.
func NewEvicting[T any](size int) *Evicting[T] {
	r := &Evicting[T]{}
	r.init(size)
	return r
}

// Put appends an item, and drops the oldest one if there is no room.
func (r *Evicting[T]) Put(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.length == len(r.items) {
		r.pop()
		r.stats.Dropped++
	}
	r.push(v)
}

// Rejecting is a queue that refuses new items while it is full. It is created by [NewRejecting].
type Rejecting[T any] struct{ ringBuffer[T] }

// NewRejecting returns an empty queue for up to size items, at least 1.
func NewRejecting[T any](size int) *Rejecting[T] {
	r := &Rejecting[T]{}
	r.init(size)
	return r
}

// Put appends an item. It returns false, and appends nothing, if the queue is full.
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
