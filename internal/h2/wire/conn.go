// Package wire is one end of an HTTP/2 connection, the server's or the client's (RFC 9113, with HPACK of RFC 7541), as a
// state machine: bytes
// go in, events come out, and the frames to be written are collected. It is pure: no I/O, no clock, no goroutine; time
// comes in as a value. Framing and header compression are golang.org/x/net/http2's; streams, windows, limits and what
// counts as an error are here.
//
// Every error of the peer's ends as the RFC says: a stream's by RST_STREAM, a connection's by GOAWAY. What a peer can
// make this end keep is bounded by Limits before anything is kept.
package wire

import (
	"bytes"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	frameMost    = 16384 // bytes of a frame's payload, either way: the least that SETTINGS_MAX_FRAME_SIZE may be
	frameHeader  = 9
	windowFirst  = 65535 // of a connection and, without SETTINGS, of a stream (RFC 9113, 6.9.2)
	windowMost   = 1<<31 - 1
	tableSize    = 4096 // bytes of HPACK's dynamic table, either way
	piecesMost   = 8    // frames of one header block: Block bytes need two
	pastKept     = 128  // closed streams whose end is remembered
	shortData    = 256  // bytes: DATA that is shorter and neither a stream's first nor its last is paid for
	creditByData = 2    // given back for each DATA frame sent: the peer may answer it by two WINDOW_UPDATEs
)

// EventKind tells events apart.
type EventKind int

const (
	RequestReceived  EventKind = iota + 1 // a request is whole; it is owed one Respond, or Reset
	RequestTooLarge                       // a request is larger than the limits: Status is owed by Respond
	StreamAborted                         // nobody waits for the stream any more: nothing can be sent on it
	GoAwayReceived                        // the peer sent GOAWAY: it begins nothing new and takes what is owed
	ConnFailed                            // the connection is at its end: what Out holds is the last
	ResponseReceived                      // at a client: an answer is whole
	RequestRefused                        // at a client: the request never ran (RFC 9113, 8.7)
)

// Event is something that the peer did.
type Event struct {
	Kind     EventKind
	Stream   uint32
	Request  *Request      // of Asked
	Status   int           // of TooBig: 413 or 431
	Response *Response     // of Answered
	Code     http2.ErrCode // of Left and Ended: what was told
	Local    bool          // of Left: for an error of the peer's that was found here
	Reason   string        // of Ended, for the log
}

// Response is an answer as it came.
type Response struct {
	Status int
	Fields []hpack.HeaderField
	Body   []byte
}

// Request is a request as it came. Field names are in lower case, and pseudo-header fields are not among Fields.
type Request struct {
	Method, Scheme, Authority, Path string
	Fields                          []hpack.HeaderField
	Body                            []byte
}

// stream is one that is open or half closed. Streams that are closed have no memory but a place in past.
type stream struct {
	id       uint32
	req      *Request
	length   int64 // that content-length tells; -1: none
	got      int64 // bytes of the body
	room     int64 // the window for what comes
	window   int64 // the peer's, for what goes out
	unsent   []byte
	since    time.Duration // when it was begun or, later, answered
	whole    bool          // the peer has ended it
	refused  bool          // it is larger than the limits: what still comes of it is let go
	answered bool          // its HEADERS are out
	told     bool          // its request is out as an event; at a client: it is owed an event
	status   int           // at a client: of its answer, once the HEADERS came
}

// closed is how a stream ended that is no more.
type closed struct {
	id   uint32
	mine bool // by RST_STREAM from here: frames may still be on their way
}

// Conn is a connection. It is not safe for concurrent use.
type Conn struct {
	limits  Limits
	now     time.Duration
	source  source
	framer  *http2.Framer
	header  *http2.FrameHeader // read, with its payload yet to come
	left    []byte             // bytes of a frame that is not whole
	out     bytes.Buffer
	events  []Event
	preface int  // bytes of it that came
	greeted bool // the peer's first SETTINGS came
	failed  bool

	decoder *hpack.Decoder
	block   block
	encoder *hpack.Encoder
	encoded bytes.Buffer

	streams map[uint32]*stream
	last    uint32 // the highest stream that the peer began
	past    [pastKept]closed
	waiting []uint32 // streams with something unsent, the next first
	unsent  int      // bytes, of all streams

	room     int64 // the connection's window for what comes
	owed     int64 // bytes of it to be given back
	window   int64 // the peer's
	firstOut int64 // the peer's SETTINGS_INITIAL_WINDOW_SIZE
	calm     float64
	calmed   time.Duration

	refuseFrom uint32 // after the last GOAWAY: streams over it are let alone; 0: none was sent
	away       bool

	client bool
	most   uint32 // the peer's SETTINGS_MAX_CONCURRENT_STREAMS
}

