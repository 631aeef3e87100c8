package gateway

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

const (
	valueMost    = 64 << 10          // bytes of a value
	commandMost  = valueMost + 4<<10 // bytes of a whole command
	clientBuffer = 4 << 10           // bytes of a connection's first read buffer
	owedMost     = 256               // answers owed on one connection; further commands wait to be read
	backlogMost  = 1 << 20           // bytes of answers that a client leaves unread, before it is given up
	partMost     = 2 * time.Second   // for the rest of a command that was begun when its connection is to end
	clientWrite  = 2 * time.Second   // a client that takes nothing for so long is given up
)

// slot holds the place of an answer among those of its connection.
type slot struct {
	req   *request // open, else nil
	reply []byte
	ready bool
}

// client is a connection of a client.
type client struct {
	outlet
	slots   []*slot // in the order of the commands
	backlog []byte  // answers behind those that are being written
	used    time.Duration
	owed    atomic.Int32 // answers that the reader counts on the loop to give
	resume  chan struct{}
	ending  bool // to be closed once all is answered
	read    bool // nothing more is read from it
	closed  bool
}

// received is one command as the reader found it: a request, or an answer that needs no decision.
type received struct {
	cmd   *command
	reply []byte
}

// commands hands what a client sent to the loop. last: nothing more is read from it.
type commands struct {
	c    *client
	got  []received
	last bool
}

func (e commands) apply(l *loop) {
	if e.c.closed {
		return
	}
	for _, r := range e.got {
		s := &slot{}
		e.c.slots = append(e.c.slots, s)
		if r.cmd == nil {
			e.c.reply(s, r.reply)
		} else {
			l.accept(e.c, s, r.cmd)
		}
		l.drainTodo()
	}
	if len(e.got) > 0 {
		l.flush(e.c)
	}
	if e.last {
		e.c.ending, e.c.read = true, true
		l.endIfDone(e.c)
	}
}

// left tells that a client closed its connection.
type left struct{ c *client }

func (e left) apply(l *loop) { l.closeClient(e.c) }

// joined tells of a new connection.
type joined struct{ c *client }

func (e joined) apply(l *loop) {
	if len(l.clients) >= clientSockets(l.cfg.Sockets) {
		l.evictClient()
	}
	if len(l.clients) >= l.cfg.Sockets-leastSockets {
		e.c.conn.Close() // unread: the client sends what it may have written once more, elsewhere
		return
	}
	e.c.used = l.clock.now()
	l.clients[e.c] = struct{}{}
	go e.c.receive(&l.cfg, l.clock, l.in.post)
	if l.closing {
		l.at(e.c.used+lastCall, func() { l.wean(e.c) })
	}
}

// evictClient makes room for a new connection by closing the one that has been quiet for longest. If all of
// them are owed answers nothing is closed, and the new one takes from the servers' share of descriptors.
func (l *loop) evictClient() {
	var quiet *client
	for c := range l.clients {
		if len(c.slots) == 0 && !c.busy && !c.ending && (quiet == nil || c.used < quiet.used) {
			quiet = c
		}
	}
	if quiet != nil {
		l.wean(quiet)
	}
}

// wean ends a connection between requests: its reader stops, and once what it had read is answered the
// connection is closed. Closing at once would lose a request that has been read and waits in the inbox.
func (l *loop) wean(c *client) {
	c.ending = true
	if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		l.closeClient(c) // already broken
	}
}

// reply fills a slot; flush writes it when those before it are filled.
func (c *client) reply(s *slot, b []byte) {
	s.reply, s.ready = b, true
}

// flush writes the answers that are next in order, in one write.
func (l *loop) flush(c *client) {
	n := 0
	for n < len(c.slots) && c.slots[n].ready {
		c.backlog = append(c.backlog, c.slots[n].reply...)
		n++
	}
	if n > 0 {
		c.slots = slices.Delete(c.slots, 0, n)
		c.used = l.clock.now()
		if before := c.owed.Add(int32(-n)) + int32(n); before >= owedMost {
			select {
			case c.resume <- struct{}{}:
			default:
			}
		}
	}
	l.push(c)
	l.endIfDone(c)
}

// push writes the backlog, unless an earlier write is still going on.
func (l *loop) push(c *client) {
	if c.closed {
		c.backlog = nil
		return
	}
	if len(c.backlog) > backlogMost {
		l.closeClient(c)
		return
	}
	if c.busy || len(c.backlog) == 0 {
		return
	}
	n, err := c.try(c.backlog)
	if err != nil {
		l.closeClient(c)
		return
	}
	if n == len(c.backlog) {
		c.backlog = c.backlog[:0]
		return
	}
	rest := c.backlog[n:]
	c.backlog = nil
	c.finish(rest, clientWrite, l.in.post, func(err error) event { return flushed{c, err} })
}

// flushed tells how a slow write to a client ended.
type flushed struct {
	c   *client
	err error
}

