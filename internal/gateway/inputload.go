package gateway

import (
	"sync/atomic"
	"time"
)

const (
	loadWindow = 100 * time.Millisecond // over which the time spent on a connection's input is measured
	// The time that input counts is at most inputTime and inputTimePerByte for each of its bytes, which is several times what
	// it takes: when the machine delays the process, a client's single request does not become heavy.
	inputTime        = 100 * time.Microsecond
	inputTimePerByte = 500 * time.Nanosecond
	// heavyTime is the part of loadWindow from which on a connection's input counts as heavy: some twenty times what a
	// client needs that sends a hundred requests a second.
	heavyTime = 2 * time.Millisecond

	// Commands that are no valid request take a token each. A connection without tokens counts as heavy.
	overheadPerSecond = 100
	overheadBurst     = 200
)

// heavySlots is the number of connections whose heavy input may wait for the event loop at a time, and as many new ones. The
// runtime prefers goroutines that wake each other to those that wait for the network: without a limit, some hundred clients
// that send at full speed keep the others' goroutines from running for seconds.
const heavySlots = 2

// InputLoad measures how much of the event loop's time the input of one connection takes. Input that takes much of it, or
// that consists mostly of what is no valid request, is heavy: the connection then shares a few slots with all others of that
// kind, in turn. Track is called on the event loop, the others by the goroutine that reads the connection.
type InputLoad struct {
	core        *Core
	windowStart time.Duration
	spent       time.Duration // since windowStart
	tokens      float64
	refilledAt  time.Duration
	heavy       atomic.Bool
	measured    atomic.Bool
	slots       chan struct{} // of the slot that it has; nil: none
}

// NewInputLoad returns the measure of a connection. Until its first input was handled, the connection shares slots with other
// new ones: otherwise many of them could each take a little, and much together.
func (c *Core) NewInputLoad() *InputLoad {
	return &InputLoad{core: c, tokens: overheadBurst, refilledAt: c.Now()}
}

// ReadSize returns how many bytes are to be read from the connection at a time, of the usual number: less until it has been
// measured.
func (i *InputLoad) ReadSize(usual int) int {
	if !i.measured.Load() {
		return usual / 4
	}
	return usual
}

// Track counts the time since start as spent on input of the connection of that many bytes, and a number of commands in it that
// were no valid request.
func (i *InputLoad) Track(start time.Duration, bytes, overhead int) {
	now := i.core.Now()
	if now-i.windowStart >= loadWindow {
		i.windowStart, i.spent = now, 0
	}
	i.spent += min(now-start, inputTime+time.Duration(bytes)*inputTimePerByte)
	i.tokens = min(overheadBurst, i.tokens+overheadPerSecond*(now-i.refilledAt).Seconds())
	i.tokens = max(-overheadBurst, i.tokens-float64(overhead))
	i.refilledAt = now
	i.heavy.Store(i.spent >= heavyTime || i.tokens < 0)
	i.measured.Store(true)
}

// Acquire waits for a slot if the connection is new or its input is heavy. It comes before the input is parsed, so that input
// that waits holds no memory but its bytes. Post or Cancel ends it.
func (i *InputLoad) Acquire() {
	slots := i.core.l.newSlots
	switch {
	case i.slots != nil:
		return
	case i.heavy.Load():
		slots = i.core.l.heavySlots
	case i.measured.Load():
		return
	}
	select {
	case slots <- struct{}{}:
		i.slots = slots
	case <-i.core.l.ended:
	}
}

// Cancel returns the slot, if there is one: there is nothing to post.
func (i *InputLoad) Cancel() {
	if i.slots != nil {
		<-i.slots
		i.slots = nil
	}
}

// Post posts a function that handles input of the connection, which then returns the slot.
func (i *InputLoad) Post(f func()) {
	slots := i.slots
	i.slots = nil
	if slots == nil {
		i.core.l.inbox.post(f)
		return
	}
	i.core.l.inbox.post(func() {
		f()
		<-slots
	})
}
