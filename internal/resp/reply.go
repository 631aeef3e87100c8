package resp

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"sloepick/internal/gateway"
)

const replyOverhead = 256 // bytes that a held reply costs beside its value

// pendingReply is the reply to one command. It keeps the command's position in the connection's reply order.
type pendingReply struct {
	client   *client
	handle   gateway.RequestHandle // the zero value if no request is open
	response gateway.Response
	reply    []byte // encoded reply to a command that the core does not handle; used instead of response if not nil
	ready    bool
	sent     bool // it was handed to the writer
	held     int  // bytes that count as held while it is ready and not sent
}

// Respond implements gateway.Responder. It stores the response and writes all replies that are now next in order.
func (p *pendingReply) Respond(r gateway.Response) {
	p.handle, p.response, p.ready = gateway.RequestHandle{}, r, true
	p.client.flush()
	p.client.hold(p)
}

// CheckClient implements gateway.Responder.
func (p *pendingReply) CheckClient() (connected bool) {
	c, now := p.client, p.client.core.Now()
	if c.writer.Disconnected(now) {
		c.Close()
		return false
	}
	return !c.readPause.HidesEnd(now, c.writer)
}

// size is the memory, in bytes, that the reply holds.
func (p *pendingReply) size() int { return len(p.reply) + len(p.response.Value) + replyOverhead }

// isLong reports whether the reply holds more memory than an error in its place would.
func (p *pendingReply) isLong() bool { return len(p.reply)+len(p.response.Value) > replyOverhead }

// discardValue replaces a long reply for which there is no memory by an error.
func (p *pendingReply) discardValue() {
	p.reply = nil
	p.response = gateway.UnsentLimitResponse()
}

func (p *pendingReply) appendTo(b []byte) []byte {
	if p.reply != nil {
		return append(b, p.reply...)
	}
	return appendResponse(b, &p.response)
}

// appendResponse appends a response in RESP2 encoding.
func appendResponse(b []byte, r *gateway.Response) []byte {
	switch r.Kind {
	case gateway.Served:
		return redcon.AppendBulk(b, r.Value)
	case gateway.Refused:
		b = append(b, "-BUSY"...)
		if r.RetryAfter > 0 {
			ms := (r.RetryAfter + time.Millisecond - 1) / time.Millisecond
			b = strconv.AppendInt(append(b, ' '), int64(ms), 10)
		}
		return append(b, "\r\n"...)
	}
	return redcon.AppendError(b, "ERR "+r.Reason)
}
