package wire

import (
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// headerBlock is a header headerBlock as it comes in, of one or more frames. It is decoded piece by piece, also where its stream is
// refused: the compression's state is the whole connection's (RFC 9113, 4.3).
type headerBlock struct {
	stream        uint32
	endStream     bool // the stream ends with it
	bytes         int
	frames        int
	listSize      int  // of the list, as RFC 9113, 6.5.2 counts
	regularSeen   bool // a field that is no pseudo-header field has come
	malformed     bool // malformed (RFC 9113, 8.1.1)
	selfDependent bool // its stream depends on itself
	req           *Request
	pseudoSeen    [pseudoFieldCount]bool
	contentLength int64
	trailer       bool
	response      bool // of an answer, whose status it tells
	status        string
}

const (
	pseudoMethod = iota
	pseudoScheme
	pseudoAuthority
	pseudoPath
	pseudoFieldCount
)

const (
	fieldOverhead          = 32 // of a field in a list's size (RFC 9113, 6.5.2)
	maxContentLengthDigits = 18 // of content-length
)

// handleHeaders takes the first frame of a header block.
func (c *Conn) handleHeaders(f *http2.HeadersFrame) {
	id := f.StreamID
	if id%2 == 0 {
		c.fail(http2.ErrCodeProtocol, "HEADERS on a stream that is not a client's to begin")
		return
	}
	s := c.streams[id]
	if c.isClient && id > c.lastStream {
		c.fail(http2.ErrCodeProtocol, "HEADERS on a stream that was never begun")
		return
	}
	if s == nil && id <= c.lastStream {
		known, resetLocally := c.recentlyClosed(id)
		if !known {
			c.fail(http2.ErrCodeProtocol, "HEADERS on a stream lower than one that was begun")
			return
		}
		if !resetLocally {
			c.fail(http2.ErrCodeStreamClosed, "HEADERS on a stream that was closed")
			return
		}
	}
	c.block = headerBlock{stream: id, endStream: f.StreamEnded(), req: &Request{}, contentLength: -1, trailer: id <= c.lastStream,
		selfDependent: f.HasPriority() && f.Priority.StreamDep == id, response: c.isClient}
	if c.isClient {
		c.block.trailer = s != nil && s.status != 0
	}
	c.lastStream = max(c.lastStream, id)
	c.decoder.SetEmitEnabled(true)
	c.decodeFragment(f.HeaderBlockFragment(), f.HeadersEnded())
}

func (c *Conn) handleContinuation(f *http2.ContinuationFrame) {
	c.decodeFragment(f.HeaderBlockFragment(), f.HeadersEnded())
}

// decodeFragment decodes a decodeFragment of a block. A block of many or large pieces ends the connection before it is decoded
// (CVE-2024-27316).
func (c *Conn) decodeFragment(p []byte, last bool) {
	b := &c.block
	b.bytes += len(p)
	if b.frames++; b.bytes > c.limits.MaxHeaderBlockBytes || b.frames > maxBlockFrames {
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
		c.finishBlock()
	}
}

// handleField takes a decoded handleField.
func (c *Conn) handleField(f hpack.HeaderField) {
	b := &c.block
	if b.listSize += len(f.Name) + len(f.Value) + fieldOverhead; b.listSize > c.limits.MaxHeaderListBytes {
		c.decoder.SetEmitEnabled(false) // what follows is decoded for the table's sake and not kept
		return
	}
	switch {
	case !httpguts.ValidHeaderFieldValue(f.Value), strings.Trim(f.Value, " \t") != f.Value:
		b.malformed = true
	case strings.HasPrefix(f.Name, ":"):
		b.setPseudo(f)
	case !httpguts.ValidHeaderFieldName(f.Name), strings.ToLower(f.Name) != f.Name, connectionSpecific(f):
		b.malformed = true
	default:
		b.regularSeen = true
		if f.Name == "content-length" {
			b.parseContentLength(f.Value)
		}
		b.req.Fields = append(b.req.Fields, f)
	}
}

// setPseudo takes a setPseudo-header field: each once, before all others, in requests only (RFC 9113, 8.3).
func (b *headerBlock) setPseudo(f hpack.HeaderField) {
	index, target := 0, (*string)(nil)
	switch f.Name {
	case ":method":
		index, target = pseudoMethod, &b.req.Method
	case ":scheme":
		index, target = pseudoScheme, &b.req.Scheme
	case ":authority":
		index, target = pseudoAuthority, &b.req.Authority
	case ":path":
		index, target = pseudoPath, &b.req.Path
	}
	if b.response {
		if index, target = 0, nil; f.Name == ":status" {
			target = &b.status
		}
	}
	if target == nil || b.regularSeen || b.trailer || b.pseudoSeen[index] {
		b.malformed = true
		return
	}
	b.pseudoSeen[index], *target = true, f.Value
}

// connectionSpecific reports fields that HTTP/2 has no place for (RFC 9113, 8.2.2).
func connectionSpecific(f hpack.HeaderField) bool {
	switch f.Name {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
		return true
	case "te":
		return f.Value != "trailers"
	}
	return false
}

func (b *headerBlock) parseContentLength(v string) {
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil || len(v) > maxContentLengthDigits || b.contentLength >= 0 && b.contentLength != int64(n) {
		b.malformed = true
		return
	}
	b.contentLength = int64(n)
}

// hasRequiredPseudo reports whether the pseudo-header fields are those of a request. CONNECT has two of them (RFC 9113, 8.5).
func (b *headerBlock) hasRequiredPseudo() bool {
	if b.req.Method == "CONNECT" {
		return b.pseudoSeen[pseudoAuthority] && !b.pseudoSeen[pseudoScheme] && !b.pseudoSeen[pseudoPath]
	}
	return b.req.Method != "" && b.req.Scheme != "" && b.req.Path != ""
}

// finishBlock takes a block that was decoded to its end.
func (c *Conn) finishBlock() {
	b := &c.block
	s := c.streams[b.stream]
	switch {
	case c.isClient && !b.trailer:
		c.handleResponseHeaders(s)
	case b.trailer:
		c.handleTrailers(s)
	case c.refuseAbove > 0 && b.stream > c.refuseAbove: // after GOAWAY: its client knows that it was not taken
		c.closedStreams[b.stream/2%closedStreamsKept] = closedStream{b.stream, true}
		c.chargeOverhead(1)
	case b.selfDependent:
		c.resetForError(b.stream, http2.ErrCodeProtocol)
	case len(c.streams) >= c.limits.MaxStreams:
		c.resetForError(b.stream, http2.ErrCodeRefusedStream)
	case b.malformed || b.listSize <= c.limits.MaxHeaderListBytes && !b.hasRequiredPseudo():
		c.resetForError(b.stream, http2.ErrCodeProtocol)
	default:
		c.openStream()
	}
	c.block = headerBlock{}
}

// openStream opens a stream.
func (c *Conn) openStream() {
	b := &c.block
	s := &stream{id: b.stream, req: b.req, contentLength: b.contentLength, recvWindow: c.streamWindow(), sendWindow: c.peerInitialWindow, waitingSince: c.now}
	c.streams[s.id] = s
	switch {
	case b.listSize > c.limits.MaxHeaderListBytes:
		s.peerEnded, s.tooLarge = b.endStream, true
		c.rejectTooLarge(s, 431)
	case b.endStream && b.contentLength > 0:
		c.resetForError(s.id, http2.ErrCodeProtocol)
	case b.endStream:
		c.deliver(s)
	}
}

// handleTrailers takes the block behind a body: it must end the stream, and says nothing here (RFC 9113, 8.1).
func (c *Conn) handleTrailers(s *stream) {
	b := &c.block
	switch {
	case s == nil:
		c.chargeOverhead(1) // it crossed the RST_STREAM
	case s.peerEnded:
		c.resetForError(s.id, http2.ErrCodeStreamClosed)
	case !b.endStream || b.malformed || s.contentLength >= 0 && s.bodyBytes != s.contentLength:
		c.resetForError(s.id, http2.ErrCodeProtocol)
	case s.tooLarge:
		s.peerEnded = true
	default:
		c.deliver(s)
	}
}
