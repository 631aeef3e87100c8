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
	maxFrameBytes         = 16384 // bytes of a frame's payload, either way: the least that SETTINGS_MAX_FRAME_SIZE may be
	frameHeaderBytes      = 9
	initialWindow         = 65535 // of a connection and, without SETTINGS, of a stream (RFC 9113, 6.9.2)
	maxWindow             = 1<<31 - 1
	hpackTableBytes       = 4096 // bytes of HPACK's dynamic table, either way
	maxBlockFrames        = 8    // frames of one header block: Block bytes need two
	closedStreamsKept     = 128  // closed streams whose end is remembered
	shortDataBytes        = 256  // bytes: DATA that is shorter and neither a stream's first nor its last is paid for
	overheadCreditPerData = 2    // given back for each DATA frame sent: the peer may answer it by two WINDOW_UPDATEs
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
	id            uint32
	req           *Request
	contentLength int64 // that content-length tells; -1: none
	bodyBytes     int64 // bytes of the body
	recvWindow    int64 // the window for what comes
	sendWindow    int64 // the peer's, for what goes out
	unsent        []byte
	waitingSince  time.Duration // when it was begun or, later, answered
	peerEnded     bool          // the peer has ended it
	tooLarge      bool          // it is larger than the limits: what still comes of it is let go
	responded     bool          // its HEADERS are out
	delivered     bool          // its request is out as an event; at a client: it is owed an event
	status        int           // at a client: of its answer, once the HEADERS came
}

// closedStream is how a stream ended that is no more.
type closedStream struct {
	id           uint32
	resetLocally bool // by RST_STREAM from here: frames may still be on their way
}

// Conn is a connection. It is not safe for concurrent use.
type Conn struct {
	limits           Limits
	now              time.Duration
	source           source
	framer           *http2.Framer
	frameHeader      *http2.FrameHeader // read, with its payload yet to come
	partial          []byte             // bytes of a frame that is not whole
	output           bytes.Buffer
	events           []Event
	prefaceBytes     int  // bytes of it that came
	settingsReceived bool // the peer's first SETTINGS came
	failed           bool

	decoder   *hpack.Decoder
	block     headerBlock
	encoder   *hpack.Encoder
	encodeBuf bytes.Buffer

	streams       map[uint32]*stream
	lastStream    uint32 // the highest stream that the peer began
	closedStreams [closedStreamsKept]closedStream
	sendQueue     []uint32 // streams with something unsent, the next first
	unsentBytes   int      // bytes, of all streams

	recvWindow         int64 // the connection's window for what comes
	windowCredit       int64 // bytes of it to be given back
	sendWindow         int64 // the peer's
	peerInitialWindow  int64 // the peer's SETTINGS_INITIAL_WINDOW_SIZE
	overheadTokens     float64
	overheadRefilledAt time.Duration

	refuseAbove    uint32 // after the last GOAWAY: streams over it are let alone; 0: none was sent
	goAwayReceived bool

	isClient       bool
	peerMaxStreams uint32 // the peer's SETTINGS_MAX_CONCURRENT_STREAMS
}

// NewServer begins a connection. Its SETTINGS are in Out at once.
func NewServer(limits Limits, now time.Duration) *Conn {
	c := newConn(limits, now)
	c.mustWrite(c.framer.WriteSettings(
		http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(limits.MaxStreams)},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(c.streamWindow())},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(limits.MaxHeaderListBytes)}))
	c.growConnWindow()
	return c
}

func newConn(limits Limits, now time.Duration) *Conn {
	c := &Conn{limits: limits, now: now, streams: map[uint32]*stream{}, recvWindow: initialWindow, sendWindow: initialWindow, peerInitialWindow: initialWindow,
		overheadTokens: limits.Overhead.Burst, overheadRefilledAt: now}
	c.framer = http2.NewFramer(&c.output, &c.source)
	c.framer.SetReuseFrames()
	c.framer.SetMaxReadFrameSize(maxFrameBytes)
	c.decoder = hpack.NewDecoder(hpackTableBytes, c.handleField)
	c.decoder.SetMaxStringLength(limits.MaxHeaderListBytes)
	c.encoder = hpack.NewEncoder(&c.encodeBuf)
	return c
}

// growConnWindow opens the connection's window as far as the limits go.
func (c *Conn) growConnWindow() {
	if increment := int64(c.limits.ConnWindow) - c.recvWindow; increment > 0 {
		c.mustWrite(c.framer.WriteWindowUpdate(0, uint32(increment)))
		c.recvWindow += increment
	}
}

// streamWindow is a stream's window: one byte more than a body may have, so that a longer one shows and is refused.
func (c *Conn) streamWindow() int64 { return max(initialWindow, int64(c.limits.MaxBodyBytes)+1) }

// mustWrite takes the error of a frame that the framer would not write: a slip of this package, as the buffer takes all.
func (c *Conn) mustWrite(err error) {
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
	b := c.output.Bytes()
	c.output.Reset()
	return b
}

// OpenStreams is how many streams are owed something or still send.
func (c *Conn) OpenStreams() int { return len(c.streams) }

// Failed reports that the connection is at its end.
func (c *Conn) Failed() bool { return c.failed }

