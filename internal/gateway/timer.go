package gateway

import "time"

// Clock provides the current time as a duration since the Unix epoch, the same origin as the servers' start
// times. It must never run backwards. Now may be called from any goroutine.
type Clock interface{ Now() time.Duration }

// monotonicClock implements Clock. It reads the wall clock once and advances by the monotonic clock from then
// on, so it never runs backwards.
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

// timer is a function to be called at a given time.
type timer struct {
	at    time.Duration
	fn    func()
	index int // in the heap; -1 if it is not in the heap
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	x.(*timer).index = len(*h)
	*h = append(*h, x.(*timer))
}
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	old[n], x.index = nil, -1
	*h = old[:n]
	return x
}
