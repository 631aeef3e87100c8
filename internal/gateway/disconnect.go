package gateway

import (
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// disconnectCheckInterval is how long a client that was found connected counts as connected without another check. It is
// well below the 100 ms for which attempts may still begin after a client has closed its connection.
const disconnectCheckInterval = 20 * time.Millisecond

// Disconnected reports whether the peer has closed its side of the connection or reset it. Unlike a read, it does not
// have to consume the data that arrived before. It makes at most one system call in disconnectCheckInterval, and none
// for that long after MarkConnected. It reports false if the kernel does not tell. It is used on the event loop only.
func (w *Writer) Disconnected(now time.Duration) bool {
	if now < w.connectedUntil {
		return false
	}
	w.MarkConnected(now)
	return w.peerClosed()
}

// MarkConnected records that the peer was connected at a time: reading has found no end of the connection.
func (w *Writer) MarkConnected(at time.Duration) {
	w.connectedUntil = max(w.connectedUntil, at+disconnectCheckInterval)
}

// peerClosed asks the kernel whether the peer has closed or reset the connection.
func (w *Writer) peerClosed() (closed bool) {
	if w.raw != nil {
		_ = w.raw.Control(func(fd uintptr) { closed = pollPeerClosed(fd) })
	}
	return closed
}

// AwaitPeerClosed blocks until the peer has closed or reset the connection, and then returns nil. It consumes no data. It
// returns an error when the connection's read deadline has passed or the connection is closed. A read of another
// goroutine waits meanwhile.
func (w *Writer) AwaitPeerClosed() error {
	if w.raw == nil {
		return syscall.ENOTSUP
	}
	return w.raw.Read(pollPeerClosed) // called again whenever something arrives
}

// pollPeerClosed reports whether the peer of a socket has closed or reset the connection.
func pollPeerClosed(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&unix.POLLRDHUP != 0
}

// pauseHidesEnd is how long a pause leaves a client connected for the core. It is well below the 100 ms for which attempts may still
// begin after a client has closed its connection.
const pauseHidesEnd = 50 * time.Millisecond

// ReadPause tells the event loop since when a client's connection is not read, for want of memory or of a slot for its input. The
// goroutine that reads the connection begins and ends pauses.
type ReadPause struct{ since atomic.Int64 } // 0: the connection is read

// Begin begins a pause, if there is none.
func (p *ReadPause) Begin(now time.Duration) { p.since.CompareAndSwap(0, int64(now)) }

// End ends the pause.
func (p *ReadPause) End() { p.since.Store(0) }

// HidesEnd reports whether the client may have closed the connection without a sign of it: the connection has not been read for a
// while and more has arrived, so that the end may wait in the client's kernel.
func (p *ReadPause) HidesEnd(now time.Duration, w *Writer) bool {
	since := time.Duration(p.since.Load())
	return since > 0 && now-since >= pauseHidesEnd && !w.ReceiveQueueEmpty()
}

// mayBeSentFor reports whether something may be sent to a node for the request: it is open, and its client is connected. It
// closes the connection of a client that has left, which ends the request.
func (r *requestState) mayBeSentFor() bool {
	return !r.done && r.responder.CheckClient() && !r.done
}
