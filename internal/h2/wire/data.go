package wire

import (
	"golang.org/x/net/http2"
)

// This file has what comes as the body of a request or an answer.

// data takes DATA. The whole frame counts against the windows, its padding too (RFC 9113, 6.1).
func (c *Conn) data(f *http2.DataFrame) {
	if c.idle(f.StreamID) {
		c.fail(http2.ErrCodeProtocol, "DATA on a stream that was never begun")
		return
	}
	n := int64(f.Length)
	if c.room -= n; c.room < 0 {
		c.fail(http2.ErrCodeFlowControl, "more DATA than the connection's window")
		return
	}
	s, body := c.streams[f.StreamID], f.Data()
	free := s != nil && s.got == 0 && len(body) > 0 // many send a short body and its end in two frames
	if len(body) < shortData && !f.StreamEnded() && !free && !c.charge(1) {
		return
	}
	if s == nil || s.whole {
		c.owed += n
		c.late(f.StreamID, s)
		return
	}
	if s.room -= n; s.room < 0 {
		c.owed += n
		c.reset(s.id, http2.ErrCodeFlowControl)
		return
	}
	if padding := n - int64(len(body)); padding > 0 {
		c.owed += padding
		if !f.StreamEnded() {
			c.written(c.framer.WriteWindowUpdate(s.id, uint32(padding)))
			s.room += padding
		}
	}
	s.got += int64(len(body))
	s.whole = f.StreamEnded()
	switch {
	case c.client && s.status == 0:
		c.reset(s.id, http2.ErrCodeProtocol) // before the HEADERS (RFC 9113, 8.1)
	case s.length >= 0 && s.got > s.length, f.StreamEnded() && s.length >= 0 && s.got != s.length:
		c.reset(s.id, http2.ErrCodeProtocol) // malformed (RFC 9113, 8.1.1)
	case s.refused:
		c.owed += int64(len(body))
		s.got -= int64(len(body))
	case s.got > int64(c.limits.MaxBodyBytes):
		s.refused = true
		c.tooBig(s, 413)
	default:
		s.req.Body = append(s.req.Body, body...)
		if f.StreamEnded() {
			c.whole(s)
		}
	}
}

// late takes what came on a stream that the peer has ended, or that is closed.
func (c *Conn) late(id uint32, s *stream) {
	_, mine := c.gone(id)
	switch {
	case s != nil:
		c.reset(id, http2.ErrCodeStreamClosed)
	case mine: // it crossed the RST_STREAM
		c.charge(1)
	default:
		c.fail(http2.ErrCodeStreamClosed, "a frame on a stream that was closed")
	}
}

// tooBig refuses what is larger than the limits: a request is to be answered, an answer is not wanted.
func (c *Conn) tooBig(s *stream, status int) {
	if c.client {
		c.reset(s.id, http2.ErrCodeCancel)
		return
	}
	c.events = append(c.events, Event{Kind: RequestTooLarge, Stream: s.id, Status: status})
}

// whole hands a request or an answer on.
func (c *Conn) whole(s *stream) {
	if c.client {
		c.answered(s)
		return
	}
	s.whole, s.told = true, true
	c.owed += s.got
	c.events = append(c.events, Event{Kind: RequestReceived, Stream: s.id, Request: s.req})
	s.req = nil
}

// giveBack opens the connection's window by what was handed on.
func (c *Conn) giveBack() {
	if c.owed > 0 {
		c.written(c.framer.WriteWindowUpdate(0, uint32(c.owed)))
		c.room += c.owed
		c.owed = 0
	}
}
