package testbed

import (
	"slices"
	"sync"
	"time"
)

const (
	tickInterval = 5 * time.Millisecond
	minDelay     = 2 * time.Millisecond // a tick later than this counts as delayed
	maxDelays    = 1 << 16              // the oldest are dropped
)

// SchedulingMonitor measures how late this machine wakes waiting goroutines. A check of times has to allow for
// that, as on a busy machine a reply can be late without a fault of any process.
type SchedulingMonitor struct {
	mu     sync.Mutex
	delays []wakeupDelay
	stop   chan struct{}
	done   sync.WaitGroup
}

// wakeupDelay is a tick that was late: when it was due, and by how much it was late.
type wakeupDelay struct {
	due   time.Time
	delay time.Duration
}

// NewSchedulingMonitor starts a monitor.
func NewSchedulingMonitor() *SchedulingMonitor {
	m := &SchedulingMonitor{stop: make(chan struct{})}
	m.done.Go(m.run)
	return m
}

func (m *SchedulingMonitor) run() {
	t := time.NewTimer(tickInterval)
	defer t.Stop()
	for {
		due := time.Now().Add(tickInterval)
		t.Reset(tickInterval)
		select {
		case <-t.C:
		case <-m.stop:
			return
		}
		if delay := time.Since(due); delay > minDelay {
			m.record(wakeupDelay{due, delay})
		}
	}
}

func (m *SchedulingMonitor) record(d wakeupDelay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.delays) >= maxDelays {
		m.delays = slices.Delete(m.delays, 0, maxDelays/2)
	}
	m.delays = append(m.delays, d)
}

// DelayBetween returns the sum of the delays that overlap an interval.
func (m *SchedulingMonitor) DelayBetween(from, to time.Time) (sum time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, _ := slices.BinarySearchFunc(m.delays, from, func(d wakeupDelay, t time.Time) int { return d.due.Add(d.delay).Compare(t) })
	for _, d := range m.delays[first:] {
		if d.due.After(to) {
			break
		}
		sum += d.delay
	}
	return sum
}

// Close stops the monitor.
func (m *SchedulingMonitor) Close() {
	close(m.stop)
	m.done.Wait()
}
