package testbed

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// timedConn is a TCP connection that tells when the kernel received the bytes that it read. On a machine whose processors
// are busy, the goroutine that reads may run long after that. It is for one reading goroutine.
type timedConn struct {
	net.Conn
	raw        syscall.RawConn // nil: not a socket, so that ReceivedAt is the time of the read
	control    []byte          // buffer for control messages
	receivedAt time.Time
}

// newTimedConn turns on the kernel's timestamps for a connection.
func newTimedConn(conn net.Conn) *timedConn {
	c := &timedConn{Conn: conn, control: make([]byte, unix.CmsgSpace(int(unsafe.Sizeof(unix.Timespec{}))))}
	if socket, ok := conn.(syscall.Conn); ok && setReceiveTimestamps(socket) == nil {
		c.raw, _ = socket.SyscallConn() // fails only on a closed connection, whose reads fail too
	}
	return c
}

// setReceiveTimestamps makes the kernel tell of each read when it received the bytes. Connections inherit it from their listener.
func setReceiveTimestamps(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	if err != nil {
		return err
	}
	return optionErr
}

// ReceivedAt returns when the kernel received the last byte that was read, or when it was read if the kernel does not tell.
func (c *timedConn) ReceivedAt() time.Time { return c.receivedAt }

// Read implements net.Conn.
func (c *timedConn) Read(b []byte) (int, error) {
	if c.raw == nil || len(b) == 0 {
		n, err := c.Conn.Read(b)
		c.receivedAt = time.Now()
		return n, err
	}
	var n, controlBytes int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		n, controlBytes, _, _, readErr = unix.Recvmsg(int(fd), b, c.control, 0)
		for readErr == unix.EINTR {
			n, controlBytes, _, _, readErr = unix.Recvmsg(int(fd), b, c.control, 0)
		}
		return readErr != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, os.NewSyscallError("recvmsg", readErr)
	case n == 0:
		return 0, io.EOF
	}
	c.receivedAt = receiveTime(c.control[:controlBytes], time.Now())
	return n, nil
}

// receiveTime returns the time in a read's control messages, or the time of the read if there is none. It has the monotonic
// clock of readAt, so that it can be compared with other times whatever happens to the wall clock later.
func receiveTime(control []byte, readAt time.Time) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return readAt
	}
	for _, m := range messages {
		if m.Header.Level != unix.SOL_SOCKET || m.Header.Type != unix.SCM_TIMESTAMPNS || len(m.Data) < int(unsafe.Sizeof(unix.Timespec{})) {
			continue
		}
		stamp := (*unix.Timespec)(unsafe.Pointer(&m.Data[0]))
		if age := readAt.Sub(time.Unix(stamp.Unix())); age > 0 {
			return readAt.Add(-age)
		}
	}
	return readAt
}