func (e flushed) apply(l *loop) {
	e.c.busy = false
	if e.err != nil {
		l.closeClient(e.c)
		return
	}
	l.push(e.c)
	l.endIfDone(e.c)
}

// endIfDone closes a connection whose reader has stopped and on which nothing is owed.
func (l *loop) endIfDone(c *client) {
	if c.read && !c.closed && len(c.slots) == 0 && !c.busy && len(c.backlog) == 0 {
		l.closeClient(c)
	}
}

// closeClient ends a connection. What was open on it is over: no one waits for it any more.
func (l *loop) closeClient(c *client) {
	if c.closed {
		return
	}
	c.closed = true
	c.conn.Close()
	close(c.resume)
	delete(l.clients, c)
	for _, s := range c.slots {
		if s.req != nil {
			l.abandon(s.req)
		}
	}
	c.slots, c.backlog = nil, nil
}

// acceptClients takes connections until the listener is closed.
func acceptClients(ln net.Listener, post func(event), log *slog.Logger) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn("accepting a connection", "err", err)
			time.Sleep(10 * time.Millisecond) // out of descriptors: some may be free then
			continue
		}
		out, err := newOutlet(conn)
		if err != nil {
			log.Error("accepting a connection", "err", err)
			conn.Close()
			continue
		}
		post(joined{&client{outlet: out, resume: make(chan struct{}, 1)}})
	}
}

// read hands on commands until the client leaves or breaks the framing.
func (c *client) receive(cfg *Config, clk clock, post func(event)) {
	buf := make([]byte, 0, clientBuffer)
	var args [][]byte
	late := false
	for {
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, cap(buf))
		}
		n, err := c.conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			e := commands{c: c}
			rest := buf
			for len(rest) > 0 && !e.last {
				var used int
				var fault error
				used, args, fault = nextCommand(rest, args)
				if fault != nil {
					e.got = append(e.got, received{reply: redcon.AppendError(nil, "ERR "+fault.Error())})
					e.last = true
				} else if used == 0 {
					break
				} else {
					e.got = append(e.got, interpret(cfg, args, clk.now()))
					rest = rest[used:]
				}
			}
			buf = buf[:copy(buf, rest)]
			if len(buf) == 0 && cap(buf) > clientBuffer {
				buf = make([]byte, 0, clientBuffer)
			}
			owed := c.owed.Add(int32(len(e.got)))
			if len(e.got) > 0 {
				post(e)
			}
			if e.last {
				return // the loop closes the connection
			}
			for ; owed >= owedMost; owed = c.owed.Load() {
				if _, open := <-c.resume; !open {
					break
				}
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if len(buf) > 0 && !late { // a command is on its way: its end may already be in the kernel
				late = c.conn.SetReadDeadline(time.Now().Add(partMost)) == nil
				if late {
					continue
				}
			}
			post(commands{c: c, last: true})
			return
		}
		if err != nil {
			post(left{c})
			return
		}
	}
}

var (
	errFraming = errors.New("protocol error: expected an array of bulk strings")
	errTooBig  = errors.New("protocol error: command too large")
)

// nextCommand reads a command; used is 0 while more of it must come. The arguments share memory with b.
func nextCommand(b []byte, reuse [][]byte) (used int, args [][]byte, err error) {
	defer func() {
		if recover() != nil { // the library overflows on absurd lengths
			used, args, err = 0, nil, errFraming
		}
	}()
	if b[0] != '*' {
		return 0, nil, errFraming
	}
	whole, args, _, rest, err := redcon.ReadNextCommand(b, reuse)
	if err != nil {
		return 0, nil, errFraming
	}
	if !whole {
		if len(b) >= commandMost {
			return 0, nil, errTooBig
		}
		return 0, args, nil
	}
	for _, a := range args {
		if len(a) > valueMost {
			return 0, nil, errTooBig
		}
	}
	return len(b) - len(rest), args, nil
}

// interpret turns a command into a request, or into its answer.
func interpret(cfg *Config, args [][]byte, now time.Duration) received {
	if len(args) == 0 {
		return received{reply: redcon.AppendError(nil, "ERR empty command")}
	}
	name := strings.ToUpper(string(args[0][:min(len(args[0]), 16)]))
	switch name {
	case "Q.ASK", "Q.DO":
		cmd, err := parseRequest(cfg, name, args, now)
		if err != nil {
			return received{reply: redcon.AppendError(nil, "ERR "+err.Error())}
		}
		return received{cmd: cmd}
	case "PING":
		if len(args) == 2 {
			return received{reply: redcon.AppendBulk(nil, bytes.Clone(args[1]))}
		}
		return received{reply: redcon.AppendString(nil, "PONG")}
	case "CLIENT", "SELECT":
		return received{reply: redcon.AppendOK(nil)}
	}
	return received{reply: redcon.AppendError(nil, "ERR unknown command")}
}
