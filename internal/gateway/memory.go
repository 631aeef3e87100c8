package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	connectionCost  = 10 << 10 // bytes that a client's connection holds while it is idle: stacks, buffers and its state
	requestOverhead = 1 << 10  // bytes that an open request holds beside its contents
	// requestReserve is the share of the limit that is kept for the requests of clients that read and write steadily: neither
	// incomplete requests nor responses that clients have not taken get it.
	requestReserve = 0.125
	// inputShare is the share of the limit for requests that are not complete: these may never be of use.
	inputShare = 0.5
	// spareShare is the share of the limit for requests that are read ahead: these could wait in the kernel.
	spareShare = 0.25
	// minSpare is what a connection may read ahead while there is room, in bytes. More than that must not be more than what is
	// left for the others.
	minSpare = 32 << 10
	// softConnectionShare and connectionShare are the shares of the limit for idle connections from which on a new one
	// replaces the one that has been idle for longest, and from which on no more are admitted.
	softConnectionShare = 0.5
	connectionShare     = 0.75
	// softLargeConnectionShare and largeConnectionShare are the same for large connections, such as those over TLS, alone.
	softLargeConnectionShare = 0.25
	largeConnectionShare     = 0.375
	// evictableAfter is how long a request must have been incomplete before it may be given up for the memory it holds.
	evictableAfter = 250 * time.Millisecond
)

// memoryAccount accounts for the memory that all client connections hold together: the connections themselves, requests
// that are not complete, open requests, and responses that clients have not taken. It is safe for concurrent use.
type memoryAccount struct {
	now func() time.Duration

	mu       sync.Mutex
	limit    int // bytes
	used     int // bytes, of all kinds
	input    int // bytes of used: requests that are not complete
	evicting int // bytes of input that their holders were told to give up
	holders  map[*InputMemory]struct{}
	waiters  []*InputMemory // in the order in which they get room
}

func newMemoryAccount(now func() time.Duration) *memoryAccount {
	return &memoryAccount{now: now, holders: map[*InputMemory]struct{}{}}
}

// setLimit sets the limit in bytes. What is held above a lower limit stays until it is released.
func (a *memoryAccount) setLimit(bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = bytes
	a.grantWaiters()
}

// add accounts for bytes that are held or, if negative, released. It never refuses.
func (a *memoryAccount) add(bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used += bytes
	a.grantWaiters()
}

// requestFits reports whether there is room for a request of that many bytes, if need be when requests that have been
// incomplete for too long are given up.
func (a *memoryAccount) requestFits(bytes int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evictStalled(func() bool { return a.used-a.evicting+bytes <= a.limit })
}

// responseFits is requestFits for responses.
func (a *memoryAccount) responseFits(bytes int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evictStalled(func() bool { return a.unreservedFits(bytes) })
}

// hasUnreserved reports whether there is room for that many bytes beside requestReserve, without making room.
func (a *memoryAccount) hasUnreserved(bytes int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unreservedFits(bytes)
}

// waiterNeeds returns by how many bytes the room for the first one that waits is too small because of what is not input.
func (a *memoryAccount) waiterNeeds() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiters) == 0 || a.input-a.evicting+a.waiters[0].wanted > a.part(inputShare) {
		return 0
	}
	return max(0, a.used-a.evicting+a.waiters[0].wanted-(a.limit-a.part(requestReserve)))
}

// unreservedFits reports whether there is room for that many bytes more beside requestReserve. The caller holds mu.
func (a *memoryAccount) unreservedFits(bytes int) bool {
	return a.used-a.evicting+bytes <= a.limit-a.part(requestReserve)
}

// inputFits reports whether there is room for that many bytes more of incomplete requests. Established connections may take
// what is kept for requests. The caller holds mu.
func (a *memoryAccount) inputFits(bytes int, established bool) bool {
	if established && a.used-a.evicting+bytes <= a.limit {
		return true
	}
	return a.unreservedFits(bytes) && a.input-a.evicting+bytes <= a.part(inputShare)
}

// part returns a share of the limit, in bytes.
func (a *memoryAccount) part(share float64) int { return int(share * float64(a.limit)) }

// grantWaiters gives room to those that wait, as far as it goes. The caller holds mu.
func (a *memoryAccount) grantWaiters() {
	for len(a.waiters) > 0 && a.inputFits(a.waiters[0].wanted, a.waiters[0].established) {
		m := a.waiters[0]
		a.waiters = slices.Delete(a.waiters, 0, 1)
		m.hold(m.wanted)
		m.wanted = 0
		m.wake()
	}
}

// evictStalled tells holders whose requests have been incomplete for too long to give up their memory, until there is enough
// room. It reports whether there is. The caller holds mu.
func (a *memoryAccount) evictStalled(enough func() bool) bool {
	for !enough() {
		m := a.longestIncomplete(a.now() - evictableAfter)
		if m == nil {
			return false
		}
		m.evicted = true
		a.evicting += m.bytes
		m.wake()
	}
	return true
}

// longestIncomplete returns the holder whose request has been incomplete for longest, if it began before the given time, or
// nil. Established connections come last. The caller holds mu.
func (a *memoryAccount) longestIncomplete(before time.Duration) (longest *InputMemory) {
	for m := range a.holders {
		if m.evicted || m.pinned || m.since > before {
			continue
		}
		if longest == nil || m.established != longest.established && !m.established || m.established == longest.established && m.since < longest.since {
			longest = m
		}
	}
	return longest
}

// evictForWaiter makes room for the first one that waits. The caller holds mu.
func (a *memoryAccount) evictForWaiter() {
	if len(a.waiters) > 0 {
		a.evictStalled(func() bool { return a.inputFits(a.waiters[0].wanted, a.waiters[0].established) })
	}
	a.grantWaiters()
}
