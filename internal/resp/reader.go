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

// maxReadAhead is how many bytes a reader holds of commands that wait for the pipeline to have room: some hundred small ones. It
// reads that far ahead so that it sees a client that leaves; beyond it the client waits in the kernel.
const maxReadAhead = 16 << 10

// reader reads the commands of one connection and hands them to the loop. It runs in a goroutine of its own.
type reader struct {
	client        *client
	buf           []byte    // not handed on: a command that is not whole, or whole ones for which the pipeline has no room
	args          [][]byte  // memory for the next command's
	timerStart    time.Time // the start, the last whole command, or the first byte of the one in buf
	gotCommand    bool      // there was a whole command
	blocked       bool      // buf waits for room in the pipeline
	extraReadUsed bool      // time was up with bytes unread in the kernel, and a little more was given to read them
}

func newReader(c *client) *reader {
	return &reader{client: c, buf: make([]byte, 0, clientBufferSize), timerStart: time.Now()}
}

// run reads until the client leaves, breaks the framing or lets a time limit pass. One read deadline holds all
// limits. The loop wakes the reader by a deadline that has passed, after it has set what the reader is to see: a mark to end,
// or answers that are no longer owed. So the reader looks at both after each new deadline of its own.
func (r *reader) run() {
	for {
		if protocolErr := r.dispatch(); protocolErr != nil {
			r.replyErrorAndStop(protocolErr, true)
			return
		}
		deadline := r.deadline()
		err := r.client.conn.SetReadDeadline(deadline)
		if r.blocked && !r.pipelineFull() {
			continue
		}
		if r.client.draining.Load() && len(r.buf) == 0 && r.client.writer.ReceiveQueueEmpty() {
			r.post(commandBatch{last: true})
			return
		}
		if err == nil {
			err = r.readMore()
		}
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			r.client.core.Post(r.client.Close)
			return
		case time.Now().Before(deadline): // woken
		case !r.handleTimeout():
			return
		}
	}
}

// handleTimeout takes that a time limit has passed. It reports false if the connection's reading is over.
func (r *reader) handleTimeout() (keepReading bool) {
	switch {
	case r.blocked || len(r.buf) == 0 && r.client.unanswered.Load() > 0: // it is the client who waits
	case !r.extraReadUsed && !r.client.writer.ReceiveQueueEmpty():
		// A read whose deadline has passed takes nothing, whatever has come: it may be a whole request, and closing would reset
		// the connection on it.
		r.extraReadUsed = true
	case len(r.buf) > 0:
		r.replyErrorAndStop(errCommandTimeout, false)
		return false
	default:
		r.post(commandBatch{last: true})
		return false
	}
	r.timerStart = time.Now()
	return true
}

var errCommandTimeout = errors.New("protocol error: the command did not end in time")

// deadline bounds how long a connection may hold a descriptor and give nothing for it. Clients write a command in one
// go; those that keep a connection use it again within seconds, or have left it for good.
func (r *reader) deadline() time.Time {
	limits := &r.client.core.Tuning().Clients
	if r.gotCommand && len(r.buf) == 0 {
		return r.timerStart.Add(limits.Idle)
	}
	return r.timerStart.Add(limits.FirstCommand)
}

// pipelineFull reports that so many answers are owed that nothing more is handed on.
func (r *reader) pipelineFull() bool {
	return r.client.unanswered.Load() >= r.client.maxUnanswered.Load()
}

// readMore takes what has come. Where the buffer is full of commands that wait for the pipeline, it waits for that instead.
func (r *reader) readMore() error {
	if r.blocked && len(r.buf) >= maxReadAhead {
		if _, ok := r.client.resume.Receive(); !ok {
			return net.ErrClosed
		}
		return nil
	}
	if len(r.buf) == cap(r.buf) {
		r.buf = slices.Grow(r.buf, cap(r.buf))
	}
	n, err := r.client.conn.Read(r.buf[len(r.buf):cap(r.buf)])
	if n > 0 && len(r.buf) == 0 {
		r.timerStart = time.Now()
	}
	r.buf = r.buf[:len(r.buf)+n]
	return err
}

// dispatch hands on the commands that are whole, if the pipeline has room.
func (r *reader) dispatch() error {
	r.client.maxUnanswered.Store(int32(r.client.core.Tuning().Clients.Pipeline)) // before the answers are owed, so that the loop wakes by the same bound
	r.blocked = len(r.buf) > 0 && r.pipelineFull()
	if r.blocked || len(r.buf) == 0 {
		return nil
	}
	cmds, consumed, protocolErr := r.parseCommands()
	r.post(commandBatch{commands: cmds})
	if r.buf = r.buf[:copy(r.buf, r.buf[consumed:])]; len(r.buf) == 0 && cap(r.buf) > clientBufferSize {
		r.buf = make([]byte, 0, clientBufferSize)
	}
	if consumed > 0 {
		r.gotCommand, r.extraReadUsed, r.timerStart = true, false, time.Now()
	}
	return protocolErr
}

// parseCommands reads the whole commands that the buffer begins with.
func (r *reader) parseCommands() (cmds []parsedCommand, consumed int, err error) {
	for consumed < len(r.buf) {
		var n int
		if n, r.args, err = parseCommand(r.buf[consumed:], r.args); n == 0 {
			break
		}
		cmds = append(cmds, interpret(r.args, r.client.core.Now()))
		consumed += n
	}
	return cmds, consumed, err
}

// replyErrorAndStop answers what can't be read, as the last.
func (r *reader) replyErrorAndStop(cause error, protocolError bool) {
	reply := redcon.AppendError(nil, "ERR "+cause.Error())
	r.post(commandBatch{commands: []parsedCommand{{reply: reply}}, last: true, protocolError: protocolError})
}

// post posts commands to the loop.
func (r *reader) post(batch commandBatch) {
	if len(batch.commands) == 0 && !batch.last {
		return
	}
	r.client.unanswered.Add(int32(len(batch.commands)))
	r.client.core.Post(func() { r.client.handleBatch(batch) })
}

// interpret turns a command into a request, or into its answer.
func interpret(args [][]byte, now time.Duration) parsedCommand {
	if len(args) == 0 {
		return parsedCommand{reply: redcon.AppendError(nil, "ERR empty command")}
	}
	name := strings.ToUpper(string(args[0][:min(len(args[0]), 16)]))
	switch name {
	case askName, doName:
		cmd, err := parseRequest(name, args, now)
		if err != nil {
			return parsedCommand{reply: redcon.AppendError(nil, "ERR "+err.Error())}
		}
		return parsedCommand{request: cmd}
	case "PING":
		if len(args) == 2 {
			return parsedCommand{reply: redcon.AppendBulk(nil, bytes.Clone(args[1]))}
		}
		return parsedCommand{reply: redcon.AppendString(nil, "PONG")}
	case "CLIENT", "SELECT":
		return parsedCommand{reply: redcon.AppendOK(nil)}
	}
	return parsedCommand{reply: redcon.AppendError(nil, "ERR unknown command")}
}
