package gateway

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// maxWriteSteps bounds how long a peer that takes a little again and again may hold a connection.
const maxWriteSteps = 15

// Writer writes to a connection without making the loop wait: the kernel takes what it can at once, and a goroutine with a time
// limit writes what a slow peer leaves.
type Writer struct {
	conn net.Conn
	raw  syscall.RawConn // nil: the kernel does not take bytes as they are; all goes by Finish
	busy bool            // a goroutine is writing
}

// NewWriter makes one. A connection that is not the kernel's own, such as a TLS one, only has Finish.
func NewWriter(c net.Conn) *Writer {
	w := &Writer{conn: c}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	return w
}

// TryWrite writes what the kernel takes at once. Taking nothing is no error.
func (w *Writer) TryWrite(b []byte) (n int, err error) {
	if w.raw == nil {
		return 0, nil
	}
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
		return true // never wait
	})
	if errors.Is(err, syscall.EAGAIN) {
		err = nil
	}
	return n, errors.Join(opErr, err)
}

// ReceiveQueueEmpty reports whether the connection is open and nothing has come on it that was not read. Where that can't be seen, it
// reports false.
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

// Busy reports that Finish has not ended.
func (w *Writer) Busy() bool { return w.busy }

// WriteAsync writes the rest from a goroutine of its own, within a time, and then lets the loop call done. The time limit ends with
// the write: one left on the connection would have a later Try fail, which goes by the connection's deadlines too.
func (w *Writer) WriteAsync(rest []byte, within time.Duration, core *Core, done func(error)) {
	w.writeAsync(rest, within, 1, core, done)
}

// WriteAsyncUntilStall is Finish for a peer that may be slow: it is given up when it has taken nothing for stall, or has not taken all in
// stallsMost times that.
func (w *Writer) WriteAsyncUntilStall(rest []byte, stall time.Duration, core *Core, done func(error)) {
	w.writeAsync(rest, stall, maxWriteSteps, core, done)
}

// writeAsync writes in so many steps at most. Each has its time, and each but the last has to bring something forward.
func (w *Writer) writeAsync(rest []byte, within time.Duration, steps int, core *Core, done func(error)) {
	w.busy = true
	go func() {
		var err error
		for ; steps > 0 && len(rest) > 0; steps-- {
			if err = w.conn.SetWriteDeadline(time.Now().Add(within)); err != nil {
				break
			}
			n := 0
			n, err = w.conn.Write(rest)
			if rest = rest[n:]; err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
				break
			}
		}
		if err == nil {
			err = w.conn.SetWriteDeadline(time.Time{})
		}
		core.Post(func() {
			w.busy = false
			done(err)
		})
	}()
}

// Shutdown tells the peer that nothing more is written, and lets the loop call done once the peer has closed its side too, or
// has had so long to. Until then the connection takes what the peer still sends, so that no reset overtakes what was written; it is
// not read.
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

// awaitPeerClose waits until the peer has closed its side with nothing left unread, the connection has failed, or its read deadline passes.
func (w *Writer) awaitPeerClose() {
	_ = w.raw.Read(func(fd uintptr) (ended bool) { // that time is up is no fault here
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		return n <= 0 && !waits
	})
}
