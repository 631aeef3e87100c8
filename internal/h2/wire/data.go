package wire

import (
	"golang.org/x/net/http2"
)

// This file receives the bodies of requests and responses.

// dataPart is a part of a DATA frame, in the order in which it arrives.
type dataPart struct {
	stream      uint32
	body        []byte
	windowBytes int64 // that the part counts against the windows, including padding (RFC 9113, 6.1)
	frameBytes  int   // length of the whole frame's body
	first       bool  // it is the first part of its frame
	lastFrame   bool  // its frame ends the stream
	endStream   bool  // it ends the stream
}

// isPlainData reports whether a frame's payload can be handled while it arrives, so that none of it has to be kept here.
// Everything else is left to the framer, which checks it.
func (c *Conn) isPlainData(h *http2.FrameHeader) bool {
	return h.Type == http2.FrameData && !h.Flags.Has(http2.FlagDataPadded) && h.StreamID != 0 && h.Length > 0 && c.block.stream == 0 && c.settingsReceived
}

// readData handles what has arrived of the payload of a DATA frame without padding, and returns how many bytes that are.
func (c *Conn) readData(p []byte) int {
	h := c.frameHeader
	n := min(len(p), int(h.Length))
	if n == 0 {
		return 0
	}
	part := dataPart{stream: h.StreamID, windowBytes: int64(n), body: p[:n], first: !c.dataStarted, frameBytes: c.dataBytes,
		lastFrame: h.Flags.Has(http2.FlagDataEndStream)}
	if part.first {
		c.dataBytes, part.frameBytes = int(h.Length), int(h.Length)
	}
	h.Length -= uint32(n)
	c.dataStarted = h.Length > 0
	if !c.dataStarted {
		part.endStream = part.lastFrame
		c.frameHeader = nil
	}
	c.handleData(part)
	return n
}

// handleData processes DATA.
func (c *Conn) handleData(f dataPart) {
	if c.isIdle(f.stream) {
		c.fail(http2.ErrCodeProtocol, "DATA on a stream that was never begun")
		return
	}
	n := f.windowBytes
	if c.recvWindow -= n; c.recvWindow < 0 {
		c.fail(http2.ErrCodeFlowControl, "more DATA than the connection's window")
		return
	}
	s, body := c.streams[f.stream], f.body
	exempt := s != nil && s.bodyBytes == 0 && len(body) > 0 // many clients send a short body and the end of the stream in two frames
	if f.first && f.frameBytes < shortDataBytes && !f.lastFrame && !exempt && !c.chargeOverhead(1) {
		return
	}
	if s == nil || s.peerEnded {
		c.windowCredit += n
		if s != nil || f.first {
			c.handleLateData(f.stream, s)
		}
		return
	}
	if s.recvWindow -= n; s.recvWindow < 0 {
		c.windowCredit += n
		c.resetForError(s.id, http2.ErrCodeFlowControl)
		return
	}
	if padding := n - int64(len(body)); padding > 0 {
		c.windowCredit += padding
		if !f.endStream {
			c.mustWrite(c.framer.WriteWindowUpdate(s.id, uint32(padding)))
			s.recvWindow += padding
		}
	}
	s.bodyBytes += int64(len(body))
	s.peerEnded = f.endStream
	switch {
	case c.isClient && s.status == 0:
		c.resetForError(s.id, http2.ErrCodeProtocol) // before the HEADERS (RFC 9113, 8.1)
	case s.contentLength >= 0 && s.bodyBytes > s.contentLength, f.endStream && s.contentLength >= 0 && s.bodyBytes != s.contentLength:
		c.resetForError(s.id, http2.ErrCodeProtocol) // malformed (RFC 9113, 8.1.1)
	case s.tooLarge:
		c.windowCredit += int64(len(body))
		s.bodyBytes -= int64(len(body))
	case s.bodyBytes > int64(c.limits.MaxBodyBytes):
		s.tooLarge = true
		c.rejectTooLarge(s, 413)
	default:
		before := cap(s.req.Body)
		s.req.Body = append(s.req.Body, body...)
		if !c.isClient {
			c.holdRequest(s, s.heldBytes+cap(s.req.Body)-before)
		}
		if f.endStream {
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
	s.req = nil
	c.holdRequest(s, 0)
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
	c.holdRequest(s, 0)
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
