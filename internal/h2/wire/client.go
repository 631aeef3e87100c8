package wire

import (
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	initialMaxStreams = 100       // at once until the server's SETTINGS have come (RFC 9113, 6.5.2 sets no bound)
	maxStreamID       = 1<<31 - 1 // that there can be
)

// NewClient begins a connection as its client. Preface and SETTINGS are in Out at once; Limits.Body, Window, Fields and Block
// bound answers.
func NewClient(limits Limits, now time.Duration) *Conn {
	c := newConn(limits, now)
	c.isClient, c.peerMaxStreams = true, initialMaxStreams
	c.output.WriteString(http2.ClientPreface)
	c.mustWrite(c.framer.WriteSettings(
		http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(c.streamWindow())},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(limits.MaxHeaderListBytes)}))
	c.growConnWindow()
	return c
}

// AvailableStreams is how many requests may be begun now: the server's SETTINGS and GOAWAY bound it, and the numbers of streams.
func (c *Conn) AvailableStreams() int {
	if !c.isClient || c.failed || c.goAwayReceived || c.lastStream >= maxStreamID-2 {
		return 0
	}
	return max(0, int(min(int64(c.peerMaxStreams), int64(c.limits.MaxStreams)))-len(c.streams))
}

// SendRequest begins a request, as far as the server's windows take its body, and tells its stream. It is owed one event: Answered,
// Refused or Left, unless Reset ends it. It reports false, and nothing has gone out, where there is no Room, or where more
// than Limits.Unsent bytes of bodies would wait for the server's windows.
func (c *Conn) SendRequest(fields []hpack.HeaderField, body []byte) (id uint32, ok bool) {
	if c.AvailableStreams() == 0 || c.unsentBytes+len(body) > c.limits.MaxUnsentBytes {
		return 0, false
	}
	if id = c.lastStream + 2; c.lastStream == 0 {
		id = 1
	}
	c.lastStream = id
	s := &stream{id: id, contentLength: -1, recvWindow: c.streamWindow(), sendWindow: c.peerInitialWindow, waitingSince: c.now, delivered: true, req: &Request{}}
	c.streams[id] = s
	c.encodeBuf.Reset()
	for _, f := range fields {
		c.encodeField(f)
	}
	c.writeHeaderBlock(id, len(body) == 0)
	if len(body) > 0 {
		s.unsent = body
		c.unsentBytes += len(body)
		c.sendQueue = append(c.sendQueue, id)
		c.sendPending()
	}
	return id, true
}

// UnsentBytes is how many bytes of a request wait for the server's windows. While there are any, it can't have run.
func (c *Conn) UnsentBytes(id uint32) int {
	if s := c.streams[id]; s != nil {
		return len(s.unsent)
	}
	return 0
}

// Ping asks the server whether it is there. Its answer is Heard by Feed like anything else.
func (c *Conn) Ping() {
	if !c.failed {
		c.mustWrite(c.framer.WritePing(false, [8]byte{}))
	}
}

// handleResponseHeaders takes the HEADERS of an answer. Those of an interim one go by unread (RFC 9113, 8.1).
func (c *Conn) handleResponseHeaders(s *stream) {
	b := &c.block
	status, err := strconv.Atoi(b.status)
	interim := status/100 == 1
	switch {
	case s == nil:
		c.chargeOverhead(1) // it crossed the RST_STREAM
	case err != nil || len(b.status) != 3 || status < 100 || b.malformed || interim && (b.endStream || status == 101):
		c.resetForError(s.id, http2.ErrCodeProtocol) // malformed; 101 has no place here (RFC 9113, 8.6)
	case b.listSize > c.limits.MaxHeaderListBytes:
		c.rejectTooLarge(s, 0)
	case interim:
		c.chargeOverhead(1)
	default:
		s.status, s.contentLength, s.req.Fields = status, b.contentLength, b.req.Fields
		switch {
		case b.endStream && b.contentLength > 0:
			c.resetForError(s.id, http2.ErrCodeProtocol)
		case b.endStream:
			c.deliver(s)
		}
	}
}

// deliverResponse hands an answer on. A request that is not sent to its end is not sent any further.
func (c *Conn) deliverResponse(s *stream) {
	if len(s.unsent) > 0 {
		c.mustWrite(c.framer.WriteRSTStream(s.id, http2.ErrCodeNo))
	}
	c.removeStream(s, len(s.unsent) > 0)
	c.events = append(c.events, Event{Kind: ResponseReceived, Stream: s.id, Response: &Response{s.status, s.req.Fields, s.req.Body}})
}

// handleGoAway takes GOAWAY. A server did nothing for streams over the last that it names (RFC 9113, 6.8).
func (c *Conn) handleGoAway(f *http2.GoAwayFrame) {
	if !c.goAwayReceived {
		c.goAwayReceived = true
		c.events = append(c.events, Event{Kind: GoAwayReceived, Code: f.ErrCode})
	}
	if !c.isClient {
		return
	}
	for _, id := range c.sortedStreamIDs() {
		if id > f.LastStreamID {
			c.removeStream(c.streams[id], true)
			c.events = append(c.events, Event{Kind: RequestRefused, Stream: id, Code: f.ErrCode})
		}
	}
}
