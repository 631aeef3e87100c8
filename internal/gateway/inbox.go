package gateway

import "sync"

// inbox holds what other goroutines have the loop do until the loop takes all of them in one wake-up. Whoever posts to a full one waits, so
// that peers who send faster than the loop works wait in the kernel and not in memory. The loop never posts.
type inbox struct {
	mu      sync.Mutex
	notFull sync.Cond
	items   []func()
	closed  bool
	ready   chan struct{}
}

const maxPosted = 1024 // calls: far more than a turn of the loop brings, and some MB if all are large

func newInbox() *inbox {
	q := &inbox{ready: make(chan struct{}, 1)}
	q.notFull.L = &q.mu
	return q
}

func (q *inbox) post(f func()) {
	q.mu.Lock()
	for len(q.items) >= maxPosted && !q.closed {
		q.notFull.Wait()
	}
	q.items = append(q.items, f)
	first := len(q.items) == 1
	q.mu.Unlock()
	if first {
		select {
		case q.ready <- struct{}{}:
		default:
		}
	}
}

// close lets those who wait go on: nothing is taken any more.
func (q *inbox) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}

// take returns what has come in; spare is a former batch whose memory is used again.
func (q *inbox) take(spare []func()) []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = spare[:0]
	q.notFull.Broadcast()
	return items
}
