package wire

import (
	"golang.org/x/net/http2"
)

// This file receives the bodies of requests and responses.

// handleData processes DATA. The whole frame counts against the windows, including padding (RFC 9113, 6.1).
func (c *Conn) handleData(f *http2.DataFrame) {
	if c.isIdle(f.StreamID) {
		c.fail(http2.ErrCodeProtocol, "DATA on a stream that was never begun")
		return
	}
	n := int64(f.Length)
	if c.recvWindow -= n; c.recvWindow < 0 {
		c.fail(http2.ErrCodeFlowControl, "more DATA than the connection's window")
		return
	}
	s, body := c.streams[f.StreamID], f.Data()
	exempt := s != nil && s.bodyBytes == 0 && len(body) > 0 // many clients send a short body and the end of the stream in two frames
	if len(body) < shortDataBytes && !f.StreamEnded() && !exempt && !c.chargeOverhead(1) {
		return
	}
	if s == nil || s.peerEnded {
		c.windowCredit += n
		c.handleLateData(f.StreamID, s)
		return
	}
	if s.recvWindow -= n; s.recvWindow < 0 {
		c.windowCredit += n
		c.resetForError(s.id, http2.ErrCodeFlowControl)
		return
	}
	if padding := n - int64(len(body)); padding > 0 {
		c.windowCredit += padding
		if !f.StreamEnded() {
			c.mustWrite(c.framer.WriteWindowUpdate(s.id, uint32(padding)))
			s.recvWindow += padding
		}
	}
	s.bodyBytes += int64(len(body))
	s.peerEnded = f.StreamEnded()
	switch {
	case c.isClient && s.status == 0:
		c.resetForError(s.id, http2.ErrCodeProtocol) // before the HEADERS (RFC 9113, 8.1)
	case s.contentLength >= 0 && s.bodyBytes > s.contentLength, f.StreamEnded() && s.contentLength >= 0 && s.bodyBytes != s.contentLength:
		c.resetForError(s.id, http2.ErrCodeProtocol) // malformed (RFC 9113, 8.1.1)
	case s.tooLarge:
		c.windowCredit += int64(len(body))
		s.bodyBytes -= int64(len(body))
	case s.bodyBytes > int64(c.limits.MaxBodyBytes):
		s.tooLarge = true
		c.rejectTooLarge(s, 413)
	default:
		s.req.Body = append(s.req.Body, body...)
		if f.StreamEnded() {
			c.deliver(s)
		}
	}
}

// handleLateData handles DATA on a stream that the peer has ended (s) or that is closed (s is nil).
func (c *Conn) handleLateData(id uint32, s *stream) {
	_, resetLocally := c.recentlyClosed(id)
	switch {
	case s != nil:
		c.resetForError(id, http2.ErrCodeStreamClosed)
	case resetLocally: // in flight when this end sent RST_STREAM
		c.chargeOverhead(1)
	default:
		c.fail(http2.ErrCodeStreamClosed, "a frame on a stream that was closed")
	}
}

// rejectTooLarge handles a message that exceeds the limits: a request is answered with an error status, the stream of a
// response is reset.
func (c *Conn) rejectTooLarge(s *stream, status int) {
	if c.isClient {
		c.resetForError(s.id, http2.ErrCodeCancel)
		return
	}
	c.events = append(c.events, Event{Kind: RequestTooLarge, Stream: s.id, Status: status})
}

// deliver returns a complete request or response as an event.
func (c *Conn) deliver(s *stream) {
	if c.isClient {
		c.deliverResponse(s)
		return
	}
	s.peerEnded, s.delivered = true, true
	c.windowCredit += s.bodyBytes
	c.events = append(c.events, Event{Kind: RequestReceived, Stream: s.id, Request: s.req})
	s.req = nil
}

// returnWindow reopens the connection's receive window by the bytes that were consumed.
func (c *Conn) returnWindow() {
	if c.isClient && c.recvWindow < int64(c.limits.ConnWindow)/2 {
		c.creditIncompleteBodies()
	}
	if c.windowCredit > 0 {
		c.mustWrite(c.framer.WriteWindowUpdate(0, uint32(c.windowCredit)))
		c.recvWindow += c.windowCredit
		c.windowCredit = 0
	}
}

// creditIncompleteBodies counts what has arrived of bodies that are not complete as consumed. Otherwise responses that are sent
// in turns, a frame of each, could use up the window while none of them is complete. Their memory stays bounded by the number of
// requests that this client has open.
func (c *Conn) creditIncompleteBodies() {
	for _, s := range c.streams {
		c.windowCredit += s.bodyBytes - s.creditedBytes
		s.creditedBytes = s.bodyBytes
	}
}
