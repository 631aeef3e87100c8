// Package wire implements one end of an HTTP/2 connection, server or client (RFC 9113, with HPACK of RFC 7541), as a
// state machine: it is fed the received bytes, returns events, and collects the frames to write. It does no I/O, reads no
// clock and starts no goroutine; the current time is passed in. Framing and header compression come from
// golang.org/x/net/http2; streams, flow control, limits and error handling are implemented here.
//
// Protocol errors of the peer are handled as the RFC requires: a stream error by RST_STREAM, a connection error by
// GOAWAY. Everything that a peer can make this end store is checked against Limits before it is stored.
package wire

import (
	"bytes"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	maxFrameBytes         = 16384 // frame payload in both directions: the lowest allowed SETTINGS_MAX_FRAME_SIZE
	frameHeaderBytes      = 9
	initialWindow         = 65535 // bytes, of a connection and, before SETTINGS, of a stream (RFC 9113, 6.9.2)
	maxWindow             = 1<<31 - 1
	hpackTableBytes       = 4096     // HPACK dynamic table, in both directions
	maxBlockFrames        = 8        // a header block of DefaultLimits().MaxHeaderBlockBytes needs one or two
	closedStreamsKept     = 128      // how many recently closed streams are remembered
	shortDataBytes        = 256      // shorter DATA frames are charged as overhead, except a stream's first and last
	overheadCreditPerData = 2        // tokens returned per DATA frame sent: the peer may answer it with two WINDOW_UPDATEs
	maxWindowUpdateCredit = 4096     // WINDOW_UPDATEs for DATA sent that the peer may have yet to send
	maxBufferedOutput     = 64 << 10 // bytes of output from which on a server adds no DATA until TakeOutput is called
	keptBufferBytes       = 4 << 10  // a larger buffer is not kept once it is empty
	maxStallPeriods       = 15       // a response that is not sent after so many times the stall period is reset
)

// EventKind is the type of an Event.
type EventKind int

const (
	RequestReceived  EventKind = iota + 1 // a request is complete; the caller owes it one Respond or ResetStream
	RequestTooLarge                       // a request exceeds the limits; the caller must Respond with Status
	StreamAborted                         // the peer reset the stream, or an error of the peer ended it; nothing can be sent on it
	GoAwayReceived                        // the peer sent GOAWAY: it opens no new streams but still accepts pending responses
	ConnFailed                            // the connection has ended; TakeOutput returns the last bytes to write
	ResponseReceived                      // client only: a response is complete
	RequestRefused                        // client only: the server did not process the request (RFC 9113, 8.7)
)

// Event reports something that the peer did, or the result of it.
type Event struct {
	Kind     EventKind
	Stream   uint32
	Request  *Request      // set for RequestReceived
	Status   int           // set for RequestTooLarge: 413 or 431
	Response *Response     // set for ResponseReceived
	Code     http2.ErrCode // the error code sent or received, for all but requests and responses
	Local    bool          // set for StreamAborted if this end detected an error of the peer
	Reason   string        // set for ConnFailed, for the log; also sent as debug data of GOAWAY
}

// Response is a received response.
type Response struct {
	Status int
	Fields []hpack.HeaderField
	Body   []byte
}

// Request is a received request. Field names are in lower case; Fields holds no pseudo-header fields.
type Request struct {
	Method, Scheme, Authority, Path string
	Fields                          []hpack.HeaderField
	Body                            []byte
}

