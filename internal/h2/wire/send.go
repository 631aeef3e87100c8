package wire

import (
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Respond answers a stream: the status, fields and the whole body, as far as the peer's windows take it. It reports
// false where nobody waits for it. The body is kept until it is sent.
func (c *Conn) Respond(id uint32, status int, fields []hpack.HeaderField, body []byte) bool {
	s := c.streams[id]
	if s == nil || s.answered || !s.told && !s.refused || c.failed {
		return false
	}
	s.answered, s.since = true, c.now
	c.encoded.Reset()
	c.encode(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(status)})
	for _, f := range fields {
		c.encode(f)
	}
	c.writeBlock(id, len(body) == 0)
	if len(body) == 0 {
		c.sent(s)
		return true
	}
	s.unsent = body
	c.unsent += len(body)
	c.waiting = append(c.waiting, id)
	c.push()
	return true
}

func (c *Conn) encode(f hpack.HeaderField) { c.written(c.encoder.WriteField(f)) }

// writeBlock writes what was encoded as HEADERS, and CONTINUATION where one frame does not hold it.
func (c *Conn) writeBlock(id uint32, ends bool) {
	b := c.encoded.Bytes()
	n := min(len(b), frameMost)
	c.written(c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: b[:n], EndStream: ends, EndHeaders: n == len(b)}))
	for b = b[n:]; len(b) > 0; b = b[n:] {
		n = min(len(b), frameMost)
		c.written(c.framer.WriteContinuation(id, n == len(b), b[:n]))
	}
}

// push sends of what waits, a frame a stream in turn, as far as the windows go.
func (c *Conn) push() {
	for stuck := 0; stuck < len(c.waiting) && c.window > 0 && !c.failed; {
		id := c.waiting[0]
		c.waiting = append(c.waiting[:0], c.waiting[1:]...)
		s := c.streams[id]
		n := min(int64(len(s.unsent)), s.window, c.window, frameMost)
		if n <= 0 {
			c.waiting = append(c.waiting, id)
			stuck++
			continue
		}
		stuck = 0
		last := n == int64(len(s.unsent))
		c.written(c.framer.WriteData(id, last, s.unsent[:n]))
		s.unsent = s.unsent[n:]
		s.window, c.window, c.unsent = s.window-n, c.window-n, c.unsent-int(n)
		c.calm = min(c.limits.Overhead.Burst, c.calm+creditByData)
		if last {
			c.sent(s)
		} else {
			c.waiting = append(c.waiting, id)
		}
	}
	if c.unsent > c.limits.MaxUnsentBytes {
		c.fail(http2.ErrCodeEnhanceYourCalm, "too much of the answers is not taken")
	}
}

// sent closes a stream that was answered to the end. A client that still sends its request is told to stop
// (RFC 9113, 8.1).
func (c *Conn) sent(s *stream) {
	if c.client {
		return // the answer is yet to come
	}
	if !s.whole {
		c.written(c.framer.WriteRSTStream(s.id, http2.ErrCodeNo))
	}
	c.forget(s, !s.whole)
	c.giveBack()
}

// ResetStream ends a stream from this end, whatever of its answer is not sent yet.
func (c *Conn) ResetStream(id uint32, code http2.ErrCode) {
	if s := c.streams[id]; s != nil && !c.failed {
		c.written(c.framer.WriteRSTStream(id, code))
		c.forget(s, true)
		c.giveBack()
	}
}

// ResetStalled ends the streams for which the peer has been waited for since before a time: requests that are not whole, and
// answers that it gives no window for. Streams that wait for this end are let alone. It tells how many it ended.
func (c *Conn) ResetStalled(before time.Duration) (ended int) {
	for _, id := range c.ids() {
		if s := c.streams[id]; s.since < before && (!s.told || s.answered) {
			c.ResetStream(id, http2.ErrCodeCancel)
			ended++
		}
	}
	return ended
}

// WaitingSince is since when the peer has been waited for, of all streams, or false if it is not.
func (c *Conn) WaitingSince() (at time.Duration, ok bool) {
	for _, s := range c.streams {
		if (!s.told || s.answered) && (!ok || s.since < at) {
			at, ok = s.since, true
		}
	}
	return at, ok
}

// Shutdown begins a graceful end (RFC 9113, 6.8): the peer is told to begin nothing new, and what it begins before it
// has heard is still taken. Refuse, a round trip later, ends that.
func (c *Conn) Shutdown() {
	if !c.failed && c.refuseFrom == 0 {
		c.written(c.framer.WriteGoAway(windowMost, http2.ErrCodeNo, nil))
	}
}

// RefuseNewStreams tells the last stream that was taken. Higher ones are let alone from now on, and their client knows that they
// never ran.
func (c *Conn) RefuseNewStreams() {
	if c.failed || c.refuseFrom > 0 {
		return
	}
	c.written(c.framer.WriteGoAway(c.last, http2.ErrCodeNo, nil))
	c.refuseFrom = max(c.last, 1)
}

// Drained reports that the connection can be closed with nothing lost: Refuse was called and nothing is open.
func (c *Conn) Drained() bool { return c.failed || c.refuseFrom > 0 && len(c.streams) == 0 }
