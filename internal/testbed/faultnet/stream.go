package faultnet

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	chunkMost  = 16 << 10 // bytes of a stream that are passed on at once
	dialWithin = 2 * time.Second
)

// Relay passes the streams that come to it on to one address, each way with a fault of its own. It stands between clients and a
// gateway, a gateway and a node, or two members of a mesh.
type Relay struct {
	to  string
	ln  net.Listener
	way func(back bool) (f Fault, changed <-chan struct{})
	saw func(bytes int)

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed chan struct{}
	ended  bool
	done   sync.WaitGroup
}

// RelayFaults are the faults of a Relay that stands by itself. The zero value passes all at once.
type RelayFaults struct {
	mu          sync.Mutex
	there, back Fault
	changed     chan struct{}
}

// Set has a fault on what comes in from those who connect, and one on what goes back to them.
func (w *RelayFaults) Set(there, back Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.there, w.back = there, back
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

func (w *RelayFaults) way(back bool) (Fault, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	if back {
		return w.back, w.changed
	}
	return w.there, w.changed
}

// NewRelay stands before an address, by these ways.
func NewRelay(to string, ways *RelayFaults) (*Relay, error) {
	return newRelay(to, ways.way, func(int) {})
}

func newRelay(to string, way func(bool) (Fault, <-chan struct{}), saw func(int)) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a relay to %s: %w", to, err)
	}
	r := &Relay{to: to, ln: ln, way: way, saw: saw, conns: map[net.Conn]struct{}{}, closed: make(chan struct{})}
	r.done.Go(r.accept)
	return r, nil
}

// Addr is where it listens, as host:port.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // that one has gone again
		}
		r.done.Go(func() { r.serve(c) })
	}
}

// serve passes on a connection. One that the fault refuses, or that leads to nobody, is closed.
func (r *Relay) serve(c net.Conn) {
	defer c.Close()
	if f, _ := r.way(false); f.Refuse || !r.hold(c) {
		return
	}
	defer r.drop(c)
	there, err := net.DialTimeout("tcp", r.to, dialWithin)
	if err != nil {
		return
	}
	defer there.Close()
	if !r.hold(there) {
		return
	}
	defer r.drop(there)
	ended := make(chan struct{}, 2)
	for _, w := range []struct {
		from, to net.Conn
		back     bool
	}{{c, there, false}, {there, c, true}} {
		r.done.Go(func() {
			r.pass(w.from, w.to, w.back)
			ended <- struct{}{}
		})
	}
	select {
	case <-ended: // either way's end is the connection's: what it still held is lost, as with a reset
	case <-r.closed:
	}
}

// pass copies one way, as far as its fault allows.
func (r *Relay) pass(from, to net.Conn, back bool) {
	buf := make([]byte, chunkMost)
	for sent := 0; ; {
		n, err := from.Read(buf)
		if n > 0 {
			f, open := r.open(back)
			if !open {
				return
			}
			left := n
			if f.CloseAfterBytes > 0 {
				left = min(n, max(0, f.CloseAfterBytes-sent))
			}
			time.Sleep(f.MinDelay)
			if _, err := to.Write(buf[:left]); err != nil || left < n {
				return
			}
			r.saw(n)
			sent += n
		}
		if err != nil {
			return
		}
	}
}

// open waits until its way passes anything; false: the relay has been closed.
func (r *Relay) open(back bool) (Fault, bool) {
	for {
		f, changed := r.way(back)
		if !f.Stall && f.Loss < 1 {
			return f, true
		}
		select {
		case <-changed:
		case <-r.closed:
			return f, false
		}
	}
}

func (r *Relay) hold(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// CloseStreams ends all streams that are open now.
func (r *Relay) CloseStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// Close ends it with all its streams. Closing it again does nothing.
func (r *Relay) Close() {
	r.mu.Lock()
	first := !r.ended
	r.ended = true
	r.mu.Unlock()
	if first {
		close(r.closed)
		r.ln.Close()
	}
	r.CloseStreams()
	r.done.Wait()
}
