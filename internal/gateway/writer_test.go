package gateway

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"sloepick/internal/testbed/leaks"
)

// deadlineConn is a connection that records the last write deadline it was given.
type deadlineConn struct {
	*net.TCPConn
	mu   sync.Mutex
	last time.Time
}

func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = t
	return c.TCPConn.SetWriteDeadline(t)
}

func (c *deadlineConn) lastDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// connectedPair returns both ends of a connection; the test closes them at its end.
func connectedPair(t *testing.T) (server, client *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// writeAsync runs Writer.WriteAsync and returns the error passed to done.
func writeAsync(t *testing.T, o *Writer, rest []byte, within time.Duration) error {
	t.Helper()
	return await(func(d *Core, done func(error)) { o.WriteAsync(rest, within, d, done) })
}

// await starts an operation that completes on the event loop, and waits for its completion.
func await(begin func(d *Core, done func(error))) error {
	l := &eventLoop{inbox: newInbox()}
	result := make(chan error, 1)
	begin(&Core{l}, func(err error) { result <- err })
	<-l.inbox.ready
	for _, do := range l.inbox.take(nil) {
		do()
	}
	return <-result
}

// TestWriteDeadlineEndsWithItsWrite: the deadline of one slow write must not fail a later one. TryWrite is
// subject to the connection's deadlines, so a leftover deadline would fail it long after the client has caught
// up.
func TestWriteDeadlineEndsWithItsWrite(t *testing.T) {
	leaks.Check(t)
	server, client := connectedPair(t)
	conn := &deadlineConn{TCPConn: server}
	o := NewWriter(conn)
	if err := writeAsync(t, o, []byte("slow"), time.Hour); err != nil {
		t.Fatal(err)
	}
	if last := conn.lastDeadline(); !last.IsZero() {
		t.Errorf("write deadline %v left after the write", last)
	}
	if n, err := o.TryWrite([]byte("next")); n != 4 || err != nil {
		t.Errorf("next write: %d bytes, error %v", n, err)
	}
	got := make([]byte, 8)
	if _, err := io.ReadFull(client, got); err != nil || string(got) != "slownext" {
		t.Errorf("the other end read %q, error %v", got, err)
	}
}

// TestTryWriteFailsAfterDeadline checks the premise of clearing the write deadline: a raw write fails once a
// deadline of its connection has passed.
func TestTryWriteFailsAfterDeadline(t *testing.T) {
	leaks.Check(t)
	server, _ := connectedPair(t)
	if err := server.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := NewWriter(server).TryWrite([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

// slowConn is a connection whose peer accepts a given number of bytes in the time of each write.
type slowConn struct {
	net.Conn
	takes []int
	took  int
}

func (c *slowConn) SetWriteDeadline(time.Time) error { return nil }

func (c *slowConn) Write(b []byte) (int, error) {
	n := 0
	if len(c.takes) > 0 {
		n, c.takes = min(c.takes[0], len(b)), c.takes[1:]
	}
	c.took += n
	if n < len(b) {
		return n, os.ErrDeadlineExceeded
	}
	return n, nil
}

// TestWriteAsyncToSlowReader: a client that reads slowly gets its whole response. One that reads nothing during
// the time of a write is given up, and so is one that keeps reading only a little at a time.
func TestWriteAsyncToSlowReader(t *testing.T) {
	leaks.Check(t)
	for name, x := range map[string]struct {
		takes   []int
		took    int
		givenUp bool
	}{
		"all at once":        {[]int{100}, 100, false},
		"slowly":             {[]int{30, 30, 30, 10}, 100, false},
		"a part, then stops": {[]int{30, 0, 70}, 30, true},
		"nothing":            {nil, 0, true},
		"a byte at a time":   {slices.Repeat([]int{1}, 100), maxWriteSteps, true},
	} {
		c := &slowConn{takes: x.takes}
		err := await(func(d *Core, done func(error)) {
			NewWriter(c).WriteAsyncUntilStall(make([]byte, 100), time.Second, d, done)
		})
		if givenUp := errors.Is(err, os.ErrDeadlineExceeded); givenUp != x.givenUp || c.took != x.took || err != nil && !givenUp {
			t.Errorf("%s: %d bytes accepted, error %v", name, c.took, err)
		}
	}
	c := &slowConn{takes: []int{30, 30, 30, 10}}
	if err := writeAsync(t, NewWriter(c), make([]byte, 100), time.Second); err == nil || c.took != 30 {
		t.Errorf("write with a single time limit: %d bytes, error %v", c.took, err)
	}
}

// acknowledgingConn is a connection of which the kernel accepts nothing for some writes, while the peer acknowledges a
// byte, if it does, in the time of each.
type acknowledgingConn struct {
	*net.TCPConn
	rejected     int // writes that are not accepted
	acknowledges bool
	writer       *Writer
}

func (c *acknowledgingConn) Write(b []byte) (int, error) {
	if c.rejected == 0 {
		return c.TCPConn.Write(b)
	}
	c.rejected--
	if c.acknowledges {
		before := c.writer.bytesAcknowledged()
		if _, err := c.TCPConn.Write([]byte{0}); err != nil {
			return 0, err
		}
		for c.writer.bytesAcknowledged() == before {
			time.Sleep(time.Millisecond)
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// Guards against a client that reads slowly being given up because the kernel accepts more only after it has
// acknowledged a lot.
func TestAcknowledgementsCountAsProgress(t *testing.T) {
	for name, acknowledges := range map[string]bool{"reads slowly": true, "reads nothing": false} {
		leaks.Check(t)
		server, _ := connectedPair(t)
		conn := &acknowledgingConn{TCPConn: server, rejected: 5, acknowledges: acknowledges}
		conn.writer = NewWriter(conn)
		err := await(func(d *Core, done func(error)) {
			conn.writer.WriteAsyncUntilStall([]byte("answer"), time.Second, d, done)
		})
		if givenUp := errors.Is(err, os.ErrDeadlineExceeded); givenUp == acknowledges {
			t.Errorf("a client that %s: %v", name, err)
		}
	}
}

// Guards against a TLS client that reads steadily, but slowly, being given up: a write of TLS that has timed out can't
// be continued, so all of it had to be taken within one time limit.
func TestWriteAsyncToSlowTLSReader(t *testing.T) {
	leaks.Check(t)
	certificates := httptest.NewUnstartedServer(nil)
	certificates.StartTLS()
	defer certificates.Close()
	const stall = 300 * time.Millisecond
	for name, patient := range map[string]bool{"on the connection": false, "on a patient connection": true} {
		server, client := connectedPair(t)
		under := NewClientWriter(server)
		var conn net.Conn = server
		if patient {
			conn = NewPatientConn(under, func() time.Duration { return stall })
		}
		tlsServer := tls.Server(conn, &tls.Config{Certificates: certificates.TLS.Certificates})
		go func() {
			tlsClient := tls.Client(client, &tls.Config{InsecureSkipVerify: true})
			for b := make([]byte, 16<<10); ; time.Sleep(20 * time.Millisecond) {
				if _, err := io.ReadFull(tlsClient, b); err != nil {
					return
				}
			}
		}()
		err := await(func(d *Core, done func(error)) {
			NewWriter(tlsServer).WriteAsyncUntilStall(make([]byte, 2<<20), stall, d, done)
		})
		if patient != (err == nil) {
			t.Errorf("%s: %v", name, err)
		}
		server.Close()
	}
}
