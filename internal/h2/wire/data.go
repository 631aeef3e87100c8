package wire

import (
	"golang.org/x/net/http2"
)

// This file has what comes as the body of a request or an answer.

// handleData takes DATA. The whole frame counts against the windows, its padding too (RFC 9113, 6.1).
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
	exempt := s != nil && s.bodyBytes == 0 && len(body) > 0 // many send a short body and its end in two frames
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

// handleLateData takes what came on a stream that the peer has ended, or that is closed.
func (c *Conn) handleLateData(id uint32, s *stream) {
	_, resetLocally := c.recentlyClosed(id)
	switch {
	case s != nil:
		c.resetForError(id, http2.ErrCodeStreamClosed)
	case resetLocally: // it crossed the RST_STREAM
		c.chargeOverhead(1)
	default:
		c.fail(http2.ErrCodeStreamClosed, "a frame on a stream that was closed")
	}
}

// rejectTooLarge refuses what is larger than the limits: a request is to be answered, an answer is not wanted.
func (c *Conn) rejectTooLarge(s *stream, status int) {
	if c.isClient {
		c.resetForError(s.id, http2.ErrCodeCancel)
		return
	}
	c.events = append(c.events, Event{Kind: RequestTooLarge, Stream: s.id, Status: status})
}

// deliver hands a request or an answer on.
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

// returnWindow opens the connection's window by what was handed on.
func (c *Conn) returnWindow() {
	if c.windowCredit > 0 {
		c.mustWrite(c.framer.WriteWindowUpdate(0, uint32(c.windowCredit)))
		c.recvWindow += c.windowCredit
		c.windowCredit = 0
	}
}
