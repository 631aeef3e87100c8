package gateway

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxWriteSteps limits how long a peer that reads only a little at a time can hold a connection.
	maxWriteSteps = 15
	// maxKernelUnsent is the number of bytes that the kernel takes for a client beyond what its receive window allows.
	maxKernelUnsent = 128 << 10
)

// Writer writes to a connection without blocking the event loop. It writes at once what the kernel accepts; a
// goroutine with a time limit writes the rest if the peer is slow.
type Writer struct {
	conn net.Conn
	raw  syscall.RawConn // nil: no direct access to the socket, so that all data goes through WriteAsync
	busy bool            // a goroutine is writing

	connectedUntil time.Duration // the peer counts as connected until then (see Disconnected)
}

// NewWriter creates a Writer. On a connection that is not a plain socket, such as TLS, only WriteAsync writes.
func NewWriter(c net.Conn) *Writer {
	w := &Writer{conn: c}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	return w
}

// NewClientWriter creates a Writer for a client's connection. Without a limit, the kernel takes megabytes for a slow
// client and then nothing until a third of them has been sent, which looks as if the client had stopped reading.
func NewClientWriter(c net.Conn) *Writer {
	w := NewWriter(c)
	if w.raw != nil {
		_ = w.raw.Control(func(fd uintptr) { // where it is not supported, only very slow clients are affected
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxKernelUnsent)
		})
	}
	return w
}

// TryWrite writes as much as the kernel accepts at once. Writing nothing is not an error.
func (w *Writer) TryWrite(b []byte) (n int, err error) {
	if w.raw == nil {
		return 0, nil
	}
	w.connectedUntil = 0 // a peer that is gone may answer by a reset
	opErr := w.raw.Write(func(fd uintptr) bool {
		for n < len(b) {
			var m int
			m, err = syscall.Write(int(fd), b[n:])
			if m > 0 {
				n += m
			}
			if err != nil && !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		return true // never block
	})
	if errors.Is(err, syscall.EAGAIN) {
		err = nil
	}
	return n, errors.Join(opErr, err)
}

// ReceiveQueueEmpty reports that the connection is open and holds no unread data. It reports false if this
// cannot be determined.
func (w *Writer) ReceiveQueueEmpty() bool {
	if w.raw == nil {
		return false
	}
	var err error
	opErr := w.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return opErr == nil && errors.Is(err, syscall.EAGAIN)
}

// bytesAcknowledged returns the number of bytes that the peer has acknowledged since the connection was established, or
// 0 if the kernel does not tell.
func (w *Writer) bytesAcknowledged() (n uint64) {
	if w.raw == nil {
		return 0
	}
	_ = w.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = info.Bytes_acked
		}
	})
	return n
}

// Busy reports that an asynchronous write is in progress.
func (w *Writer) Busy() bool { return w.busy }

// WriteAsync writes the rest in a goroutine, within a time limit, and then calls done on the event loop. It
// clears the write deadline afterwards: TryWrite is subject to the connection's deadlines, and a leftover
// deadline would make it fail later.
func (w *Writer) WriteAsync(rest []byte, within time.Duration, core *Core, done func(error)) {
	w.writeAsync(rest, within, 1, core, done)
}

// WriteAsyncUntilStall is WriteAsync for a peer that may be slow. It fails if the peer takes no data during one of
// the consecutive periods of the duration stall, or if the kernel has not accepted all data after maxWriteSteps
// periods.
func (w *Writer) WriteAsyncUntilStall(rest []byte, stall time.Duration, core *Core, done func(error)) {
	w.writeAsync(rest, stall, maxWriteSteps, core, done)
}

func (w *Writer) writeAsync(rest []byte, within time.Duration, steps int, core *Core, done func(error)) {
	w.busy = true
	go func() {
		_, err := w.writeInSteps(rest, within, steps)
		core.Post(func() {
			w.busy = false
			done(err)
		})
	}()
}

// writeInSteps writes in at most that many steps, each with its own time limit. In every step but the last, the kernel
// must accept data or the peer must acknowledge some: a slow peer may acknowledge data for a while before the kernel
// accepts more.
func (w *Writer) writeInSteps(b []byte, within time.Duration, steps int) (written int, err error) {
	acknowledged := w.bytesAcknowledged()
	for ; steps > 0 && written < len(b); steps-- {
		if err = w.conn.SetWriteDeadline(time.Now().Add(within)); err != nil {
			return written, err
		}
		n := 0
		n, err = w.conn.Write(b[written:])
		if written += n; err == nil {
			continue
		}
		before := acknowledged
		acknowledged = w.bytesAcknowledged()
		stalled := n == 0 && acknowledged == before
		if stalled || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
	if err == nil {
		err = w.conn.SetWriteDeadline(time.Time{})
	}
	return written, err
}

// PatientConn is a connection to a client whose writes take as long as Writer.WriteAsyncUntilStall. It is for protocols
// such as TLS, whose own writes can't continue after a timeout. It ignores write deadlines.
type PatientConn struct {
	net.Conn
	writer *Writer
	stall  func() time.Duration
}

// NewPatientConn creates a PatientConn on top of the connection of a Writer. stall returns the time for which the peer may take
// no data.
func NewPatientConn(w *Writer, stall func() time.Duration) *PatientConn {
	return &PatientConn{Conn: w.conn, writer: w, stall: stall}
}

// Write implements net.Conn.
func (c *PatientConn) Write(b []byte) (int, error) {
	return c.writer.writeInSteps(b, c.stall(), maxWriteSteps)
}

// SetWriteDeadline implements net.Conn. It does nothing.
func (c *PatientConn) SetWriteDeadline(time.Time) error { return nil }

// Shutdown closes the connection for writing and calls done on the event loop once the peer has closed its
// side, or after a time limit. Until then the connection stays open for incoming data, which is not read, so
// that a reset does not overtake the data already written.
func (w *Writer) Shutdown(within time.Duration, core *Core, done func()) {
	closer, ok := w.conn.(interface{ CloseWrite() error })
	if !ok || w.raw == nil {
		done()
		return
	}
	go func() {
		err := closer.CloseWrite()
		if err == nil {
			err = w.conn.SetReadDeadline(time.Now().Add(within))
		}
		if err == nil {
			w.awaitPeerClose()
		}
		core.Post(done)
	}()
}

// awaitPeerClose waits until the peer has closed its side with no unread data left, the connection has failed,
// or the read deadline passes.
func (w *Writer) awaitPeerClose() {
	_ = w.raw.Read(func(fd uintptr) (ended bool) { // a timeout is not an error here
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		return n <= 0 && !waits
	})
}
