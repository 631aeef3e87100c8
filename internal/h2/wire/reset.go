package wire

import (
	"slices"

	"golang.org/x/net/http2"
)

// This file ends streams early: on errors, and on RST_STREAM from the peer.

func (c *Conn) sortedStreamIDs() []uint32 {
	ids := make([]uint32, 0, len(c.streams))
	for id := range c.streams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// resetForError resets a stream because of an error of the peer. Each reset is charged as overhead: otherwise a peer that
// provokes resets of the streams it has opened could cause unlimited work (CVE-2025-8671).
func (c *Conn) resetForError(id uint32, code http2.ErrCode) {
	if c.isIdle(id) {
		c.fail(code, "an error on a stream that was never begun")
		return
	}
	if !c.chargeOverhead(1) {
		return
	}
	c.mustWrite(c.framer.WriteRSTStream(id, code))
	if s := c.streams[id]; s != nil {
		c.removeStream(s, true)
		if s.delivered {
			c.events = append(c.events, Event{Kind: StreamAborted, Stream: id, Code: code, Local: true})
		}
		return
	}
	c.closedStreams[id/2%closedStreamsKept] = closedStream{id, true}
}

// removeStream drops a closed stream and remembers how it ended.
func (c *Conn) removeStream(s *stream, resetLocally bool) {
	delete(c.streams, s.id)
	c.closedStreams[s.id/2%closedStreamsKept] = closedStream{s.id, resetLocally}
	c.unsentBytes -= len(s.unsent)
	s.unsent = nil
	c.holdRequest(s, 0)
	if i := slices.Index(c.sendQueue, s.id); i >= 0 {
		c.sendQueue = slices.Delete(c.sendQueue, i, i+1)
	}
	if !s.delivered || c.isClient {
		c.windowCredit += s.bodyBytes - s.creditedBytes // a server returned it to the window when it delivered the request
	}
}

// isIdle reports whether no frame may refer to the stream: it was never opened, or its id is even, and servers open none here.
func (c *Conn) isIdle(id uint32) bool { return id%2 == 0 || id > c.lastStream }

// recentlyClosed reports whether a stream is among the remembered closed ones, and whether this end reset it.
func (c *Conn) recentlyClosed(id uint32) (known, resetLocally bool) {
	p := c.closedStreams[id/2%closedStreamsKept]
	return p.id == id, p.id == id && p.resetLocally
}

// handleRSTStream processes RST_STREAM. It is charged as overhead, which bounds rapid resets (CVE-2023-44487).
func (c *Conn) handleRSTStream(f *http2.RSTStreamFrame) {
	if c.isIdle(f.StreamID) {
		c.fail(http2.ErrCodeProtocol, "RST_STREAM on a stream that was never begun")
		return
	}
	if !c.chargeOverhead(1) {
		return
	}
	if s := c.streams[f.StreamID]; s != nil {
		c.removeStream(s, false)
		switch {
		case c.isClient && f.ErrCode == http2.ErrCodeRefusedStream:
			c.events = append(c.events, Event{Kind: RequestRefused, Stream: s.id, Code: f.ErrCode})
		case s.delivered:
			c.events = append(c.events, Event{Kind: StreamAborted, Stream: s.id, Code: f.ErrCode})
		}
	}
}
