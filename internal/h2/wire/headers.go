package wire

import (
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// block is a header block as it comes in, of one or more frames. It is decoded piece by piece, also where its stream is
// refused: the compression's state is the whole connection's (RFC 9113, 4.3).
type block struct {
	stream  uint32
	ends    bool // the stream ends with it
	bytes   int
	pieces  int
	size    int  // of the list, as RFC 9113, 6.5.2 counts
	plain   bool // a field that is no pseudo-header field has come
	bad     bool // malformed (RFC 9113, 8.1.1)
	self    bool // its stream depends on itself
	req     *Request
	seen    [pseudoFields]bool
	length  int64
	trailer bool
	answer  bool // of an answer, whose status it tells
	status  string
}

const (
	pseudoMethod = iota
	pseudoScheme
	pseudoAuthority
	pseudoPath
	pseudoFields
)

const (
	fieldOverhead = 32 // of a field in a list's size (RFC 9113, 6.5.2)
	lengthDigits  = 18 // of content-length
)

// headers takes the first frame of a header block.
func (c *Conn) headers(f *http2.HeadersFrame) {
	id := f.StreamID
	if id%2 == 0 {
		c.fail(http2.ErrCodeProtocol, "HEADERS on a stream that is not a client's to begin")
		return
	}
	s := c.streams[id]
	if c.client && id > c.last {
		c.fail(http2.ErrCodeProtocol, "HEADERS on a stream that was never begun")
		return
	}
	if s == nil && id <= c.last {
		known, mine := c.gone(id)
		if !known {
			c.fail(http2.ErrCodeProtocol, "HEADERS on a stream lower than one that was begun")
			return
		}
		if !mine {
			c.fail(http2.ErrCodeStreamClosed, "HEADERS on a stream that was closed")
			return
		}
	}
	c.block = block{stream: id, ends: f.StreamEnded(), req: &Request{}, length: -1, trailer: id <= c.last,
		self: f.HasPriority() && f.Priority.StreamDep == id, answer: c.client}
	if c.client {
		c.block.trailer = s != nil && s.status != 0
	}
	c.last = max(c.last, id)
	c.decoder.SetEmitEnabled(true)
	c.piece(f.HeaderBlockFragment(), f.HeadersEnded())
}

func (c *Conn) continued(f *http2.ContinuationFrame) {
	c.piece(f.HeaderBlockFragment(), f.HeadersEnded())
}

// piece decodes a piece of a block. A block of many or large pieces ends the connection before it is decoded
// (CVE-2024-27316).
func (c *Conn) piece(p []byte, last bool) {
	b := &c.block
	b.bytes += len(p)
	if b.pieces++; b.bytes > c.limits.MaxHeaderBlockBytes || b.pieces > piecesMost {
		c.fail(http2.ErrCodeEnhanceYourCalm, "a header block that is too long")
		return
	}
	_, err := c.decoder.Write(p)
	if err == nil && last {
		err = c.decoder.Close()
	}
	switch {
	case err == hpack.ErrStringLength:
		c.fail(http2.ErrCodeEnhanceYourCalm, "a header field that is too long")
	case err != nil:
		c.fail(http2.ErrCodeCompression, "the header block can't be decoded: "+err.Error())
	case last:
		c.blockEnded()
	}
}

// field takes a decoded field.
func (c *Conn) field(f hpack.HeaderField) {
	b := &c.block
	if b.size += len(f.Name) + len(f.Value) + fieldOverhead; b.size > c.limits.MaxHeaderListBytes {
		c.decoder.SetEmitEnabled(false) // what follows is decoded for the table's sake and not kept
		return
	}
	switch {
	case !httpguts.ValidHeaderFieldValue(f.Value), strings.Trim(f.Value, " \t") != f.Value:
		b.bad = true
	case strings.HasPrefix(f.Name, ":"):
		b.pseudo(f)
	case !httpguts.ValidHeaderFieldName(f.Name), strings.ToLower(f.Name) != f.Name, connectionField(f):
		b.bad = true
	default:
		b.plain = true
		if f.Name == "content-length" {
			b.contentLength(f.Value)
		}
		b.req.Fields = append(b.req.Fields, f)
	}
}

// pseudo takes a pseudo-header field: each once, before all others, in requests only (RFC 9113, 8.3).
func (b *block) pseudo(f hpack.HeaderField) {
	at, to := 0, (*string)(nil)
	switch f.Name {
	case ":method":
		at, to = pseudoMethod, &b.req.Method
	case ":scheme":
		at, to = pseudoScheme, &b.req.Scheme
	case ":authority":
		at, to = pseudoAuthority, &b.req.Authority
	case ":path":
		at, to = pseudoPath, &b.req.Path
	}
	if b.answer {
		if at, to = 0, nil; f.Name == ":status" {
			to = &b.status
		}
	}
	if to == nil || b.plain || b.trailer || b.seen[at] {
		b.bad = true
		return
	}
	b.seen[at], *to = true, f.Value
}

// connectionField reports fields that HTTP/2 has no place for (RFC 9113, 8.2.2).
func connectionField(f hpack.HeaderField) bool {
	switch f.Name {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
		return true
	case "te":
		return f.Value != "trailers"
	}
	return false
}

func (b *block) contentLength(v string) {
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil || len(v) > lengthDigits || b.length >= 0 && b.length != int64(n) {
		b.bad = true
		return
	}
	b.length = int64(n)
}

// whole reports whether the pseudo-header fields are those of a request. CONNECT has two of them (RFC 9113, 8.5).
func (b *block) whole() bool {
	if b.req.Method == "CONNECT" {
		return b.seen[pseudoAuthority] && !b.seen[pseudoScheme] && !b.seen[pseudoPath]
	}
	return b.req.Method != "" && b.req.Scheme != "" && b.req.Path != ""
}

// blockEnded takes a block that was decoded to its end.
func (c *Conn) blockEnded() {
	b := &c.block
	s := c.streams[b.stream]
	switch {
	case c.client && !b.trailer:
		c.answerBegun(s)
	case b.trailer:
		c.trailers(s)
	case c.refuseFrom > 0 && b.stream > c.refuseFrom: // after GOAWAY: its client knows that it was not taken
		c.past[b.stream/2%pastKept] = closed{b.stream, true}
		c.charge(1)
	case b.self:
		c.reset(b.stream, http2.ErrCodeProtocol)
	case len(c.streams) >= c.limits.MaxStreams:
		c.reset(b.stream, http2.ErrCodeRefusedStream)
	case b.bad || b.size <= c.limits.MaxHeaderListBytes && !b.whole():
		c.reset(b.stream, http2.ErrCodeProtocol)
	default:
		c.begin()
	}
	c.block = block{}
}

// begin opens a stream.
func (c *Conn) begin() {
	b := &c.block
	s := &stream{id: b.stream, req: b.req, length: b.length, room: c.streamRoom(), window: c.firstOut, since: c.now}
	c.streams[s.id] = s
	switch {
	case b.size > c.limits.MaxHeaderListBytes:
		s.whole, s.refused = b.ends, true
		c.tooBig(s, 431)
	case b.ends && b.length > 0:
		c.reset(s.id, http2.ErrCodeProtocol)
	case b.ends:
		c.whole(s)
	}
}

// trailers takes the block behind a body: it must end the stream, and says nothing here (RFC 9113, 8.1).
func (c *Conn) trailers(s *stream) {
	b := &c.block
	switch {
	case s == nil:
		c.charge(1) // it crossed the RST_STREAM
	case s.whole:
		c.reset(s.id, http2.ErrCodeStreamClosed)
	case !b.ends || b.bad || s.length >= 0 && s.got != s.length:
		c.reset(s.id, http2.ErrCodeProtocol)
	case s.refused:
		s.whole = true
	default:
		c.whole(s)
	}
}
