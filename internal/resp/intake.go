package resp

import "sync/atomic"

// intake limits how far a client's commands run ahead of its reading. The reader posts no further command while it is
// full. The reader and the loop share it.
type intake struct {
	unanswered atomic.Int32 // commands that the reader has posted and whose replies the loop has not handed to the writer
	heldBytes  atomic.Int64 // replies that are ready and not written
	// maxUnanswered and maxHeldBytes are the values at which the intake is full. The reader updates them from the
	// tuning before each batch.
	maxUnanswered atomic.Int32
	maxHeldBytes  atomic.Int64
}

// full reports whether the reader must wait.
func (i *intake) full() bool {
	return i.unanswered.Load() >= i.maxUnanswered.Load() || i.heldBytes.Load() >= i.maxHeldBytes.Load()
}

// repliesOwed reports whether the client has yet to receive a reply.
func (i *intake) repliesOwed() bool { return i.unanswered.Load() > 0 || i.heldBytes.Load() > 0 }

// update subtracts replies that were handed to the writer and sets the bytes that are held now. It reports whether
// that made room for a reader that waits.
func (i *intake) update(replies int, heldBytes int) (reopened bool) {
	unansweredBefore := i.unanswered.Add(int32(-replies)) + int32(replies)
	heldBefore := i.heldBytes.Swap(int64(heldBytes))
	wasFull := unansweredBefore >= i.maxUnanswered.Load() || heldBefore >= i.maxHeldBytes.Load()
	return wasFull && !i.full()
}
