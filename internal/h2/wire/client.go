package wire

import (
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	streamsFirst  = 100       // at once until the server's SETTINGS have come (RFC 9113, 6.5.2 sets no bound)
	streamHighest = 1<<31 - 1 // that there can be
)

// NewClient begins a connection as its client. Preface and SETTINGS are in Out at once; Limits.Body, Window, Fields and Block
// bound answers.
func NewClient(l Limits, now time.Duration) *Conn {
	c := begin(l, now)
	c.client, c.most = true, streamsFirst
	c.out.WriteString(http2.ClientPreface)
	c.written(c.framer.WriteSettings(
		http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(c.streamRoom())},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(l.MaxHeaderListBytes)}))
	c.widen()
	return c
}

// AvailableStreams is how many requests may be begun now: the server's SETTINGS and GOAWAY bound it, and the numbers of streams.
func (c *Conn) AvailableStreams() int {
	if !c.client || c.failed || c.away || c.last >= streamHighest-2 {
		return 0
	}
	return max(0, int(min(int64(c.most), int64(c.limits.MaxStreams)))-len(c.streams))
}

// SendRequest begins a request, as far as the server's windows take its body, and tells its stream. It is owed one event: Answered,
// Refused or Left, unless Reset ends it. It reports false, and nothing has gone out, where there is no Room, or where more
// than Limits.Unsent bytes of bodies would wait for the server's windows.
func (c *Conn) SendRequest(fields []hpack.HeaderField, body []byte) (id uint32, ok bool) {
	if c.AvailableStreams() == 0 || c.unsent+len(body) > c.limits.MaxUnsentBytes {
		return 0, false
	}
	if id = c.last + 2; c.last == 0 {
		id = 1
	}
	c.last = id
	s := &stream{id: id, length: -1, room: c.streamRoom(), window: c.firstOut, since: c.now, told: true, req: &Request{}}
	c.streams[id] = s
	c.encoded.Reset()
	for _, f := range fields {
		c.encode(f)
	}
	c.writeBlock(id, len(body) == 0)
	if len(body) > 0 {
		s.unsent = body
		c.unsent += len(body)
		c.waiting = append(c.waiting, id)
		c.push()
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
		c.written(c.framer.WritePing(false, [8]byte{}))
	}
}

// answerBegun takes the HEADERS of an answer. Those of an interim one go by unread (RFC 9113, 8.1).
func (c *Conn) answerBegun(s *stream) {
	b := &c.block
	status, err := strconv.Atoi(b.status)
	interim := status/100 == 1
	switch {
	case s == nil:
		c.charge(1) // it crossed the RST_STREAM
	case err != nil || len(b.status) != 3 || status < 100 || b.bad || interim && (b.ends || status == 101):
		c.reset(s.id, http2.ErrCodeProtocol) // malformed; 101 has no place here (RFC 9113, 8.6)
	case b.size > c.limits.MaxHeaderListBytes:
		c.tooBig(s, 0)
	case interim:
		c.charge(1)
	default:
		s.status, s.length, s.req.Fields = status, b.length, b.req.Fields
		switch {
		case b.ends && b.length > 0:
			c.reset(s.id, http2.ErrCodeProtocol)
		case b.ends:
			c.whole(s)
		}
	}
}

// answered hands an answer on. A request that is not sent to its end is not sent any further.
func (c *Conn) answered(s *stream) {
	if len(s.unsent) > 0 {
		c.written(c.framer.WriteRSTStream(s.id, http2.ErrCodeNo))
	}
	c.forget(s, len(s.unsent) > 0)
	c.events = append(c.events, Event{Kind: ResponseReceived, Stream: s.id, Response: &Response{s.status, s.req.Fields, s.req.Body}})
}

// goneAway takes GOAWAY. A server did nothing for streams over the last that it names (RFC 9113, 6.8).
func (c *Conn) goneAway(f *http2.GoAwayFrame) {
	if !c.away {
		c.away = true
		c.events = append(c.events, Event{Kind: GoAwayReceived, Code: f.ErrCode})
	}
	if !c.client {
		return
	}
	for _, id := range c.ids() {
		if id > f.LastStreamID {
			c.forget(c.streams[id], true)
			c.events = append(c.events, Event{Kind: RequestRefused, Stream: id, Code: f.ErrCode})
		}
	}
}
