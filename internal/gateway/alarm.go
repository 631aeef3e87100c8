package gateway

import "time"

// Clock is the time that a core goes by: since the Unix epoch, as servers' start times are told by it. It never runs backwards.
// Its one method may be called from any goroutine.
type Clock interface{ Now() time.Duration }

// clock tells the time since the Unix epoch. It reads the wall clock once, and goes by the monotonic clock from then on, so it never runs backwards.
type clock struct {
	start time.Time
	epoch time.Duration
}

func newClock() clock {
	now := time.Now()
	return clock{now, time.Duration(now.UnixNano())}
}

// Now implements Clock.
func (c clock) Now() time.Duration { return c.epoch + time.Since(c.start) }

// alarm is a call that is due at a time.
type alarm struct {
	at    time.Duration
	do    func()
	index int // in the heap, or -1
}

type alarms []*alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index, a[j].index = i, j
}
func (a *alarms) Push(x any) {
	x.(*alarm).index = len(*a)
	*a = append(*a, x.(*alarm))
}
func (a *alarms) Pop() any {
	old := *a
	n := len(old) - 1
	x := old[n]
	old[n], x.index = nil, -1
	*a = old[:n]
	return x
}
