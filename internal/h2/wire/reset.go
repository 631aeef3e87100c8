package wire

import (
	"slices"

	"golang.org/x/net/http2"
)

// This file has how streams end before their time.

func (c *Conn) ids() []uint32 {
	all := make([]uint32, 0, len(c.streams))
	for id := range c.streams {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// reset ends a stream for an error of the peer's. Each costs calm: a peer that makes this end reset streams that it
// has begun could else have work done without limit (CVE-2025-8671).
func (c *Conn) reset(id uint32, code http2.ErrCode) {
	if c.idle(id) {
		c.fail(code, "an error on a stream that was never begun")
		return
	}
	if !c.charge(1) {
		return
	}
	c.written(c.framer.WriteRSTStream(id, code))
	if s := c.streams[id]; s != nil {
		c.forget(s, true)
		if s.told {
			c.events = append(c.events, Event{Kind: StreamAborted, Stream: id, Code: code, Local: true})
		}
		return
	}
	c.past[id/2%pastKept] = closed{id, true}
}

// forget drops a stream that is closed.
func (c *Conn) forget(s *stream, mine bool) {
	delete(c.streams, s.id)
	c.past[s.id/2%pastKept] = closed{s.id, mine}
	c.unsent -= len(s.unsent)
	s.unsent = nil
	if i := slices.Index(c.waiting, s.id); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
	if !s.told || c.client {
		c.owed += s.got // a server's was given back when the request was handed on
	}
}

// idle reports that the peer can't know the stream: it has not begun it, or it is not the peer's to begin.
func (c *Conn) idle(id uint32) bool { return id%2 == 0 || id > c.last }

// gone reports whether a stream that is not open was closed lately, and by whom.
func (c *Conn) gone(id uint32) (known, mine bool) {
	p := c.past[id/2%pastKept]
	return p.id == id, p.id == id && p.mine
}

// resetByPeer takes RST_STREAM. Opening and resetting streams in a row is paid for (CVE-2023-44487).
func (c *Conn) resetByPeer(f *http2.RSTStreamFrame) {
	if c.idle(f.StreamID) {
		c.fail(http2.ErrCodeProtocol, "RST_STREAM on a stream that was never begun")
		return
	}
	if !c.charge(1) {
		return
	}
	if s := c.streams[f.StreamID]; s != nil {
		c.forget(s, false)
		switch {
		case c.client && f.ErrCode == http2.ErrCodeRefusedStream:
			c.events = append(c.events, Event{Kind: RequestRefused, Stream: s.id, Code: f.ErrCode})
		case s.told:
			c.events = append(c.events, Event{Kind: StreamAborted, Stream: s.id, Code: f.ErrCode})
		}
	}
}
