package gateway

import (
	"slices"
	"time"
)

// InputMemory accounts for the memory that one connection holds of requests that are not complete. All connections together
// hold at most the share inputShare of the memory for clients. When that is held, requests that have been incomplete for
// longer than evictableAfter are given up, the oldest first. Its methods may be called from any goroutine.
type InputMemory struct {
	account     *memoryAccount
	established bool   // its client has sent whole requests before
	wake        func() // tells the connection that it was given room or is to give up its memory; must not block
	bytes       int
	wanted      int           // bytes that it waits for
	since       time.Duration // when the oldest incomplete request began
	evicted     bool
	pinned      bool // it holds complete requests, which are not given up
}

// NewInputMemory returns the account of a connection. wake is called when the connection is given the room that it waits for,
// or has to give up its incomplete requests (see Evicted). It is called with a lock held, so it must not call back.
func (c *Core) NewInputMemory(wake func()) *InputMemory {
	return &InputMemory{account: c.l.memory, wake: wake}
}

// hold changes the bytes held. The caller holds the account's mu.
func (m *InputMemory) hold(bytes int) {
	a := m.account
	if m.bytes == 0 {
		m.since = a.now()
	}
	m.bytes += bytes
	a.used += bytes
	a.input += bytes
	if m.evicted {
		a.evicting += bytes
	}
	if m.bytes > 0 {
		a.holders[m] = struct{}{}
		return
	}
	delete(a.holders, m)
	m.evicted, m.pinned = false, false
}

// Reserve accounts for bytes of an incomplete request before they are allocated. If it returns false, there is no room yet:
// the connection waits until wake is called and Waiting reports false. Connections whose clients have sent whole requests
// before (established) get room before others.
func (m *InputMemory) Reserve(bytes int, established bool) bool {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	m.established = established
	if len(a.waiters) == 0 || established {
		if a.evictStalled(func() bool { return a.inputFits(bytes, established) }) {
			m.hold(bytes)
			return true
		}
	}
	m.wanted = bytes
	at := len(a.waiters)
	if first := slices.IndexFunc(a.waiters, func(w *InputMemory) bool { return !w.established }); established && first >= 0 {
		at = first
	}
	a.waiters = slices.Insert(a.waiters, at, m)
	a.evictForWaiter()
	return m.wanted == 0
}

// Pin tells whether what is held are complete requests that wait, which are not given up.
func (m *InputMemory) Pin(pinned bool) {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	m.pinned = pinned
	if pinned {
		m.spare()
	}
}

// spare withdraws the demand to give up memory. The caller holds the account's mu.
func (m *InputMemory) spare() {
	if m.evicted {
		m.evicted = false
		m.account.evicting -= m.bytes
	}
}

// Restart records that a request was completed: what is still held belongs to a later one.
func (m *InputMemory) Restart() {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	m.since = a.now()
	m.spare()
}

// ReserveSpare is Reserve for requests that are read ahead. It never waits. What it reserves is pinned. One connection gets half of
// spareShare at most, two get a third each, and so on.
func (m *InputMemory) ReserveSpare(bytes int) bool {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	left := a.part(spareShare) - a.input - bytes
	fits := len(a.waiters) == 0 && a.inputFits(bytes, false) && left >= 0 && m.bytes+bytes <= max(minSpare, left)
	if fits {
		m.hold(bytes)
		m.pinned = true
	}
	return fits
}

// Waiting reports whether the connection still waits for the room that it has asked for. It looks for requests that have been
// incomplete for too long meanwhile.
func (m *InputMemory) Waiting() bool {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.wanted > 0 {
		a.evictForWaiter()
	}
	return m.wanted > 0
}

// Evicted reports whether the connection has to give up its incomplete requests.
func (m *InputMemory) Evicted() bool {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return m.evicted
}

// Set sets the bytes that are held and when the oldest incomplete request began. If it reports that they don't fit, the
// connection has to give up some and call Set again.
func (m *InputMemory) Set(bytes int, since time.Duration, established bool) (fits bool) {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	m.established = established
	growth := bytes - m.bytes
	if growth != 0 {
		m.hold(growth)
	}
	m.since = since
	if growth > 0 {
		return a.evictStalled(func() bool { return a.inputFits(0, established) })
	}
	if growth < 0 { // it has given up what it could
		m.spare()
	}
	a.grantWaiters()
	return true
}

// fits reports whether all that is held fits.
func (m *InputMemory) fits() bool {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inputFits(0, m.established)
}

// shareIsFull reports whether incomplete requests alone hold too much.
func (m *InputMemory) shareIsFull() bool {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.input-a.evicting > a.part(inputShare)
}

// Release releases bytes.
func (m *InputMemory) Release(bytes int) {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	m.hold(-min(bytes, m.bytes))
	a.grantWaiters()
}

// Close releases everything and stops waiting.
func (m *InputMemory) Close() {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.waiters, m); i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
	}
	m.wanted = 0
	m.hold(-m.bytes)
	a.grantWaiters()
}
