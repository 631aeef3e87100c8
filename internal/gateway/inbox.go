package gateway

import "sync"

// inbox queues functions that other goroutines post to the event loop, which takes all of them at each wake-up.
// Posting to a full inbox blocks, so that input that arrives faster than the event loop runs waits in the
// kernel instead of in memory. The event loop itself never posts.
type inbox struct {
	mu      sync.Mutex
	notFull sync.Cond
	items   []func()
	closed  bool
	ready   chan struct{}
}

const maxPosted = 1024 // far more functions than arrive in one turn, and a few MB if all of them are large

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

// close unblocks waiting posters. The inbox is not read any more.
func (q *inbox) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}

// take returns all posted functions. spare is a previous batch, whose memory is reused.
func (q *inbox) take(spare []func()) []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = spare[:0]
	q.notFull.Broadcast()
	return items
}