// stream is an open or half-closed stream. Of a closed one, only an entry in Conn.closedStreams is kept.
type stream struct {
	id            uint32
	req           *Request
	contentLength int64 // value of the content-length field; -1: none
	bodyBytes     int64 // received bytes of the body, without those discarded
	creditedBytes int64 // of bodyBytes; client only: already counted as consumed
	recvWindow    int64 // flow-control window for received DATA
	sendWindow    int64 // the peer's window, for DATA to send; may be negative
	unsent        []byte
	openedAt      time.Duration
	respondedAt   time.Duration
	progressAt    time.Duration // when it was responded to or, later, when DATA was last sent
	peerEnded     bool          // the peer sent END_STREAM
	tooLarge      bool          // the request exceeds the limits: the rest of it is discarded
	responded     bool          // the response HEADERS were sent
	heldBytes     int           // server: memory of the request until it is delivered
	delivered     bool          // server: the request was returned as an event; client: an event is still owed
	status        int           // client only: status of the response, 0 before its HEADERS
}

// closedStream records how a closed stream ended.
type closedStream struct {
	id           uint32
	resetLocally bool // by an RST_STREAM from this end: frames of the peer may still be in flight
}

// Conn is the state of a connection. It is not safe for concurrent use.
type Conn struct {
	limits           Limits
	now              time.Duration
	source           source
	framer           *http2.Framer // writes
	reader           *http2.Framer
	frameHeader      *http2.FrameHeader // already read, payload still missing
	dataBytes        int                // length of the DATA frame that is being received
	dataStarted      bool               // a part of the frame's DATA was handled already
	partial          []byte             // received bytes of an incomplete frame
	partialSince     time.Duration      // when the first of them came
	output           bytes.Buffer
	events           []Event
	prefaceBytes     int  // received bytes of the client preface
	settingsReceived bool // the peer's first SETTINGS were received
	failed           bool

	decoder   *hpack.Decoder
	block     headerBlock
	encoder   *hpack.Encoder
	encodeBuf bytes.Buffer

	streams       map[uint32]*stream
	lastStream    uint32 // server: highest stream opened by the peer; client: last stream opened here
	closedStreams [closedStreamsKept]closedStream
	sendQueue     []uint32      // streams with unsent body bytes, the next one first
	unsentBytes   int           // of all streams
	heldBytes     int           // of the requests of all streams that are not delivered
	progressAt    time.Duration // when the peer last showed that it takes output

	recvWindow         int64 // the connection's window for received DATA
	windowCredit       int64 // consumed bytes to return to the peer by WINDOW_UPDATE
	sendWindow         int64 // the peer's window for the connection
	peerInitialWindow  int64 // the peer's SETTINGS_INITIAL_WINDOW_SIZE
	overheadTokens     float64
	windowUpdateCredit float64 // tokens for WINDOW_UPDATE alone: those returned while overheadTokens was full
	overheadRefilledAt time.Duration

	refuseAbove    uint32 // last stream named in the final GOAWAY: higher ones are ignored; 0: none was sent
	goAwayReceived bool

	isClient       bool
	peerMaxStreams uint32 // the peer's SETTINGS_MAX_CONCURRENT_STREAMS
}

// NewServer returns the server end of a new connection. TakeOutput returns its SETTINGS at once.
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
	c := &Conn{limits: limits, now: now, streams: map[uint32]*stream{}, recvWindow: initialWindow, sendWindow: initialWindow,
		peerInitialWindow: initialWindow, overheadTokens: limits.Overhead.Burst, overheadRefilledAt: now}
	c.framer = http2.NewFramer(&c.output, nil)
	c.renewReader()
	c.decoder = hpack.NewDecoder(hpackTableBytes, c.handleField)
	c.decoder.SetMaxStringLength(limits.MaxHeaderListBytes)
	c.encoder = hpack.NewEncoder(&c.encodeBuf)
	return c
}

// renewReader replaces the framer that reads, with the buffer for the payload that it keeps.
func (c *Conn) renewReader() {
	c.reader = http2.NewFramer(nil, &c.source)
	c.reader.SetReuseFrames()
	c.reader.SetMaxReadFrameSize(maxFrameBytes)
}