// NewServer begins a connection. Its SETTINGS are in Out at once.
func NewServer(l Limits, now time.Duration) *Conn {
	c := begin(l, now)
	c.written(c.framer.WriteSettings(
		http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(l.MaxStreams)},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(c.streamRoom())},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(l.MaxHeaderListBytes)}))
	c.widen()
	return c
}

func begin(l Limits, now time.Duration) *Conn {
	c := &Conn{limits: l, now: now, streams: map[uint32]*stream{}, room: windowFirst, window: windowFirst, firstOut: windowFirst,
		calm: l.Overhead.Burst, calmed: now}
	c.framer = http2.NewFramer(&c.out, &c.source)
	c.framer.SetReuseFrames()
	c.framer.SetMaxReadFrameSize(frameMost)
	c.decoder = hpack.NewDecoder(tableSize, c.field)
	c.decoder.SetMaxStringLength(l.MaxHeaderListBytes)
	c.encoder = hpack.NewEncoder(&c.encoded)
	return c
}

// widen opens the connection's window as far as the limits go.
func (c *Conn) widen() {
	if more := int64(c.limits.ConnWindow) - c.room; more > 0 {
		c.written(c.framer.WriteWindowUpdate(0, uint32(more)))
		c.room += more
	}
}

// streamRoom is a stream's window: one byte more than a body may have, so that a longer one shows and is refused.
func (c *Conn) streamRoom() int64 { return max(windowFirst, int64(c.limits.MaxBodyBytes)+1) }

// written takes the error of a frame that the framer would not write: a slip of this package, as the buffer takes all.
func (c *Conn) written(err error) {
	if err != nil {
		panic("http/2: " + err.Error())
	}
}

// source hands the framer what Feed has made sure of.
type source struct{ b []byte }

func (s *source) Read(p []byte) (int, error) {
	n := copy(p, s.b)
	s.b = s.b[n:]
	return n, nil
}

// TakeOutput is what is to be written, and empties it. It is valid until the connection is used again.
func (c *Conn) TakeOutput() []byte {
	b := c.out.Bytes()
	c.out.Reset()
	return b
}

// OpenStreams is how many streams are owed something or still send.
func (c *Conn) OpenStreams() int { return len(c.streams) }

// Failed reports that the connection is at its end.
func (c *Conn) Failed() bool { return c.failed }

// Feed takes bytes of the peer's and tells what they came to. The events are valid until the next call.
func (c *Conn) Feed(now time.Duration, p []byte) []Event {
	c.now, c.events = max(c.now, now), c.events[:0]
	if !c.client && c.preface < len(http2.ClientPreface) {
		n := min(len(http2.ClientPreface)-c.preface, len(p))
		if string(p[:n]) != http2.ClientPreface[c.preface:c.preface+n] {
			c.fail(http2.ErrCodeProtocol, "no HTTP/2 preface")
			return c.events
		}
		c.preface, p = c.preface+n, p[n:]
	}
	if len(c.left) > 0 {
		c.left = append(c.left, p...)
		p = c.left
	}
	for !c.failed {
		n := c.step(p)
		if n == 0 {
			break
		}
		p = p[n:]
	}
	c.left = append(c.left[:0], p...)
	if c.failed {
		c.left = nil
	} else {
		c.giveBack()
	}
	return c.events
}

