package gateway

import "time"

// Clock is the time that a core goes by: since the Unix epoch, as servers' start times are told by it. It never runs backwards.
// Its one method may be called from any goroutine.
type Clock interface{ Now() time.Duration }

// monotonicClock tells the time since the Unix epoch. It reads the wall monotonicClock once, and goes by the monotonic monotonicClock from then on, so it never runs backwards.
type monotonicClock struct {
	start time.Time
	epoch time.Duration
}

func newClock() monotonicClock {
	now := time.Now()
	return monotonicClock{now, time.Duration(now.UnixNano())}
}

// Now implements Clock.
func (c monotonicClock) Now() time.Duration { return c.epoch + time.Since(c.start) }

// timer is a call that is due at a time.
type timer struct {
	at    time.Duration
	fn    func()
	index int // in the heap, or -1
}

type timerHeap []*timer

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timerHeap) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index, a[j].index = i, j
}
func (a *timerHeap) Push(x any) {
	x.(*timer).index = len(*a)
	*a = append(*a, x.(*timer))
}
func (a *timerHeap) Pop() any {
	old := *a
	n := len(old) - 1
	x := old[n]
	old[n], x.index = nil, -1
	*a = old[:n]
	return x
}
