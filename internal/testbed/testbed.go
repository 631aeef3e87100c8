// Package stand holds stand-ins for what a gateway meets: booking nodes, discovery and clients. They listen on
// free loopback ports, know the published protocols and nothing of the gateway's insides, and serve the project's
// own tests, measurements and demonstration.
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

// listener takes connections on a free loopback port and remembers them, so that Close ends all.
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

// Addr is where it listens, as host:port.
func (l *listener) Addr() string { return l.ln.Addr().String() }

// Close ends the listener and all its connections, and waits for their goroutines.
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

// ScriptedNode is a node that does nothing by itself: whoever made it is handed each command with its connection.
type ScriptedNode struct{ *listener }

// NewScriptedNode starts a node. got is called from a goroutine of the connection's own, in the order of its commands,
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

// FormatReply is a node's answer to a request that it served, without figures on use and load report.
func FormatReply(value string) string { return FormatReplyWithUse(value, "") }

// FormatReplyWithUse is one with figures on use; "": none.
func FormatReplyWithUse(value, use string) string {
	encoded := "$-1\r\n"
	if use != "" {
		encoded = fmt.Sprintf("$%d\r\n%s\r\n", len(use), use)
	}
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n%s$-1\r\n", len(value), value, encoded)
}

const maxQueries = 64 // queries that Discovery keeps for whoever reads them

// ServerEntry is a server in discovery's list.
type ServerEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // up, draining, removed
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time; 0 for long ago
}

// ServerList is discovery's form of a list.
type ServerList struct {
	Version uint64        `json:"version"`
	Full    bool          `json:"full"`
	Servers []ServerEntry `json:"servers"`
}

// Discovery serves a list of servers and the watches on it.
type Discovery struct {
	Queries chan string // the queries of the calls; left out where nobody takes them

	server  *httptest.Server
	mu      sync.Mutex
	version uint64
	body    []byte
	changed chan struct{}
	resumed chan struct{} // closed when it answers again; nil: it answers
	closed  chan struct{} // ends the watches that wait
	once    sync.Once
}

// NewDiscovery starts discovery with a list, such as a List, whose version is told beside it.
func NewDiscovery(version uint64, list any) (*Discovery, error) {
	body, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encoding the list: %w", err)
	}
	d := &Discovery{Queries: make(chan string, maxQueries), version: version, body: body, changed: make(chan struct{}), closed: make(chan struct{})}
	d.server = httptest.NewServer(d)
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(d.server.URL, "http://"))
}

// Close ends it and the watches that wait, also those that come while it closes. Closing it again does nothing.
func (d *Discovery) Close() {
	d.once.Do(func() {
		close(d.closed)
		d.server.CloseClientConnections()
		d.server.Close()
	})
}

// Set gives it a new list, which all watches that are behind its version are told.
func (d *Discovery) Set(version uint64, list any) error {
	body, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encoding the list: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.body = version, body
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

// Pause has it answer nobody until the function that it returns is called: calls that come meanwhile wait.
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

// ServeHTTP answers a call at once or, if it is a watch, when there is news.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	select {
	case d.Queries <- req.URL.RawQuery:
	default:
	}
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseUint(req.URL.Query().Get("wait_ms"), 10, 32) // none: it does not wait
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

// Client is a client's connection. It is not safe for concurrent use.
type Client struct {
	Conn net.Conn
	rd   *bufio.Reader
}

// Dial connects to a gateway.
func Dial(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dialing a gateway: %w", err)
	}
	return &Client{conn, bufio.NewReader(conn)}, nil
}

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

var errMalformedReply = errors.New("an answer that is no line and no bulk string")

// Read returns a whole answer: a line, or the value of a bulk string behind a '$'.
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

// Close ends the connection.
func (c *Client) Close() { c.Conn.Close() }
