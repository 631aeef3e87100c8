package wire

import (
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	initialMaxStreams = 100       // limit before the server's SETTINGS arrive (RFC 9113, 6.5.2 sets none)
	maxStreamID       = 1<<31 - 1 // RFC 9113, 5.1.1
)

// NewClient returns the client end of a new connection. TakeOutput returns its preface and SETTINGS at once. MaxBodyBytes,
// ConnWindow, MaxHeaderListBytes and MaxHeaderBlockBytes limit responses.
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

// AvailableStreams returns how many requests may be sent now. The limits are the server's SETTINGS and GOAWAY,
// Limits.MaxStreams and the range of stream ids.
func (c *Conn) AvailableStreams() int {
	if !c.isClient || c.failed || c.goAwayReceived || c.lastStream >= maxStreamID-2 {
		return 0
	}
	return max(0, int(min(int64(c.peerMaxStreams), int64(c.limits.MaxStreams)))-len(c.streams))
}

// SendRequest sends a request, its body as far as the server's windows allow, and returns its stream id. One event follows:
// ResponseReceived, RequestRefused or StreamAborted, unless ResetStream is called first. SendRequest returns false, having sent
// nothing, if no stream is available or if more than Limits.MaxUnsentBytes of bodies would wait for the server's windows.
func (c *Conn) SendRequest(fields []hpack.HeaderField, body []byte) (id uint32, ok bool) {
	if c.AvailableStreams() == 0 || c.unsentBytes+len(body) > c.limits.MaxUnsentBytes {
		return 0, false
	}
	if id = c.lastStream + 2; c.lastStream == 0 {
		id = 1
	}
	c.lastStream = id
	s := &stream{id: id, contentLength: -1, recvWindow: c.streamWindow(), sendWindow: c.peerInitialWindow, openedAt: c.now, delivered: true, req: &Request{}}
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

// UnsentBytes returns how many bytes of a request's body wait for the server's windows. While there are any, the server
// can't have run the request.
func (c *Conn) UnsentBytes(id uint32) int {
	if s := c.streams[id]; s != nil {
		return len(s.unsent)
	}
	return 0
}

// Ping sends a PING. Feed processes the acknowledgement and returns no event for it.
func (c *Conn) Ping() {
	if !c.failed {
		c.mustWrite(c.framer.WritePing(false, [8]byte{}))
	}
}

// handleResponseHeaders processes the header block of a response. Interim responses are ignored (RFC 9113, 8.1).
func (c *Conn) handleResponseHeaders(s *stream) {
	b := &c.block
	status, err := strconv.Atoi(b.status)
	interim := status/100 == 1
	switch {
	case s == nil:
		c.chargeOverhead(1) // in flight when this end sent RST_STREAM
	case err != nil || len(b.status) != 3 || status < 100 || b.malformed || interim && (b.endStream || status == 101):
		c.resetForError(s.id, http2.ErrCodeProtocol) // malformed; HTTP/2 has no status 101 (RFC 9113, 8.6)
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

// deliverResponse returns a response as an event. If the request body is not sent completely, the rest is not sent.
func (c *Conn) deliverResponse(s *stream) {
	if len(s.unsent) > 0 {
		c.mustWrite(c.framer.WriteRSTStream(s.id, http2.ErrCodeNo))
	}
	c.removeStream(s, len(s.unsent) > 0)
	c.events = append(c.events, Event{Kind: ResponseReceived, Stream: s.id, Response: &Response{s.status, s.req.Fields, s.req.Body}})
}

// handleGoAway processes GOAWAY. The server has not processed streams above the last one that it names (RFC 9113, 6.8).
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
