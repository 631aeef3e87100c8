package testbed

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// H2Client is a client's HTTP/2 connection made of raw frames, so that tests can violate the protocol. It writes
// what it is given and acknowledges by itself only SETTINGS and PING, and DATA if AutoWindowUpdate is set. It is
// not safe for concurrent use.
type H2Client struct {
	Conn             net.Conn
	Framer           *http2.Framer
	AutoWindowUpdate bool // send WINDOW_UPDATE on the connection for received DATA
	nextStream       uint32
	encoded          bytes.Buffer
	encoder          *hpack.Encoder
	decoder          *hpack.Decoder
	partial          map[uint32]*H2Response
}

const h2MaxFrameSize = 16384 // bytes; the frame size that every peer accepts (RFC 9113, section 4.2)

// H2Response is a response on a stream, or GOAWAY, where Stream is 0.
type H2Response struct {
	Stream     uint32
	Status     int
	Fields     map[string]string
	Body       []byte
	Reset      bool // RST_STREAM, with Code
	GoAway     bool // GOAWAY, with Code and LastStream
	Code       http2.ErrCode
	LastStream uint32
}

// DialH2 connects to a gateway, by TLS if a configuration is given, and sends the client preface and SETTINGS.
func DialH2(addr string, tlsConfig *tls.Config, settings ...http2.Setting) (*H2Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dialing a gateway: %w", err)
	}
	if tlsConfig != nil {
		tlsConfig = tlsConfig.Clone()
		tlsConfig.NextProtos = []string{http2.NextProtoTLS}
		conn = tls.Client(conn, tlsConfig)
	}
	c := &H2Client{Conn: conn, AutoWindowUpdate: true, nextStream: 1, partial: map[uint32]*H2Response{}}
	c.Framer = http2.NewFramer(conn, conn)
	c.Framer.AllowIllegalWrites = true
	c.encoder, c.decoder = hpack.NewEncoder(&c.encoded), hpack.NewDecoder(4096, nil)
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		conn.Close()
		return nil, fmt.Errorf("writing the preface: %w", err)
	}
	if err := c.Framer.WriteSettings(settings...); err != nil {
		conn.Close()
		return nil, fmt.Errorf("writing SETTINGS: %w", err)
	}
	return c, nil
}

// NewH2Encoder returns a client without a connection, which can only encode header blocks.
func NewH2Encoder() *H2Client {
	c := &H2Client{}
	c.encoder = hpack.NewEncoder(&c.encoded)
	return c
}

// H2Request is a request in the terms of the HTTP mapping. Empty fields are omitted.
type H2Request struct {
	Path, Customer, Plan, ID, Key, Units, Set string
	Patience                                  time.Duration
	Body                                      []byte
	ExtraFields                               []string // names and values in turn
}

// HeaderBlock encodes the request's header block.
func (c *H2Client) HeaderBlock(q H2Request) []byte {
	c.encoded.Reset()
	fields := []string{":method", "POST", ":scheme", "http", ":authority", "gateway", ":path", q.Path, "sloepick-customer", q.Customer,
		"sloepick-plan", q.Plan, "sloepick-id", q.ID, "idempotency-key", q.Key, "sloepick-units", q.Units, "sloepick-set", q.Set}
	if q.Patience > 0 {
		fields = append(fields, "sloepick-patience", strconv.FormatInt(q.Patience.Milliseconds(), 10))
	}
	for i, all := 0, append(fields, q.ExtraFields...); i+1 < len(all); i += 2 {
		if all[i+1] != "" {
			c.encoder.WriteField(hpack.HeaderField{Name: all[i], Value: all[i+1]}) // into memory: it cannot fail
		}
	}
	return bytes.Clone(c.encoded.Bytes())
}

// Send sends a complete request on a new stream and returns the stream id.
func (c *H2Client) Send(q H2Request) (uint32, error) {
	id := c.nextStream
	c.nextStream += 2
	err := c.Framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, EndHeaders: true, EndStream: len(q.Body) == 0, BlockFragment: c.HeaderBlock(q)})
	for b := q.Body; err == nil && len(b) > 0; {
		n := min(len(b), h2MaxFrameSize)
		err = c.Framer.WriteData(id, n == len(b), b[:n])
		b = b[n:]
	}
	if err != nil {
		return id, fmt.Errorf("writing a request: %w", err)
	}
	return id, nil
}

// Read returns the next complete response, reset or GOAWAY.
func (c *H2Client) Read() (*H2Response, error) {
	for {
		f, err := c.Framer.ReadFrame()
		if err != nil {
			return nil, err
		}
		a, err := c.handleFrame(f)
		if a != nil || err != nil {
			return a, err
		}
	}
}

func (c *H2Client) handleFrame(f http2.Frame) (*H2Response, error) {
	id := f.Header().StreamID
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if !f.IsAck() {
			return nil, c.Framer.WriteSettingsAck()
		}
	case *http2.PingFrame:
		if !f.IsAck() {
			return nil, c.Framer.WritePing(true, f.Data)
		}
	case *http2.GoAwayFrame:
		return &H2Response{GoAway: true, Code: f.ErrCode, LastStream: f.LastStreamID}, nil
	case *http2.RSTStreamFrame:
		delete(c.partial, id)
		return &H2Response{Stream: id, Reset: true, Code: f.ErrCode}, nil
	case *http2.HeadersFrame:
		fields, err := c.decoder.DecodeFull(f.HeaderBlockFragment())
		if err != nil {
			return nil, fmt.Errorf("decoding a response: %w", err)
		}
		a := &H2Response{Stream: id, Fields: map[string]string{}}
		for _, h := range fields {
			a.Fields[h.Name] = h.Value
		}
		a.Status, err = strconv.Atoi(a.Fields[":status"])
		if f.StreamEnded() || err != nil {
			return a, err
		}
		c.partial[id] = a
	case *http2.DataFrame:
		return c.handleData(f)
	}
	return nil, nil
}

var errDataWithoutHeaders = errors.New("DATA on a stream without HEADERS")

func (c *H2Client) handleData(f *http2.DataFrame) (*H2Response, error) {
	a := c.partial[f.StreamID]
	if a == nil {
		return nil, errDataWithoutHeaders
	}
	a.Body = append(a.Body, f.Data()...)
	if c.AutoWindowUpdate && f.Length > 0 {
		if err := c.Framer.WriteWindowUpdate(0, f.Length); err != nil {
			return nil, err
		}
	}
	if !f.StreamEnded() {
		return nil, nil
	}
	delete(c.partial, f.StreamID)
	return a, nil
}

// Close closes the connection.
func (c *H2Client) Close() { c.Conn.Close() }
