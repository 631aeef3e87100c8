package testbed

import (
	"slices"
	"sync"
	"time"
)

const (
	tickInterval = 5 * time.Millisecond
	minDelay     = 2 * time.Millisecond // a beat that comes later than this tells of a busy machine
	maxDelays    = 1 << 16              // that are kept: the oldest go
)

// SchedulingMonitor watches how late this machine wakes who waits. A verdict on times has to allow for that: on a busy machine an answer may be
// late that no process held up.
type SchedulingMonitor struct {
	mu     sync.Mutex
	delays []wakeupDelay
	stop   chan struct{}
	done   sync.WaitGroup
}

// wakeupDelay is a beat that came too wakeupDelay: it was due at that time.
type wakeupDelay struct {
	due   time.Time
	delay time.Duration
}

// NewSchedulingMonitor begins to watch.
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

// DelayBetween is for how long, between two times, something that was to run did not.
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

// Close ends it.
func (m *SchedulingMonitor) Close() {
	close(m.stop)
	m.done.Wait()
}
