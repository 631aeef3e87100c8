package gateway

import (
	"bytes"
	"context"
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
	clientBuffer = 1 << 10         // bytes of a connection's read buffer between commands
	owedMost     = 64              // answers owed on one connection; further commands wait to be read
	backlogMost  = 1 << 20         // bytes of answers that a client leaves unread, before it is given up
	clientWrite  = 2 * time.Second // a client that takes nothing for so long is given up
	faultWithin  = time.Second     // a connection that can't be read any more ends after this, whatever is open on it
	acceptAhead  = 16              // connections that may be taken before the loop has counted them
)

// clientLimits bound how long a connection may hold a descriptor and give nothing for it.
type clientLimits struct {
	command time.Duration // for the first command of a connection, and for the end of one that has begun
	idle    time.Duration // between commands, with nothing open
}

// usualLimits: clients write a command in one go. Those that keep a connection use it again within seconds, or
// have left it for good.
var usualLimits = clientLimits{command: 2 * time.Second, idle: 5 * time.Second}

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
	weaned  atomic.Bool // no further command is waited for
	heard   bool        // it has brought a request
	ending  bool        // to be closed once all is answered
	read    bool        // nothing more is read from it
	closed  bool
}

// received is one command as the reader found it: a request, or an answer that needs no decision.
type received struct {
	cmd   *command
	reply []byte
}

// commands hands what a client sent to the loop.
type commands struct {
	c     *client
	got   []received
	last  bool // nothing more is read from it
	fault bool // it sent what can't be read
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
			e.c.heard = true
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
	if e.fault && !e.c.closed {
		l.at(l.clock.now()+faultWithin, func() { l.closeClient(e.c) })
	}
}

// left tells that a client closed its connection.
type left struct{ c *client }

func (e left) apply(l *loop) { l.closeClient(e.c) }

// joined tells of a new connection.
type joined struct{ c *client }

func (e joined) apply(l *loop) {
	<-l.ahead
	if len(l.clients) >= clientSockets(l.cfg.Sockets) {
		l.evictClient()
	}
	if len(l.clients) >= l.cfg.Sockets-leastSockets {
		e.c.conn.Close() // unread: the client sends what it may have written once more, elsewhere
		return
	}
	e.c.used = l.clock.now()
	l.clients[e.c] = struct{}{}
	go e.c.receive(&l.cfg, l.clock, l.limits, l.in.post)
	if l.closing {
		l.at(e.c.used+lastCall, func() { l.wean(e.c) })
	}
}

// evictClient makes room for a new connection by closing one that is owed nothing: the one that has been quiet
// for longest of those that never brought a request, else of all. A flood of silent newcomers so ends itself,
// and not the connections of usual clients. If all are owed answers nothing is closed, and the new one takes
// from the servers' share of descriptors.
func (l *loop) evictClient() {
	var quiet *client
	for c := range l.clients {
		if len(c.slots) > 0 || c.busy || c.ending {
			continue
		}
		if quiet == nil || (c.heard == quiet.heard && c.used < quiet.used) || (!c.heard && quiet.heard) {
			quiet = c
		}
	}
	if quiet != nil {
		l.wean(quiet)
	}
}

// wean ends a connection between requests: its reader stops once nothing more waits in the kernel, and when what
// it had read is answered the connection is closed. Closing at once would lose a request that has come.
func (l *loop) wean(c *client) {
	c.ending = true
	c.weaned.Store(true)
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

// acceptClients takes connections until the listener is closed or the context ends. Only so many are taken
// ahead of the loop, which bounds the descriptors: hundreds that come at once wait in the kernel.
func acceptClients(ctx context.Context, ln net.Listener, ahead chan<- struct{}, post func(event), log *slog.Logger) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn("accepting a connection", "err", err)
			sleep(ctx, 10*time.Millisecond) // out of descriptors: some may be free then
			continue
		}
		out, err := newOutlet(conn)
		if err != nil {
			log.Error("accepting a connection", "err", err)
			conn.Close()
			continue
		}
		select {
		case ahead <- struct{}{}:
			post(joined{newClient(out)})
		case <-ctx.Done():
			conn.Close()
			return
		}
	}
}

func newClient(out outlet) *client { return &client{outlet: out, resume: make(chan struct{}, 1)} }

// receive hands on commands until the client leaves, breaks the framing or lets a time limit pass. One read
// deadline holds all limits: a connection must bring its first command, and each command its end, within
// limits.command, and may then stay quiet for limits.idle.
func (c *client) receive(cfg *Config, clk clock, limits clientLimits, post func(event)) {
	buf := make([]byte, 0, clientBuffer)
	var args [][]byte
	since, heard := time.Now(), false
	for {
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, cap(buf))
		}
		by := since.Add(limits.command)
		if heard && len(buf) == 0 {
			by = since.Add(limits.idle)
		}
		err := c.conn.SetReadDeadline(by)
		if c.weaned.Load() && len(buf) == 0 && c.quiet() { // looked at after the deadline is set: wean does it the other way round
			post(commands{c: c, last: true})
			return
		}
		n := 0
		if err == nil {
			n, err = c.conn.Read(buf[len(buf):cap(buf)])
		}
		if n > 0 {
			begins := len(buf) == 0
			buf = buf[:len(buf)+n]
			var e commands
			var used int
			e, used, args = c.split(cfg, buf, args, clk.now())
			c.hand(e, post)
			if e.last {
				return // the loop closes the connection
			}
			if buf = buf[:copy(buf, buf[used:])]; len(buf) == 0 && cap(buf) > clientBuffer {
				buf = make([]byte, 0, clientBuffer)
			}
			if heard = heard || used > 0; begins || used > 0 {
				since = time.Now()
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			post(left{c})
			return
		case time.Now().Before(by): // woken to be weaned
		case len(buf) == 0 && c.owed.Load() > 0: // it waits for answers
			since = time.Now()
		default:
			e := commands{c: c, last: true}
			if len(buf) > 0 {
				e.got = []received{{reply: redcon.AppendError(nil, "ERR protocol error: the command did not end in time")}}
			}
			c.hand(e, post)
			return
		}
	}
}

// split reads the whole commands that b begins with. A fault in the framing is answered, and the last.
func (c *client) split(cfg *Config, b []byte, args [][]byte, now time.Duration) (e commands, used int, _ [][]byte) {
	e.c = c
	for used < len(b) {
		n, got, err := nextCommand(b[used:], args)
		args = got
		if err != nil {
			e.got = append(e.got, received{reply: redcon.AppendError(nil, "ERR "+err.Error())})
			e.last, e.fault = true, true
			break
		}
		if n == 0 {
			break
		}
		e.got = append(e.got, interpret(cfg, args, now))
		used += n
	}
	return e, used, args
}

// hand posts commands, and waits while too many answers are owed.
func (c *client) hand(e commands, post func(event)) {
	owed := c.owed.Add(int32(len(e.got)))
	if len(e.got) > 0 || e.last {
		post(e)
	}
	for ; owed >= owedMost && !e.last; owed = c.owed.Load() {
		if _, open := <-c.resume; !open {
			break
		}
	}
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
