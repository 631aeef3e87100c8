// Package testbed provides what a gateway talks to: nodes that serve requests over RESP2 or HTTP/2, a discovery
// service, clients and a load generator, and an audit of what they observed. All servers listen on free loopback
// ports, implement the published protocols and depend on nothing inside the gateway. The package serves the
// project's tests and benchmarks and the command "sloectl demo".
package testbed

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// listener accepts connections on a loopback port and tracks them, so that Close can close them all.
type listener struct {
	ln     net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

func listen(serve func(net.Conn)) (*listener, error) { return listenAt("127.0.0.1:0", serve) }

func newListener(ln net.Listener, serve func(net.Conn)) *listener {
	l := &listener{ln: ln, conns: map[net.Conn]struct{}{}}
	l.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if l.track(conn) {
				l.wg.Go(func() {
					defer l.untrack(conn)
					serve(conn)
				})
			}
		}
	})
	return l
}

func (l *listener) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		conn.Close()
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *listener) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	conn.Close()
}

// Addr returns the listen address as host:port.
func (l *listener) Addr() string { return l.ln.Addr().String() }

// Close closes the listener and all its connections, and waits for their goroutines.
func (l *listener) Close() {
	l.ln.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// ScriptedNode is a node without behavior of its own: a callback receives each command with its connection.
type ScriptedNode struct{ *listener }

// NewScriptedNode starts a node. handle is called on the connection's own goroutine, in the order of its commands,
// and once with nil when the connection ends.
func NewScriptedNode(handle func(conn net.Conn, args []string)) (*ScriptedNode, error) {
	l, err := listen(func(conn net.Conn) {
		rd := redcon.NewReader(conn)
		for {
			cmd, err := rd.ReadCommand()
			if err != nil {
				handle(conn, nil)
				return
			}
			args := make([]string, len(cmd.Args))
			for i, a := range cmd.Args {
				args[i] = string(a)
			}
			handle(conn, args)
		}
	})
	if err != nil {
		return nil, err
	}
	return &ScriptedNode{l}, nil
}

// FormatReply encodes a node's reply to a request that it served, without use and load report.
func FormatReply(value string) string { return FormatReplyWithUse(value, "") }

// FormatReplyWithUse encodes such a reply with the given report of use; "" omits it.
func FormatReplyWithUse(value, use string) string {
	encoded := "$-1\r\n"
	if use != "" {
		encoded = fmt.Sprintf("$%d\r\n%s\r\n", len(use), use)
	}
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n%s$-1\r\n", len(value), value, encoded)
}

const maxQueries = 64 // queries that Discovery buffers for a reader

// ServerEntry is a server in the list of servers.
type ServerEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // up, draining or removed
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time; 0 if it started long ago
}

// ServerList is the list of servers as discovery encodes it.
type ServerList struct {
	Version uint64        `json:"version"`
	Full    bool          `json:"full"`
	Servers []ServerEntry `json:"servers"`
}

// Discovery serves a list of servers and long polls for its changes.
type Discovery struct {
	Queries chan string // the raw queries of requests; dropped when the buffer is full

	server  *httptest.Server
	mu      sync.Mutex
	version uint64
	body    []byte
	changed chan struct{}
	resumed chan struct{} // closed when a pause ends; nil: not paused
	closed  chan struct{} // ends pending long polls
	once    sync.Once
}

// NewDiscovery starts the service with a list, such as a ServerList, and its version.
func NewDiscovery(version uint64, list any) (*Discovery, error) {
	body, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encoding the list of servers: %w", err)
	}
	d := &Discovery{Queries: make(chan string, maxQueries), version: version, body: body, changed: make(chan struct{}), closed: make(chan struct{})}
	d.server = httptest.NewServer(d)
	return d, nil
}

// Addr returns the listen address.
func (d *Discovery) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(d.server.URL, "http://"))
}

// Close stops the service and ends pending long polls, including those that arrive meanwhile. It is idempotent.
func (d *Discovery) Close() {
	d.once.Do(func() {
		close(d.closed)
		d.server.CloseClientConnections()
		d.server.Close()
	})
}

// Set publishes a new list. Pending long polls for an older version return it.
func (d *Discovery) Set(version uint64, list any) error {
	body, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encoding the list of servers: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.body = version, body
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

// Pause makes the service hold all requests without an answer until resume is called.
func (d *Discovery) Pause() (resume func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	resumed := make(chan struct{})
	d.resumed = resumed
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.resumed == resumed {
			d.resumed = nil
		}
		close(resumed)
	}
}

// ServeHTTP answers at once or, for a long poll, when there is a newer version.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	select {
	case d.Queries <- req.URL.RawQuery:
	default:
	}
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseUint(req.URL.Query().Get("wait_ms"), 10, 32) // missing: no waiting
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		version, body, changed, resumed := d.version, d.body, d.changed, d.resumed
		d.mu.Unlock()
		if resumed != nil {
			select {
			case <-resumed:
			case <-d.closed:
				return
			case <-req.Context().Done():
				return
			}
			continue
		}
		if err != nil || version > after {
			w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-d.closed:
			return
		case <-timeout.C:
			json.NewEncoder(w).Encode(ServerList{Version: after, Servers: []ServerEntry{}})
			return
		case <-req.Context().Done():
			return
		}
	}
}

// Client is a client's RESP2 connection. It is not safe for concurrent use.
type Client struct {
	Conn  net.Conn
	timed *timedConn // of Conn
	rd    *bufio.Reader
}

// Dial connects to a gateway by RESP2.
func Dial(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dialing a gateway: %w", err)
	}
	timed := newTimedConn(conn)
	return &Client{conn, timed, bufio.NewReader(timed)}, nil
}

// ReceivedAt returns when the kernel received the end of what was read.
func (c *Client) ReceivedAt() time.Time { return c.timed.ReceivedAt() }

// Send writes a command.
func (c *Client) Send(args ...string) error {
	b := redcon.AppendArray(nil, len(args))
	for _, w := range args {
		b = redcon.AppendBulkString(b, w)
	}
	if _, err := c.Conn.Write(b); err != nil {
		return fmt.Errorf("writing a command: %w", err)
	}
	return nil
}

var errMalformedReply = errors.New("the reply is neither a line nor a bulk string")

// Read returns one complete reply: a line, or the value of a bulk string with a leading '$'.
func (c *Client) Read() (string, error) {
	line, err := c.rd.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if line == "" {
		return "", errMalformedReply
	}
	if line[0] != '$' {
		return line, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return "", errMalformedReply
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(c.rd, b); err != nil {
		return "", err
	}
	return "$" + string(b[:n]), nil
}

// Close closes the connection.
func (c *Client) Close() { c.Conn.Close() }
