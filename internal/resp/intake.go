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
	memoryShort   atomic.Bool  // the memory for all client connections was short when the loop last looked
	waiting       atomic.Bool  // the reader waits for room, or is about to
}

// full reports whether the reader must wait. While the memory for all client connections is short, a connection may have one
// command at a time.
func (i *intake) full() bool {
	unanswered := i.unanswered.Load()
	return unanswered >= i.maxUnanswered.Load() || i.postedBytes.Load() >= maxPostedBytes || i.heldBytes.Load() >= i.maxHeldBytes.Load() ||
		unanswered > 0 && i.memoryShort.Load()
}

// room returns how many commands the reader may post, and of what size in bytes, before the intake is full. The last command may
// exceed the size.
func (i *intake) room() (commands, bytes int) {
	return int(i.maxUnanswered.Load() - i.unanswered.Load()), maxPostedBytes - int(i.postedBytes.Load())
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

// update subtracts the progress and sets the bytes that are held now, and their limit. It reports whether the reader waits
// for room that there is now.
func (i *intake) update(p progress, heldBytes, maxHeldBytes int, memoryShort bool) (reopened bool) {
	i.unanswered.Add(int32(-p.replies))
	i.postedBytes.Add(int64(-p.handledBytes))
	i.heldBytes.Store(int64(heldBytes))
	i.maxHeldBytes.Store(int64(maxHeldBytes))
	i.memoryShort.Store(memoryShort)
	return !i.full() && i.waiting.CompareAndSwap(true, false)
}