// step takes a frame's header or its payload, and returns how many bytes that was; 0: more must come, or the connection
// has failed.
func (c *Conn) step(p []byte) int {
	if c.header == nil {
		if len(p) < frameHeader {
			return 0
		}
		c.source.b = p[:frameHeader]
		h, err := c.framer.ReadFrameHeader()
		if err != nil {
			c.framing(err)
			return 0
		}
		c.header = &h
		return frameHeader
	}
	n := int(c.header.Length)
	if len(p) < n {
		return 0
	}
	c.source.b = p[:n]
	h := *c.header
	c.header = nil
	f, err := c.framer.ReadFrameForHeader(h)
	switch {
	case err != nil && (h.Type == http2.FrameHeaders || h.Type == http2.FrameContinuation): // its block is lost to HPACK
		c.fail(http2.ErrCodeProtocol, "the frame can't be taken: "+err.Error())
	case err != nil && h.Type == http2.FramePriority && h.StreamID != 0: // the framer is stricter than RFC 9113, 6.3
		c.reset(h.StreamID, http2.ErrCodeFrameSize)
	case err != nil:
		c.framing(err)
	default:
		c.frame(f)
	}
	if n == 0 && !c.failed {
		return c.step(p) // a frame without payload: go on with the next
	}
	return n
}

// framing takes an error that the framer found.
func (c *Conn) framing(err error) {
	switch e := err.(type) {
	case http2.StreamError:
		c.reset(e.StreamID, e.Code)
	case http2.ConnectionError:
		c.fail(http2.ErrCode(e), "the frame can't be taken: "+err.Error())
	default: // too large: the framer has read no more than the header
		c.fail(http2.ErrCodeFrameSize, "the frame can't be taken: "+err.Error())
	}
}

// frame takes a whole frame.
func (c *Conn) frame(f http2.Frame) {
	if _, ok := f.(*http2.SettingsFrame); !ok && !c.greeted {
		c.fail(http2.ErrCodeProtocol, "the first frame is not SETTINGS")
		return
	}
	switch f := f.(type) {
	case *http2.HeadersFrame:
		c.headers(f)
	case *http2.ContinuationFrame:
		c.continued(f)
	case *http2.DataFrame:
		c.data(f)
	case *http2.RSTStreamFrame:
		c.resetByPeer(f)
	case *http2.SettingsFrame:
		c.settings(f)
	case *http2.PingFrame:
		if c.charge(1) && !f.IsAck() {
			c.written(c.framer.WritePing(true, f.Data))
		}
	case *http2.GoAwayFrame:
		if c.charge(1) {
			c.goneAway(f)
		}
	case *http2.WindowUpdateFrame:
		c.windowUpdate(f)
	case *http2.PriorityFrame: // deprecated (RFC 9113, 5.3.2), but for its one error
		if c.charge(1) && f.StreamDep == f.StreamID {
			c.fail(http2.ErrCodeProtocol, "a stream depends on itself")
		}
	case *http2.PushPromiseFrame:
		c.fail(http2.ErrCodeProtocol, "PUSH_PROMISE, which was not allowed")
	default:
		c.charge(1) // of a type that is not known (RFC 9113, 5.5)
	}
}

// charge takes from the store of calm. It reports false, and ends the connection, if there is not enough.
func (c *Conn) charge(n float64) bool {
	if c.now > c.calmed {
		c.calm = min(c.limits.Overhead.Burst, c.calm+c.limits.Overhead.PerSecond*(c.now-c.calmed).Seconds())
		c.calmed = c.now
	}
	if c.calm -= n; c.calm < 0 {
		c.fail(http2.ErrCodeEnhanceYourCalm, "too much that asks for nothing")
		return false
	}
	return true
}

// fail ends the connection: GOAWAY is the last that goes out. What was open on it is left, in the order of streams.
func (c *Conn) fail(code http2.ErrCode, why string) {
	if c.failed {
		return
	}
	c.failed = true
	last := c.last
	if c.client { // the last of the server's streams, which has none
		last = 0
	}
	c.written(c.framer.WriteGoAway(last, code, []byte(why)))
	for _, id := range c.ids() {
		if c.streams[id].told {
			c.events = append(c.events, Event{Kind: StreamAborted, Stream: id, Code: code, Local: true})
		}
	}
	clear(c.streams)
	c.waiting, c.unsent = nil, 0
	c.events = append(c.events, Event{Kind: ConnFailed, Code: code, Reason: why})
}
