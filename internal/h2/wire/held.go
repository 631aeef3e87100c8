package wire

import (
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// This file accounts for the memory that a server holds of requests that are not complete.

const (
	fieldMemory = 96 // bytes that a header field holds at most beside its name and value: the strings, rounded up, and the slice's room to grow
	// freeFields is the number of header fields of a request that cost nothing; each further fieldsPerToken cost a token of
	// the overhead budget.
	freeFields     = 64
	fieldsPerToken = 16
)

// IncompleteBytes returns the memory that requests hold that are not complete, in bytes, beside buffers that each connection may
// keep.
func (c *Conn) IncompleteBytes() int {
	return c.heldBytes + c.block.heldBytes + max(0, cap(c.partial)-keptBufferBytes)
}

// IncompleteSince returns when the oldest request began that is not complete, or the current time if there is none.
func (c *Conn) IncompleteSince() time.Duration {
	since := c.now
	if c.largeFrameIncomplete() {
		since = c.partialSince
	}
	if c.heldBytes == 0 {
		return since
	}
	for _, s := range c.streams {
		if s.heldBytes > 0 {
			since = min(since, s.openedAt)
		}
	}
	return since
}

// largeFrameIncomplete reports whether received bytes of an incomplete frame hold much memory.
func (c *Conn) largeFrameIncomplete() bool { return len(c.partial) > keptBufferBytes }

// EndIfFrameIncomplete ends the connection if the peer has stopped in the middle of a large frame, which nothing else can
// free.
func (c *Conn) EndIfFrameIncomplete() {
	if c.largeFrameIncomplete() {
		c.fail(http2.ErrCodeEnhanceYourCalm, "a frame that does not end holds memory")
		c.partial = nil
	}
}

// RefuseIncomplete resets the streams whose requests are not complete, which tells the client that they were not processed
// (RFC 9113, 8.7). It returns how many there were.
func (c *Conn) RefuseIncomplete() (count int) {
	for _, id := range c.sortedStreamIDs() {
		if s := c.streams[id]; s != nil && s.heldBytes > 0 {
			c.resetForError(id, http2.ErrCodeRefusedStream)
			count++
		}
	}
	return count
}

// holdRequest accounts for what a stream holds of its request.
func (c *Conn) holdRequest(s *stream, bytes int) {
	c.heldBytes += bytes - s.heldBytes
	s.heldBytes = bytes
}

// holdField accounts for a field of a header block that is being received.
func (b *headerBlock) holdField(f hpack.HeaderField) {
	b.heldBytes += fieldMemory + len(f.Name) + len(f.Value)
}

// chargeFields charges a header block with very many fields as overhead. If the budget is exceeded, it ends the connection and
// returns false.
func (c *Conn) chargeFields() bool {
	extra := c.block.fields - freeFields
	return extra <= 0 || c.chargeOverhead(float64(extra)/fieldsPerToken)
}