// growConnWindow raises the connection's receive window to Limits.ConnWindow.
func (c *Conn) growConnWindow() {
	if increment := int64(c.limits.ConnWindow) - c.recvWindow; increment > 0 {
		c.mustWrite(c.framer.WriteWindowUpdate(0, uint32(increment)))
		c.recvWindow += increment
	}
}

// streamWindow is a stream's initial receive window: at least one byte more than the largest allowed body, so that a
// longer body is detected and refused instead of stalling.
func (c *Conn) streamWindow() int64 { return max(initialWindow, int64(c.limits.MaxBodyBytes)+1) }

// mustWrite panics if the framer refused to write a frame. Writes to the buffer can't fail, so that is a bug here.
func (c *Conn) mustWrite(err error) {
	if err != nil {
		panic("http/2: " + err.Error())
	}
}

// source is the reader of the framer. It holds exactly the bytes of the frame header or payload to read.
type source struct{ b []byte }

func (s *source) Read(p []byte) (int, error) {
	n := copy(p, s.b)
	s.b = s.b[n:]
	return n, nil
}

// Advance sets the current time. Feed does the same.
func (c *Conn) Advance(now time.Duration) { c.now = max(c.now, now) }

// TakeOutput returns the bytes to write to the peer and empties the output buffer. The result is valid until the
// connection is used again. A server returns DATA piece by piece: the caller must call TakeOutput again once it has
// written the result, until there is no more.
func (c *Conn) TakeOutput() []byte {
	c.sendPending()
	b := c.output.Bytes()
	if c.output.Cap() > keptBufferBytes {
		c.output = bytes.Buffer{}
	} else {
		c.output.Reset()
	}
	return b
}

// OutputBytes returns the number of bytes that TakeOutput would return at least.
func (c *Conn) OutputBytes() int { return c.output.Len() }

// BufferedBytes returns the number of bytes that are to be sent: the output, and bodies that wait for the peer's windows or
// for the output to be taken.
func (c *Conn) BufferedBytes() int { return c.output.Len() + c.unsentBytes }

// OpenStreams returns how many streams are open or half closed.
func (c *Conn) OpenStreams() int { return len(c.streams) }

// Failed reports whether the connection has ended with an error.
func (c *Conn) Failed() bool { return c.failed }

// Feed processes received bytes and returns the resulting events, which are valid until the next call.
func (c *Conn) Feed(now time.Duration, p []byte) []Event {
	c.Advance(now)
	c.events = c.events[:0]
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
	received := len(p)
	for !c.failed {
		n := c.readNext(p)
		if n == 0 {
			break
		}
		p = p[n:]
	}
	if len(c.partial) == 0 || len(p) < received { // a frame was completed
		c.partialSince = c.now
	}
	switch {
	case c.failed:
		c.partial = nil
	case cap(c.partial) > keptBufferBytes && len(p) <= keptBufferBytes:
		c.partial = bytes.Clone(p)
	default:
		c.partial = append(c.partial[:0], p...)
	}
	if !c.failed {
		c.returnWindow()
	}
	return c.events
}

// readNext reads a frame's header or its payload and returns how many bytes that took. 0 means that more bytes are needed or
// that the connection has failed.
func (c *Conn) readNext(p []byte) int {
	if c.frameHeader == nil {
		if len(p) < frameHeaderBytes {
			return 0
		}
		c.source.b = p[:frameHeaderBytes]
		h, err := c.reader.ReadFrameHeader()
		if err != nil {
			c.handleFramerError(err)
			return 0
		}
		c.frameHeader = &h
		return frameHeaderBytes
	}
	if c.isPlainData(c.frameHeader) {
		return c.readData(p)
	}
	n := int(c.frameHeader.Length)
	if len(p) < n {
		return 0
	}
	c.source.b = p[:n]
	h := *c.frameHeader
	c.frameHeader = nil
	f, err := c.reader.ReadFrameForHeader(h)
	switch {
	case err != nil && (h.Type == http2.FrameHeaders || h.Type == http2.FrameContinuation): // the HPACK state is lost with the block
		c.fail(http2.ErrCodeProtocol, "the frame can't be taken: "+err.Error())
	case err != nil && h.Type == http2.FramePriority && h.StreamID != 0: // the framer is stricter than RFC 9113, 6.3
		c.resetForError(h.StreamID, http2.ErrCodeFrameSize)
	case err != nil:
		c.handleFramerError(err)
	default:
		c.handleFrame(f)
	}
	if n > keptBufferBytes && c.block.stream == 0 { // the framer has no state between header blocks
		c.renewReader()
	}
	if n == 0 && !c.failed {
		return c.readNext(p) // a frame without payload: continue with the next one, as 0 would mean that bytes are missing
	}
	return n
}

