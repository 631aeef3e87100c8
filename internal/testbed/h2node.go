package testbed

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// H2Stream is a complete HTTP/2 request that a node received.
type H2Stream struct {
	ID        uint32
	Arrival   Arrival
	Body      []byte
	Conn      *H2NodeConn
	Cancelled <-chan struct{} // closed when the client cancels the stream or the connection ends
}

// H2NodeConn is the node's side of an HTTP/2 connection, made of raw frames. Its methods are safe for concurrent
// use.
type H2NodeConn struct {
	Conn    net.Conn
	node    *Node
	mu      sync.Mutex
	framer  *http2.Framer
	encoded bytes.Buffer
	encoder *hpack.Encoder
	open    map[uint32]chan struct{} // closed when the client cancels the stream or the connection ends
}

// InterceptStreams makes the node call a function with each complete request first. If that returns true, the node
// neither records nor answers the request, so that a test can misbehave in its place. HTTP/2 only.
func (n *Node) InterceptStreams(intercept func(*H2Stream) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.intercept = intercept
}

// RecordExecuted records an intercepted request as arrived and as having taken effect.
func (s *H2Stream) RecordExecuted() {
	s.Conn.node.cfg.Recorder.recordArrival(s.Arrival)
	s.Conn.node.cfg.Recorder.recordEffect(s.Arrival.ID)
}

// WriteFrames lets the function write raw frames.
func (c *H2NodeConn) WriteFrames(write func(*http2.Framer)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	write(c.framer)
}

// Respond writes the HEADERS of a response, and its body as DATA.
func (c *H2NodeConn) Respond(stream uint32, status int, body string, fields ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.encoded.Reset()
	all := append([]string{":status", strconv.Itoa(status)}, fields...)
	for i := 0; i+1 < len(all); i += 2 {
		c.encoder.WriteField(hpack.HeaderField{Name: all[i], Value: all[i+1]}) // into memory: it cannot fail
	}
	c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, EndHeaders: true, EndStream: body == "", BlockFragment: c.encoded.Bytes()})
	for b := []byte(body); len(b) > 0; {
		n := min(len(b), h2MaxFrameSize)
		c.framer.WriteData(stream, n == len(b), b[:n])
		b = b[n:]
	}
}

const h2DefaultMaxStreams = 100 // concurrent streams if the node's configuration sets no limit

// serveH2 serves a connection until it ends, and cancels the streams that are open then.
func (n *Node) serveH2(conn net.Conn) {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(conn, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	timed := newTimedConn(conn)
	c := &H2NodeConn{Conn: conn, node: n, framer: http2.NewFramer(conn, timed), open: map[uint32]chan struct{}{}}
	c.framer.AllowIllegalWrites = true
	c.encoder = hpack.NewEncoder(&c.encoded)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	streams := n.cfg.MaxStreams
	if streams == 0 {
		streams = h2DefaultMaxStreams
	}
	c.WriteFrames(func(f *http2.Framer) {
		f.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(streams)})
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer c.cancelAllStreams()
	partial := map[uint32]*H2Stream{}
	for {
		f, err := c.framer.ReadFrame()
		if err != nil {
			return
		}
		if s := c.handleFrame(f, partial); s != nil {
			s.Arrival.At = timed.ReceivedAt()
			s.Cancelled = c.addStream(s.ID)
			wg.Go(func() { c.serve(s) })
		}
	}
}

// handleFrame handles a frame and returns the request that it completes, if any.
func (c *H2NodeConn) handleFrame(f http2.Frame, partial map[uint32]*H2Stream) *H2Stream {
	id := f.Header().StreamID
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if !f.IsAck() {
			c.WriteFrames(func(w *http2.Framer) { w.WriteSettingsAck() })
		}
	case *http2.PingFrame:
		data := f.Data
		if !f.IsAck() {
			c.WriteFrames(func(w *http2.Framer) { w.WritePing(true, data) })
		}
	case *http2.RSTStreamFrame:
		delete(partial, id)
		c.cancelStream(id)
	case *http2.MetaHeadersFrame:
		s := &H2Stream{ID: id, Conn: c, Arrival: c.node.parseHeaders(f)}
		if f.StreamEnded() {
			return s
		}
		partial[id] = s
	case *http2.DataFrame:
		s := partial[id]
		if s == nil {
			return nil
		}
		s.Body = append(s.Body, f.Data()...)
		if n := f.Length; n > 0 {
			c.WriteFrames(func(w *http2.Framer) { w.WriteWindowUpdate(0, n) })
		}
		if f.StreamEnded() {
			delete(partial, id)
			return s
		}
	}
	return nil
}

// parseHeaders reads a request in the terms of the HTTP mapping, without its time.
func (n *Node) parseHeaders(f *http2.MetaHeadersFrame) Arrival {
	a := Arrival{Node: n.ID(), Units: 1}
	for _, h := range f.Fields {
		switch h.Name {
		case ":path":
			a.Class = h.Value[strings.LastIndexByte(h.Value, '/')+1:]
		case "sloepick-customer":
			a.Customer = h.Value
		case "sloepick-id":
			a.ID = h.Value
		case "idempotency-key":
			a.Key = strings.Trim(h.Value, `"`)
		case "sloepick-units":
			a.Units, _ = strconv.ParseFloat(h.Value, 64) // an invalid value is recorded as 0, which tests notice
		}
	}
	a.Work = n.cfg.WorkByClass[a.Class]
	return a
}

func (c *H2NodeConn) serve(s *H2Stream) {
	c.node.mu.Lock()
	intercept := c.node.intercept
	c.node.mu.Unlock()
	if intercept != nil && intercept(s) {
		return
	}
	result := abandoned
	if s.Arrival.Work > 0 {
		result = c.node.execute(s.Arrival, s.Cancelled)
	}
	if !c.removeStream(s.ID) {
		return
	}
	switch result {
	case rejected:
		c.Respond(s.ID, 503, "", "sloepick-ran", "never")
	case completed:
		if use := c.node.reportUse(s.Arrival); use != "" {
			c.Respond(s.ID, 200, ReplyValue(s.Arrival.ID), "sloepick-use", use)
			return
		}
		c.Respond(s.ID, 200, ReplyValue(s.Arrival.ID))
	default:
		c.Respond(s.ID, 400, "")
	}
}

func (c *H2NodeConn) addStream(id uint32) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	cancelled := make(chan struct{})
	c.open[id] = cancelled
	return cancelled
}

// removeStream removes a stream and reports whether it was still open.
func (c *H2NodeConn) removeStream(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.open[id]
	delete(c.open, id)
	return ok
}

func (c *H2NodeConn) cancelStream(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancelled, ok := c.open[id]; ok {
		close(cancelled)
		delete(c.open, id)
	}
}

func (c *H2NodeConn) cancelAllStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, cancelled := range c.open {
		close(cancelled)
		delete(c.open, id)
	}
}
