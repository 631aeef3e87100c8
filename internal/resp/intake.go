package resp

import (
	"sync/atomic"

	"sloepick/internal/gateway"
)

// maxPostedBytes is the size of posted commands, in bytes, from which on the reader waits for the loop.
const maxPostedBytes = gateway.MaxPayloadSize

// intake limits how far a client's commands run ahead of the loop and of the client's reading. The reader posts no
// further command while it is full. The reader and the loop share it.
type intake struct {
	unanswered    atomic.Int32 // commands that the reader has posted and whose replies the loop has not handed to the writer
	maxUnanswered atomic.Int32 // updated by the reader from the tuning before each batch
	postedBytes   atomic.Int64 // of commands that the reader has posted and the loop has not handled
	heldBytes     atomic.Int64 // of replies that are ready and not written
	maxHeldBytes  atomic.Int64 // updated by the loop
}

// full reports whether the reader must wait.
func (i *intake) full() bool {
	return i.unanswered.Load() >= i.maxUnanswered.Load() || i.postedBytes.Load() >= maxPostedBytes || i.heldBytes.Load() >= i.maxHeldBytes.Load()
}

// repliesOwed reports whether the client has yet to receive a reply.
func (i *intake) repliesOwed() bool { return i.unanswered.Load() > 0 || i.heldBytes.Load() > 0 }

// add counts commands that the reader is about to post.
func (i *intake) add(commands, bytes int) {
	i.unanswered.Add(int32(commands))
	i.postedBytes.Add(int64(bytes))
}

// progress is what the loop has done since it last updated the intake.
type progress struct {
	handledBytes int // of posted commands
	replies      int // handed to the writer
}

// update subtracts the progress and sets the bytes that are held now, and their limit. It reports whether that made room
// for a reader that waits.
func (i *intake) update(p progress, heldBytes, maxHeldBytes int) (reopened bool) {
	unanswered := i.unanswered.Add(int32(-p.replies)) + int32(p.replies)
	posted := i.postedBytes.Add(int64(-p.handledBytes)) + int64(p.handledBytes)
	held := i.heldBytes.Swap(int64(heldBytes))
	heldLimit := i.maxHeldBytes.Swap(int64(maxHeldBytes))
	wasFull := unanswered >= i.maxUnanswered.Load() || posted >= maxPostedBytes || held >= heldLimit
	return wasFull && !i.full()
}
