package resp

import (
	"bytes"
	"errors"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// aheadMost is how many bytes a reader holds of commands that wait for the pipeline to have room: some hundred small ones. It
// reads that far ahead so that it sees a client that leaves; beyond it the client waits in the kernel.
const aheadMost = 16 << 10

// reader reads the commands of one connection and hands them to the loop. It runs in a goroutine of its own.
type reader struct {
	c       *client
	buf     []byte    // not handed on: a command that is not whole, or whole ones for which the pipeline has no room
	args    [][]byte  // memory for the next command's
	since   time.Time // the start, the last whole command, or the first byte of the one in buf
	heard   bool      // there was a whole command
	held    bool      // buf waits for room in the pipeline
	granted bool      // time was up with bytes unread in the kernel, and a little more was given to read them
}

func newReader(c *client) *reader {
	return &reader{c: c, buf: make([]byte, 0, clientBuffer), since: time.Now()}
}

// run reads until the client leaves, breaks the framing or lets a time limit pass. One read deadline holds all
// limits. The loop wakes the reader by a deadline that has passed, after it has set what the reader is to see: a mark to end,
// or answers that are no longer owed. So the reader looks at both after each new deadline of its own.
func (r *reader) run() {
	for {
		if fault := r.handOn(); fault != nil {
			r.refuse(fault, true)
			return
		}
		by := r.deadline()
		err := r.c.conn.SetReadDeadline(by)
		if r.held && !r.full() {
			continue
		}
		if r.c.draining.Load() && len(r.buf) == 0 && r.c.out.ReceiveQueueEmpty() {
			r.hand(commands{last: true})
			return
		}
		if err == nil {
			err = r.read()
		}
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			r.c.d.Post(r.c.Close)
			return
		case time.Now().Before(by): // woken
		case !r.expired():
			return
		}
	}
}

// expired takes that a time limit has passed. It reports false if the connection's reading is over.
func (r *reader) expired() (goOn bool) {
	switch {
	case r.held || len(r.buf) == 0 && r.c.owed.Load() > 0: // it is the client who waits
	case !r.granted && !r.c.out.ReceiveQueueEmpty():
		// A read whose deadline has passed takes nothing, whatever has come: it may be a whole request, and closing would reset
		// the connection on it.
		r.granted = true
	case len(r.buf) > 0:
		r.refuse(errLate, false)
		return false
	default:
		r.hand(commands{last: true})
		return false
	}
	r.since = time.Now()
	return true
}

var errLate = errors.New("protocol error: the command did not end in time")

// deadline bounds how long a connection may hold a descriptor and give nothing for it. Clients write a command in one
// go; those that keep a connection use it again within seconds, or have left it for good.
func (r *reader) deadline() time.Time {
	limits := &r.c.d.Tuning().Clients
	if r.heard && len(r.buf) == 0 {
		return r.since.Add(limits.Idle)
	}
	return r.since.Add(limits.FirstCommand)
}

// full reports that so many answers are owed that nothing more is handed on.
func (r *reader) full() bool { return r.c.owed.Load() >= r.c.owedMost.Load() }

// read takes what has come. Where the buffer is full of commands that wait for the pipeline, it waits for that instead.
func (r *reader) read() error {
	if r.held && len(r.buf) >= aheadMost {
		if _, going := r.c.resume.Receive(); !going {
			return net.ErrClosed
		}
		return nil
	}
	if len(r.buf) == cap(r.buf) {
		r.buf = slices.Grow(r.buf, cap(r.buf))
	}
	n, err := r.c.conn.Read(r.buf[len(r.buf):cap(r.buf)])
	if n > 0 && len(r.buf) == 0 {
		r.since = time.Now()
	}
	r.buf = r.buf[:len(r.buf)+n]
	return err
}

// handOn hands on the commands that are whole, if the pipeline has room.
func (r *reader) handOn() error {
	r.c.owedMost.Store(int32(r.c.d.Tuning().Clients.Pipeline)) // before the answers are owed, so that the loop wakes by the same bound
	r.held = len(r.buf) > 0 && r.full()
	if r.held || len(r.buf) == 0 {
		return nil
	}
	got, used, fault := r.split()
	r.hand(commands{got: got})
	if r.buf = r.buf[:copy(r.buf, r.buf[used:])]; len(r.buf) == 0 && cap(r.buf) > clientBuffer {
		r.buf = make([]byte, 0, clientBuffer)
	}
	if used > 0 {
		r.heard, r.granted, r.since = true, false, time.Now()
	}
	return fault
}

// split reads the whole commands that the buffer begins with.
func (r *reader) split() (got []received, used int, err error) {
	for used < len(r.buf) {
		var n int
		if n, r.args, err = nextCommand(r.buf[used:], r.args); n == 0 {
			break
		}
		got = append(got, interpret(r.args, r.c.d.Now()))
		used += n
	}
	return got, used, err
}

// refuse answers what can't be read, as the last.
func (r *reader) refuse(why error, fault bool) {
	reply := redcon.AppendError(nil, "ERR "+why.Error())
	r.hand(commands{got: []received{{reply: reply}}, last: true, fault: fault})
}

// hand posts commands to the loop.
func (r *reader) hand(e commands) {
	if len(e.got) == 0 && !e.last {
		return
	}
	r.c.owed.Add(int32(len(e.got)))
	r.c.d.Post(func() { r.c.take(e) })
}

// interpret turns a command into a request, or into its answer.
func interpret(args [][]byte, now time.Duration) received {
	if len(args) == 0 {
		return received{reply: redcon.AppendError(nil, "ERR empty command")}
	}
	name := strings.ToUpper(string(args[0][:min(len(args[0]), 16)]))
	switch name {
	case askName, doName:
		cmd, err := parseRequest(name, args, now)
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
