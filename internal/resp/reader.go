package resp

import (
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// commandOverhead is what a posted command or its waiting reply holds beside its bytes, in bytes.
const commandOverhead = replyOverhead

// reader reads the commands of one connection and posts them to the loop. It runs in its own goroutine.
type reader struct {
	client        *client
	buf           readBuffer // not posted yet: an incomplete command, or complete ones while the intake is full
	reserved      int        // bytes of the buffer's capacity that are accounted for; the first clientBufferSize are not
	growth        int        // bytes by which the buffer is to grow once there is memory; 0: none
	args          [][]byte   // reused for the arguments of the next command
	timerStart    time.Time  // time of the reader's start, of the last complete command, or of the first byte in buf
	gotCommand    bool       // at least one complete command was read
	blocked       bool       // buf waits for room in the intake
	extraReadUsed bool       // a timeout was extended once because the receive queue was not empty

	connectedAt time.Duration // when the last read found the client connected; 0: it is not known
}

func newReader(c *client) *reader {
	return &reader{client: c, buf: newReadBuffer(clientBufferSize), timerStart: time.Now()}
}

// run reads until the client closes the connection, violates the protocol or exceeds a timeout. A single read
// deadline implements all timeouts. Others wake the reader by setting a read deadline in the past, after the loop has
// set draining or made room in the intake, or the account has given or withdrawn memory. A deadline that the reader
// sets can overwrite that one, so the reader checks these after each call of SetReadDeadline.
func (r *reader) run() {
	defer r.client.input.Close()
	defer r.client.readPause.End() // what arrives now is not read, and does not hide the end until the kernel's buffer is full
	for {
		if protocolErr := r.dispatch(); protocolErr != nil {
			r.replyErrorAndStop(protocolErr, true)
			return
		}
		deadline := r.deadline()
		err := r.client.conn.SetReadDeadline(deadline)
		switch {
		case r.blocked && !r.client.intake.full():
			continue
		case !r.blocked && r.client.input.Evicted():
			r.replyErrorAndStop(errNoMemory, false)
			return
		case r.client.draining.Load() && r.buf.len() == 0 && r.client.writer.ReceiveQueueEmpty():
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

// handleTimeout handles an expired deadline. It reports false if the reader must stop.
func (r *reader) handleTimeout() (keepReading bool) {
	switch {
	case r.growth > 0: // the deadline was shorter, to look for memory
		if time.Since(r.timerStart) < r.client.core.Tuning().Clients.ReadTimeout {
			return true
		}
		r.replyErrorAndStop(errNoMemory, false)
		return false
	case r.blocked || r.buf.len() == 0 && r.client.intake.repliesOwed():
	case !r.extraReadUsed && !r.client.writer.ReceiveQueueEmpty():
		// A read past its deadline returns no data, even if some has arrived. It may be a complete request, and closing
		// now would reset the connection and lose it.
		r.extraReadUsed = true
	case r.buf.len() > 0:
		r.replyErrorAndStop(errCommandTimeout, false)
		return false
	default:
		r.post(commandBatch{last: true})
		return false
	}
	r.timerStart = time.Now()
	return true
}

var (
	errCommandTimeout = errors.New("protocol error: the command did not end in time")
	errNoMemory       = errors.New("this gateway holds too many commands that are not complete")
)

// memoryRetryInterval is the time after which a reader that waits for memory looks again for connections that may be
// closed to make room.
const memoryRetryInterval = 100 * time.Millisecond

// deadline returns the current read deadline. It limits how long an unused connection can hold a descriptor. Clients
// write a command in one go, and those that keep a connection open use it again within seconds or never.
func (r *reader) deadline() time.Time {
	limits := &r.client.core.Tuning().Clients
	if r.gotCommand && r.buf.len() == 0 {
		return r.timerStart.Add(limits.IdleTimeout)
	}
	if r.growth > 0 {
		return time.Now().Add(memoryRetryInterval)
	}
	return r.timerStart.Add(limits.ReadTimeout)
}

// readMore reads available bytes into the buffer. If there is no room in it and no memory for more, it waits until the reader is
// woken or the client closes the connection.
func (r *reader) readMore() error {
	wasWaiting := r.growth > 0
	if !r.makeRoom() {
		if r.growth > 0 && !wasWaiting {
			return nil // run sets the deadline of a reader that waits for memory
		}
		r.client.readPause.Begin(r.client.core.Now())
		if r.growth > 0 {
			r.client.core.Post(r.client.core.MakeRoomForInput)
		}
		if err := r.client.writer.AwaitPeerClosed(); err != nil {
			return err
		}
		return io.EOF // what the client has sent before is not wanted any more
	}
	r.client.readPause.End()
	space := r.buf.space()
	n, err := r.client.conn.Read(space)
	if n > 0 && r.buf.len() == 0 {
		r.timerStart = time.Now()
	}
	r.connectedAt = 0
	if n > 0 {
		now := r.client.core.Now()
		r.buf.add(n, now)
		if n < len(space) {
			r.connectedAt = now // the receive queue is empty, and the end of the connection was not there
		}
	}
	return err
}

// makeRoom reports whether there is room in the buffer to read. It lets the buffer grow if the account of all connections has
// memory for that: for a command that is not complete, and for commands that wait for the intake, since the end of the connection
// is only seen once the bytes before it fit into the kernel's receive buffer.
func (r *reader) makeRoom() bool {
	switch {
	case r.buf.reclaim():
		return true
	case r.growth > 0:
		if r.client.input.Waiting() {
			return false
		}
	case r.blocked:
		if !r.client.input.ReserveSpare(r.buf.size()) {
			return false
		}
		r.growth = r.buf.size()
	default:
		r.growth = max(commandSize(r.buf.bytes())-r.buf.size(), clientBufferSize)
		if !r.client.input.Reserve(r.growth, r.gotCommand) {
			return false
		}
	}
	r.reserved += r.growth
	r.buf.resize(r.buf.size() + r.growth)
	r.growth = 0
	return true
}

// dispatch posts complete commands in the buffer if the intake has room.
func (r *reader) dispatch() error {
	// Stored before unanswered grows, so that the loop wakes the reader at the same limit.
	r.client.intake.maxUnanswered.Store(int32(r.client.core.Tuning().Clients.MaxPipeline))
	wasBlocked := r.blocked
	r.setBlocked(r.buf.len() > 0 && r.client.intake.full())
	if wasBlocked && !r.blocked {
		r.timerStart = time.Now() // the rest of a command was not read meanwhile
	}
	if r.blocked || r.buf.len() == 0 || r.growth > 0 {
		return nil
	}
	r.client.readPause.Begin(r.client.core.Now())
	r.client.load.Acquire()
	defer r.client.load.Cancel()
	maxCommands, maxBytes := r.client.intake.room()
	if r.client.core.MemoryShort(maxCommands * commandOverhead) {
		maxCommands = 1 // nothing is owed on this connection; see intake.full
	}
	cmds, consumed, protocolErr := r.parseCommands(maxCommands, maxBytes)
	r.post(commandBatch{commands: cmds, bytes: consumed, connectedAt: r.connectedAt})
	r.buf.consume(consumed)
	if consumed > 0 {
		r.shrink()
		if r.reserved > 0 {
			r.client.input.Restart()
		}
		r.gotCommand, r.extraReadUsed, r.timerStart = true, false, time.Now()
	}
	r.setBlocked((len(cmds) == maxCommands || consumed >= maxBytes) && r.buf.len() > 0)
	if !r.blocked {
		r.buf.compact() // the start of a command at most
	}
	return protocolErr
}

func (r *reader) setBlocked(blocked bool) {
	if r.reserved > 0 && blocked != r.blocked {
		r.client.input.Pin(blocked) // complete commands are answered, whatever memory they hold
	}
	r.blocked = blocked
	r.client.intake.waiting.Store(blocked)
}

// shrink gives back the memory of a large buffer that its contents don't need.
func (r *reader) shrink() {
	size, needed := clientBufferSize, r.buf.len()
	if needed >= clientBufferSize {
		size = 2 * needed
	}
	if r.reserved == 0 || needed >= clientBufferSize && size > r.buf.size()/2 {
		return
	}
	released := r.buf.size() - size
	r.buf.resize(size)
	clear(r.args[:cap(r.args)]) // they refer to the large buffer
	r.client.input.Release(released)
	r.reserved -= released
}

// parseCommands parses complete commands at the start of the buffer, up to a number and to the one that reaches a size in bytes.
func (r *reader) parseCommands(maxCommands, maxBytes int) (cmds []parsedCommand, consumed int, err error) {
	for b := r.buf.bytes(); consumed < min(len(b), maxBytes) && len(cmds) < maxCommands; {
		var n int
		if n, r.args, err = parseCommand(b[consumed:], r.args); n == 0 {
			break
		}
		consumed += n
		cmds = append(cmds, interpret(r.args, r.buf.readAt(consumed)))
	}
	return cmds, consumed, err
}

// replyErrorAndStop posts an error reply as the last reply of the connection.
func (r *reader) replyErrorAndStop(cause error, protocolError bool) {
	reply := redcon.AppendError(nil, "ERR "+cause.Error())
	r.post(commandBatch{commands: []parsedCommand{{reply: reply}}, last: true, protocolError: protocolError})
}

// post posts a batch to the loop unless it is empty.
func (r *reader) post(batch commandBatch) {
	if len(batch.commands) == 0 && !batch.last {
		return
	}
	r.client.intake.add(len(batch.commands), batch.bytes)
	r.client.core.HoldMemory(batch.memory())
	r.client.load.Post(func() { r.client.handleBatch(batch) })
}

// interpret converts a command that was read at a time into a request, or into the reply to a command that the core does not
// handle.
func interpret(args [][]byte, readAt time.Duration) parsedCommand {
	if len(args) == 0 {
		return parsedCommand{reply: redcon.AppendError(nil, "ERR empty command")}
	}
	name := strings.ToUpper(string(args[0][:min(len(args[0]), 16)]))
	switch name {
	case askName, doName:
		cmd, err := parseRequest(name, args, readAt)
		if err != nil {
			return parsedCommand{reply: redcon.AppendError(nil, "ERR "+err.Error())}
		}
		return parsedCommand{request: cmd}
	case "PING":
		if len(args) == 2 {
			return parsedCommand{reply: redcon.AppendBulk(nil, args[1])}
		}
		return parsedCommand{reply: redcon.AppendString(nil, "PONG")}
	case "CLIENT", "SELECT":
		return parsedCommand{reply: redcon.AppendOK(nil)}
	}
	return parsedCommand{reply: redcon.AppendError(nil, "ERR unknown command")}
}
