// Package faultconn provides connections of which the nth read, write, control call, setting of a deadline, close
// or accept fails with an error of the kernel, for tests that let each of them fail in turn.
package faultconn

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Op is a kind of operation that can fail.
type Op int

// The kinds of operations.
const (
	None     Op = iota
	Read        // fails with ECONNRESET
	Write       // a Write of the connection or its RawConn: writes nothing and fails with ECONNRESET
	Control     // a Control call of the RawConn, as when looking at unread bytes
	Deadline    // setting a read or write deadline
	Close       // closes the connection, but reports EIO
	Accept      // fails once with EMFILE, as when the process runs out of descriptors
	numOps
)

func (o Op) String() string {
	return [...]string{"none", "read", "write", "look", "deadline", "close", "accept"}[o]
}

// Injector counts operations and fails the nth one of a kind. Connections may share it.
type Injector struct {
	Op  Op
	Nth int // counts from 1

	mu        sync.Mutex
	counts    [numOps]int
	openConns int
	first     *Conn
}

// shouldFail counts an operation and reports whether it is the one to fail.
func (i *Injector) shouldFail(o Op) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[o]++
	return o == i.Op && i.counts[o] == i.Nth
}

// Triggered reports whether the operation to fail has occurred.
func (i *Injector) Triggered() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.counts[i.Op] >= i.Nth
}

// OpenConns returns how many connections are not closed.
func (i *Injector) OpenConns() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.openConns
}

// FirstClosed reports whether the first connection was closed.
func (i *Injector) FirstClosed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.first != nil && i.first.closed
}

// Conn is a connection whose operations an Injector may fail.
type Conn struct {
	*net.TCPConn
	injector *Injector
	once     sync.Once

	closed bool // guarded by injector.mu
}

// Wrap returns a connection whose operations the injector counts.
func (i *Injector) Wrap(c net.Conn) *Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.openConns++
	w := &Conn{TCPConn: c.(*net.TCPConn), injector: i}
	if i.first == nil {
		i.first = w
	}
	return w
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.injector.shouldFail(Read) {
		return 0, syscall.ECONNRESET
	}
	return c.TCPConn.Read(b)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.injector.shouldFail(Write) {
		return 0, syscall.ECONNRESET
	}
	return c.TCPConn.Write(b)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.injector.shouldFail(Deadline) {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.injector.shouldFail(Deadline) {
		return net.ErrClosed
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(func() {
		c.injector.mu.Lock()
		defer c.injector.mu.Unlock()
		c.injector.openConns--
		c.closed = true
	})
	if c.injector.shouldFail(Close) {
		return syscall.EIO
	}
	return err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return rawConn{raw, c.injector}, err
}

type rawConn struct {
	syscall.RawConn
	injector *Injector
}

func (r rawConn) Write(f func(fd uintptr) bool) error {
	if r.injector.shouldFail(Write) {
		return syscall.ECONNRESET
	}
	return r.RawConn.Write(f)
}

func (r rawConn) Control(f func(fd uintptr)) error {
	if r.injector.shouldFail(Control) {
		return net.ErrClosed
	}
	return r.RawConn.Control(f)
}

// Listener wraps the connections that it accepts.
type Listener struct {
	net.Listener
	Injector *Injector
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.Injector.shouldFail(Accept) {
		c.Close()
		return nil, syscall.EMFILE
	}
	return l.Injector.Wrap(c), nil
}
