package wire

import (
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Respond sends the response to a stream: status, fields and the body, as far as the peer's windows and the output buffer
// allow. The rest of the body is kept until it can be sent. Respond returns false, having sent nothing, if the stream is owed no response.
func (c *Conn) Respond(id uint32, status int, fields []hpack.HeaderField, body []byte) bool {
	s := c.streams[id]
	if s == nil || s.responded || !s.delivered && !s.tooLarge || c.failed {
		return false
	}
	s.responded, s.respondedAt, s.progressAt = true, c.now, c.now
	c.encodeBuf.Reset()
	c.encodeField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(status)})
	for _, f := range fields {
		c.encodeField(f)
	}
	c.writeHeaderBlock(id, len(body) == 0)
	if len(body) == 0 {
		c.finishSend(s)
		return true
	}
	s.unsent = body
	c.unsentBytes += len(body)
	c.sendQueue = append(c.sendQueue, id)
	c.sendPending()
	return true
}

func (c *Conn) encodeField(f hpack.HeaderField) { c.mustWrite(c.encoder.WriteField(f)) }

// writeHeaderBlock writes the encoded fields as HEADERS, and as CONTINUATION frames what does not fit into it.
func (c *Conn) writeHeaderBlock(id uint32, endStream bool) {
	b := c.encodeBuf.Bytes()
	n := min(len(b), maxFrameBytes)
	c.mustWrite(c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: b[:n], EndStream: endStream, EndHeaders: n == len(b)}))
	for b = b[n:]; len(b) > 0; b = b[n:] {
		n = min(len(b), maxFrameBytes)
		c.mustWrite(c.framer.WriteContinuation(id, n == len(b), b[:n]))
	}
}

// outputFull reports whether no DATA may be added to the output. What a server does not send yet stays in the streams, where
// it is not copied and where a reset drops it. A client sends requests at once or not at all.
func (c *Conn) outputFull() bool { return !c.isClient && c.output.Len() >= maxBufferedOutput }

// sendPending sends queued body bytes as far as the windows and the output buffer allow, one frame per stream in turn.
func (c *Conn) sendPending() {
	for blocked := 0; blocked < len(c.sendQueue) && c.sendWindow > 0 && !c.outputFull() && !c.failed; {
		id := c.sendQueue[0]
		c.sendQueue = append(c.sendQueue[:0], c.sendQueue[1:]...)
		s := c.streams[id]
		n := min(int64(len(s.unsent)), s.sendWindow, c.sendWindow, maxFrameBytes)
		if n <= 0 {
			c.sendQueue = append(c.sendQueue, id)
			blocked++
			continue
		}
		blocked = 0
		last := n == int64(len(s.unsent))
		c.mustWrite(c.framer.WriteData(id, last, s.unsent[:n]))
		s.unsent = s.unsent[n:]
		s.sendWindow, c.sendWindow, c.unsentBytes = s.sendWindow-n, c.sendWindow-n, c.unsentBytes-int(n)
		s.progressAt, c.progressAt = c.now, c.now
		c.creditDataFrame()
		if last {
			c.finishSend(s)
		} else {
			c.sendQueue = append(c.sendQueue, id)
		}
	}
}

// finishSend closes a stream whose response is sent completely. If the client is still sending the request, RST_STREAM
// tells it to stop (RFC 9113, 8.1).
func (c *Conn) finishSend(s *stream) {
	if c.isClient {
		return // the response is still to come
	}
	if !s.peerEnded {
		c.mustWrite(c.framer.WriteRSTStream(s.id, http2.ErrCodeNo))
	}
	c.removeStream(s, !s.peerEnded)
	c.returnWindow()
}

// ResetStream ends a stream by RST_STREAM and drops what is still unsent on it.
func (c *Conn) ResetStream(id uint32, code http2.ErrCode) {
	if s := c.streams[id]; s != nil && !c.failed {
		c.mustWrite(c.framer.WriteRSTStream(id, code))
		c.removeStream(s, true)
		c.returnWindow()
	}
}

// ResetStalled resets the streams on which this end has been waiting for the peer for longer than the stall period: incomplete
// requests, and responses of which the peer takes nothing. A response that the peer takes very slowly is reset after
// maxStallPeriods. Streams that wait for this end are kept. It returns how many it reset.
func (c *Conn) ResetStalled(stall time.Duration) (count int) {
	for _, id := range c.sortedStreamIDs() {
		s := c.streams[id]
		since, waiting := c.waitingSince(s)
		tooSlow := s.responded && s.respondedAt < c.now-maxStallPeriods*stall
		if waiting && (since < c.now-stall || tooSlow) {
			c.ResetStream(id, http2.ErrCodeCancel)
			count++
		}
	}
	return count
}

// WaitingSince returns since when this end has been waiting for the peer on the stream that waits longest, or false if it
// waits on none.
func (c *Conn) WaitingSince() (since time.Duration, ok bool) {
	for _, s := range c.streams {
		if t, waiting := c.waitingSince(s); waiting && (!ok || t < since) {
			since, ok = t, true
		}
	}
	return since, ok
}

// waitingSince returns since when this end has been waiting for the peer on a stream, or false if it does not wait. While the
// peer takes other responses, the stream may only be waiting for its turn.
func (c *Conn) waitingSince(s *stream) (since time.Duration, ok bool) {
	switch {
	case s.responded:
		return max(s.progressAt, c.progressAt), true
	case s.delivered:
		return 0, false
	}
	return s.openedAt, true
}

// MarkProgress tells that the peer takes output, although no DATA can be added to it now.
func (c *Conn) MarkProgress() { c.progressAt = c.now }

// Shutdown begins a graceful shutdown (RFC 9113, 6.8): a GOAWAY tells the peer to open no new streams, and those that it
// opens before it has received the GOAWAY are still accepted. RefuseNewStreams, called a round trip later, ends that.
func (c *Conn) Shutdown() {
	if !c.failed && c.refuseAbove == 0 {
		c.mustWrite(c.framer.WriteGoAway(maxWindow, http2.ErrCodeNo, nil))
	}
}

// RefuseNewStreams sends a GOAWAY with the last accepted stream. Higher ones are ignored from now on, and the GOAWAY tells the
// client that they were not processed.
func (c *Conn) RefuseNewStreams() {
	if c.failed || c.refuseAbove > 0 {
		return
	}
	c.mustWrite(c.framer.WriteGoAway(c.lastStream, http2.ErrCodeNo, nil))
	c.refuseAbove = max(c.lastStream, 1)
}

// Drained reports whether the connection can be closed without losing anything: it has failed, or RefuseNewStreams was
// called and no stream is open.
func (c *Conn) Drained() bool { return c.failed || c.refuseAbove > 0 && len(c.streams) == 0 }
