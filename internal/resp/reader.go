package resp

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// reader reads the commands of one connection and hands them to the loop. It runs in a goroutine of its own.
type reader struct {
	c     *client
	buf   []byte    // of a command that is not whole yet
	args  [][]byte  // memory for the next command's
	since time.Time // the start, the last whole command, or the first byte of the one in buf
	heard bool      // there was a whole command
}

// run reads until the client leaves, breaks the framing or lets a time limit pass. One read deadline holds all
// limits.
func (r *reader) run() {
	r.buf, r.since = make([]byte, 0, clientBuffer), time.Now()
	for {
		by := r.deadline()
		err := r.c.conn.SetReadDeadline(by)
		if r.c.weaned.Load() && len(r.buf) == 0 && r.c.out.Quiet() { // wean sets its mark before its deadline
			r.hand(commands{last: true})
			return
		}
		if err == nil {
			err = r.read()
		}
		switch {
		case err == nil:
		case errors.Is(err, errFraming):
			r.refuse(err, true)
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			r.c.d.Post(r.c.Close)
			return
		case time.Now().Before(by): // woken to be weaned
		case len(r.buf) == 0 && r.c.owed.Load() > 0: // it waits for answers
			r.since = time.Now()
		case len(r.buf) > 0:
			r.refuse(errLate, false)
			return
		default:
			r.hand(commands{last: true})
			return
		}
	}
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

// read takes what has come and hands on the commands that are whole.
func (r *reader) read() error {
	if len(r.buf) == cap(r.buf) {
		r.buf = slices.Grow(r.buf, cap(r.buf))
	}
	n, err := r.c.conn.Read(r.buf[len(r.buf):cap(r.buf)])
	if n == 0 {
		return err
	}
	begins := len(r.buf) == 0
	r.buf = r.buf[:len(r.buf)+n]
	got, used, fault := r.split()
	r.hand(commands{got: got})
	if fault != nil {
		return fault
	}
	if r.buf = r.buf[:copy(r.buf, r.buf[used:])]; len(r.buf) == 0 && cap(r.buf) > clientBuffer {
		r.buf = make([]byte, 0, clientBuffer)
	}
	if r.heard = r.heard || used > 0; begins || used > 0 {
		r.since = time.Now()
	}
	return err
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

// hand posts commands, and waits while too many answers are owed.
func (r *reader) hand(e commands) {
	if len(e.got) == 0 && !e.last {
		return
	}
	most := int32(r.c.d.Tuning().Clients.Pipeline)
	r.c.owedMost.Store(most) // before the answers are owed, so that the loop wakes by the same bound
	owed := r.c.owed.Add(int32(len(e.got)))
	r.c.d.Post(func() { r.c.take(e) })
	for ; owed >= most && !e.last; owed = r.c.owed.Load() {
		if _, going := r.c.resume.Wait(); !going {
			break
		}
	}
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
