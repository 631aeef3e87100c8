package wire

import (
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// headerBlock is a header block being received, in one or more frames. It is decoded fragment by fragment, even if its
// stream is refused, as the HPACK state is shared by the whole connection (RFC 9113, 4.3).
type headerBlock struct {
	stream        uint32
	endStream     bool // it ends the stream
	bytes         int
	frames        int
	fields        int
	heldBytes     int  // memory of the fields
	listSize      int  // decoded size of the field list, counted as in RFC 9113, 6.5.2
	regularSeen   bool // a field other than a pseudo-header field was decoded
	malformed     bool // RFC 9113, 8.1.1
	selfDependent bool // its priority makes the stream depend on itself
	req           *Request
	pseudoSeen    [pseudoFieldCount]bool
	contentLength int64
	trailer       bool
	response      bool // it is a response and has a status
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
	fieldOverhead          = 32 // bytes added per field to the size of a field list (RFC 9113, 6.5.2)
	maxContentLengthDigits = 18 // keeps content-length within an int64
)

// handleHeaders processes the first frame of a header block.
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

// decodeFragment decodes a fragment of a header block. If the block has too many frames or bytes, the connection ends before
// the fragment is decoded (CVE-2024-27316).
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

// handleField processes a decoded field.
func (c *Conn) handleField(f hpack.HeaderField) {
	b := &c.block
	b.fields++
	if b.listSize += len(f.Name) + len(f.Value) + fieldOverhead; b.listSize > c.limits.MaxHeaderListBytes {
		c.decoder.SetEmitEnabled(false) // the rest is only decoded to keep the dynamic table in step
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
		b.holdField(f)
	}
}

// setPseudo stores a pseudo-header field. Each may occur once, before all regular fields, only in the direction that it is
// defined for, and not in trailers (RFC 9113, 8.3).
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

// connectionSpecific reports whether a field is connection-specific and so forbidden in HTTP/2 (RFC 9113, 8.2.2).
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

// hasRequiredPseudo reports whether a request's mandatory pseudo-header fields are there. CONNECT has only :method and
// :authority (RFC 9113, 8.5).
func (b *headerBlock) hasRequiredPseudo() bool {
	if b.req.Method == "CONNECT" {
		return b.pseudoSeen[pseudoAuthority] && !b.pseudoSeen[pseudoScheme] && !b.pseudoSeen[pseudoPath]
	}
	return b.req.Method != "" && b.req.Scheme != "" && b.req.Path != ""
}

// finishBlock processes a completely decoded header block.
func (c *Conn) finishBlock() {
	b := &c.block
	s := c.streams[b.stream]
	switch {
	case !c.chargeFields():
	case c.isClient && !b.trailer:
		c.handleResponseHeaders(s)
	case b.trailer:
		c.handleTrailers(s)
	case c.refuseAbove > 0 && b.stream > c.refuseAbove: // sent after our GOAWAY, which tells the client that it was not processed
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

// openStream opens a stream for the request in the current header block.
func (c *Conn) openStream() {
	b := &c.block
	s := &stream{id: b.stream, req: b.req, contentLength: b.contentLength, recvWindow: c.streamWindow(), sendWindow: c.peerInitialWindow, openedAt: c.now}
	c.streams[s.id] = s
	c.holdRequest(s, b.heldBytes)
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

// handleTrailers processes the header block after a body. It must end the stream (RFC 9113, 8.1); its fields are ignored.
func (c *Conn) handleTrailers(s *stream) {
	b := &c.block
	switch {
	case s == nil:
		c.chargeOverhead(1) // in flight when this end sent RST_STREAM
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
