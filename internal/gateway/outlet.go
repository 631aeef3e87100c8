package gateway

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// outlet writes to a connection without making the loop wait: the kernel takes what it can at once, and a
// goroutine with a time limit writes what a slow peer leaves.
type outlet struct {
	conn net.Conn
	raw  syscall.RawConn
	busy bool // a goroutine is writing
}

func newOutlet(conn net.Conn) (outlet, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return outlet{}, fmt.Errorf("connection %T has no descriptor", conn)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return outlet{}, fmt.Errorf("reaching the descriptor: %w", err)
	}
	return outlet{conn: conn, raw: raw}, nil
}

// try writes what the kernel takes at once. Taking nothing is no error.
func (o *outlet) try(b []byte) (n int, err error) {
	opErr := o.raw.Write(func(fd uintptr) bool {
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

// quiet reports whether the connection is open and nothing has come on it that was not read.
func (o *outlet) quiet() bool {
	var err error
	opErr := o.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return opErr == nil && errors.Is(err, syscall.EAGAIN)
}

// finish writes the rest from a goroutine of its own and then posts what done makes of the result.
func (o *outlet) finish(rest []byte, within time.Duration, post func(event), done func(error) event) {
	o.busy = true
	go func() {
		err := o.conn.SetWriteDeadline(time.Now().Add(within))
		if err == nil {
			_, err = o.conn.Write(rest)
		}
		post(done(err))
	}()
}