// handleFramerError handles an error returned by the framer.
func (c *Conn) handleFramerError(err error) {
	switch e := err.(type) {
	case http2.StreamError:
		c.resetForError(e.StreamID, e.Code)
	case http2.ConnectionError:
		c.fail(http2.ErrCode(e), "the frame can't be taken: "+err.Error())
	default: // frame too large: the framer has read only the header
		c.fail(http2.ErrCodeFrameSize, "the frame can't be taken: "+err.Error())
	}
}

// handleFrame processes a complete frame.
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
		c.handleData(dataPart{stream: f.StreamID, windowBytes: int64(f.Length), body: f.Data(), first: true, frameBytes: len(f.Data()), lastFrame: f.StreamEnded(), endStream: f.StreamEnded()})
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
	case *http2.PriorityFrame: // deprecated (RFC 9113, 5.3.2) and ignored, except for the self-dependency error
		if c.chargeOverhead(1) && f.StreamDep == f.StreamID {
			c.fail(http2.ErrCodeProtocol, "a stream depends on itself")
		}
	case *http2.PushPromiseFrame:
		c.fail(http2.ErrCodeProtocol, "PUSH_PROMISE, which was not allowed")
	default:
		c.chargeOverhead(1) // unknown frame types are ignored (RFC 9113, 5.5)
	}
}

// chargeOverhead takes n tokens from the overhead budget. If there are too few, it ends the connection and returns false.
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

// creditDataFrame returns the tokens for the WINDOW_UPDATEs that the peer may send for a DATA frame.
func (c *Conn) creditDataFrame() {
	returned := min(overheadCreditPerData, max(0, c.limits.Overhead.Burst-c.overheadTokens))
	c.overheadTokens += returned
	c.windowUpdateCredit = min(maxWindowUpdateCredit, c.windowUpdateCredit+overheadCreditPerData-returned)
}

// chargeWindowUpdate takes a token for a WINDOW_UPDATE, as chargeOverhead does.
func (c *Conn) chargeWindowUpdate() bool {
	if c.windowUpdateCredit >= 1 {
		c.windowUpdateCredit--
		return true
	}
	return c.chargeOverhead(1)
}

// fail ends the connection with a GOAWAY as its last frame, whose debug data is reason. Streams with a delivered request
// are aborted, in the order of their ids.
func (c *Conn) fail(code http2.ErrCode, reason string) {
	if c.failed {
		return
	}
	c.failed = true
	lastStream := c.lastStream
	if c.isClient { // GOAWAY names the peer's last stream, and the server opens none
		lastStream = 0
	}
	c.mustWrite(c.framer.WriteGoAway(lastStream, code, []byte(reason)))
	for _, id := range c.sortedStreamIDs() {
		if c.streams[id].delivered {
			c.events = append(c.events, Event{Kind: StreamAborted, Stream: id, Code: code, Local: true})
		}
	}
	clear(c.streams)
	c.sendQueue, c.unsentBytes, c.heldBytes = nil, 0, 0
	c.block = headerBlock{}
	c.events = append(c.events, Event{Kind: ConnFailed, Code: code, Reason: reason})
}
