// Package brittle is connections of which the nth read, write, look, deadline, close or accept fails, as the kernel's own do: for
// tests that fail each of them in turn.
package faultconn

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Op is what fails.
type Op int

// The operations.
const (
	None     Op = iota
	Read        // fails with a reset
	Write       // by the kernel at once or waiting: nothing is taken, and it fails with a reset
	Control     // at what waits in the kernel
	Deadline    // the setting of one
	Close       // is done, and reports an error
	Accept      // fails once, as when descriptors run out
	numOps
)

func (o Op) String() string {
	return [...]string{"none", "read", "write", "look", "deadline", "close", "accept"}[o]
}

// Injector fails the nth operation of a kind, and counts. It may be shared by connections.
type Injector struct {
	Op  Op
	Nth int // from 1

	mu        sync.Mutex
	counts    [numOps]int
	openConns int
	first     *Conn
}

// shouldFail counts an operation and reports whether it is the one.
func (i *Injector) shouldFail(o Op) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[o]++
	return o == i.Op && i.counts[o] == i.Nth
}

// Triggered reports that the operation came to be.
func (i *Injector) Triggered() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.counts[i.Op] >= i.Nth
}

// OpenConns is how many connections are not closed.
func (i *Injector) OpenConns() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.openConns
}

// FirstClosed reports that the first one was closed.
func (i *Injector) FirstClosed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.first != nil && i.first.closed
}

// Conn is a connection under a plan.
type Conn struct {
	*net.TCPConn
	injector *Injector
	once     sync.Once

	closed bool // under the plan's lock
}

// Wrap puts a connection under a plan.
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

// Listener accepts connections under a plan.
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