// Feed takes bytes of the peer's and tells what they came to. The events are valid until the next call.
func (c *Conn) Feed(now time.Duration, p []byte) []Event {
	c.now, c.events = max(c.now, now), c.events[:0]
	if !c.isClient && c.prefaceBytes < len(http2.ClientPreface) {
		n := min(len(http2.ClientPreface)-c.prefaceBytes, len(p))
		if string(p[:n]) != http2.ClientPreface[c.prefaceBytes:c.prefaceBytes+n] {
			c.fail(http2.ErrCodeProtocol, "no HTTP/2 preface")
			return c.events
		}
		c.prefaceBytes, p = c.prefaceBytes+n, p[n:]
	}
	if len(c.partial) > 0 {
		c.partial = append(c.partial, p...)
		p = c.partial
	}
	for !c.failed {
		n := c.readNext(p)
		if n == 0 {
			break
		}
		p = p[n:]
	}
	c.partial = append(c.partial[:0], p...)
	if c.failed {
		c.partial = nil
	} else {
		c.returnWindow()
	}
	return c.events
}

// readNext takes a frame's header or its payload, and returns how many bytes that was; 0: more must come, or the connection
// has failed.
func (c *Conn) readNext(p []byte) int {
	if c.frameHeader == nil {
		if len(p) < frameHeaderBytes {
			return 0
		}
		c.source.b = p[:frameHeaderBytes]
		h, err := c.framer.ReadFrameHeader()
		if err != nil {
			c.handleFramerError(err)
			return 0
		}
		c.frameHeader = &h
		return frameHeaderBytes
	}
	n := int(c.frameHeader.Length)
	if len(p) < n {
		return 0
	}
	c.source.b = p[:n]
	h := *c.frameHeader
	c.frameHeader = nil
	f, err := c.framer.ReadFrameForHeader(h)
	switch {
	case err != nil && (h.Type == http2.FrameHeaders || h.Type == http2.FrameContinuation): // its block is lost to HPACK
		c.fail(http2.ErrCodeProtocol, "the frame can't be taken: "+err.Error())
	case err != nil && h.Type == http2.FramePriority && h.StreamID != 0: // the framer is stricter than RFC 9113, 6.3
		c.resetForError(h.StreamID, http2.ErrCodeFrameSize)
	case err != nil:
		c.handleFramerError(err)
	default:
		c.handleFrame(f)
	}
	if n == 0 && !c.failed {
		return c.readNext(p) // a frame without payload: go on with the next
	}
	return n
}

// handleFramerError takes an error that the framer found.
func (c *Conn) handleFramerError(err error) {
	switch e := err.(type) {
	case http2.StreamError:
		c.resetForError(e.StreamID, e.Code)
	case http2.ConnectionError:
		c.fail(http2.ErrCode(e), "the frame can't be taken: "+err.Error())
	default: // too large: the framer has read no more than the header
		c.fail(http2.ErrCodeFrameSize, "the frame can't be taken: "+err.Error())
	}
}

// handleFrame takes a whole handleFrame.
func (c *Conn) handleFrame(f http2.Frame) {
	if _, ok := f.(*http2.SettingsFrame); !ok && !c.settingsReceived {
		c.fail(http2.ErrCodeProtocol, "the first frame is not SETTINGS")
		return
	}
	switch f := f.(type) {
	case *http2.HeadersFrame:
		c.handleHeaders(f)
	case *http2.ContinuationFrame:
		c.handleContinuation(f)
	case *http2.DataFrame:
		c.handleData(f)
	case *http2.RSTStreamFrame:
		c.handleRSTStream(f)
	case *http2.SettingsFrame:
		c.handleSettings(f)
	case *http2.PingFrame:
		if c.chargeOverhead(1) && !f.IsAck() {
			c.mustWrite(c.framer.WritePing(true, f.Data))
		}
	case *http2.GoAwayFrame:
		if c.chargeOverhead(1) {
			c.handleGoAway(f)
		}
	case *http2.WindowUpdateFrame:
		c.handleWindowUpdate(f)
	case *http2.PriorityFrame: // deprecated (RFC 9113, 5.3.2), but for its one error
		if c.chargeOverhead(1) && f.StreamDep == f.StreamID {
			c.fail(http2.ErrCodeProtocol, "a stream depends on itself")
		}
	case *http2.PushPromiseFrame:
		c.fail(http2.ErrCodeProtocol, "PUSH_PROMISE, which was not allowed")
	default:
		c.chargeOverhead(1) // of a type that is not known (RFC 9113, 5.5)
	}
}

// chargeOverhead takes from the store of calm. It reports false, and ends the connection, if there is not enough.
func (c *Conn) chargeOverhead(n float64) bool {
	if c.now > c.overheadRefilledAt {
		c.overheadTokens = min(c.limits.Overhead.Burst, c.overheadTokens+c.limits.Overhead.PerSecond*(c.now-c.overheadRefilledAt).Seconds())
		c.overheadRefilledAt = c.now
	}
	if c.overheadTokens -= n; c.overheadTokens < 0 {
		c.fail(http2.ErrCodeEnhanceYourCalm, "too much that asks for nothing")
		return false
	}
	return true
}

// fail ends the connection: GOAWAY is the last that goes out. What was open on it is left, in the order of streams.
func (c *Conn) fail(code http2.ErrCode, reason string) {
	if c.failed {
		return
	}
	c.failed = true
	lastStream := c.lastStream
	if c.isClient { // the last of the server's streams, which has none
		lastStream = 0
	}
	c.mustWrite(c.framer.WriteGoAway(lastStream, code, []byte(reason)))
	for _, id := range c.sortedStreamIDs() {
		if c.streams[id].delivered {
			c.events = append(c.events, Event{Kind: StreamAborted, Stream: id, Code: code, Local: true})
		}
	}
	clear(c.streams)
	c.sendQueue, c.unsentBytes = nil, 0
	c.events = append(c.events, Event{Kind: ConnFailed, Code: code, Reason: reason})
}
