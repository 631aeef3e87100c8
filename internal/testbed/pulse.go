package testbed

import (
	"slices"
	"sync"
	"time"
)

const (
	beatEvery = 5 * time.Millisecond
	beatLate  = 2 * time.Millisecond // a beat that comes later than this tells of a busy machine
	latesMost = 1 << 16              // that are kept: the oldest go
)

// SchedulingMonitor watches how late this machine wakes who waits. A verdict on times has to allow for that: on a busy machine an answer may be
// late that no process held up.
type SchedulingMonitor struct {
	mu    sync.Mutex
	lates []late
	stop  chan struct{}
	done  sync.WaitGroup
}

// late is a beat that came too late: it was due at that time.
type late struct {
	due time.Time
	by  time.Duration
}

// NewSchedulingMonitor begins to watch.
func NewSchedulingMonitor() *SchedulingMonitor {
	p := &SchedulingMonitor{stop: make(chan struct{})}
	p.done.Go(p.watch)
	return p
}

func (p *SchedulingMonitor) watch() {
	t := time.NewTimer(beatEvery)
	defer t.Stop()
	for {
		due := time.Now().Add(beatEvery)
		t.Reset(beatEvery)
		select {
		case <-t.C:
		case <-p.stop:
			return
		}
		if by := time.Since(due); by > beatLate {
			p.note(late{due, by})
		}
	}
}

func (p *SchedulingMonitor) note(l late) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lates) >= latesMost {
		p.lates = slices.Delete(p.lates, 0, latesMost/2)
	}
	p.lates = append(p.lates, l)
}

// DelayBetween is for how long, between two times, something that was to run did not.
func (p *SchedulingMonitor) DelayBetween(from, to time.Time) (sum time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, _ := slices.BinarySearchFunc(p.lates, from, func(l late, t time.Time) int { return l.due.Add(l.by).Compare(t) })
	for _, l := range p.lates[first:] {
		if l.due.After(to) {
			break
		}
		sum += l.by
	}
	return sum
}

// Close ends it.
func (p *SchedulingMonitor) Close() {
	close(p.stop)
	p.done.Wait()
}
