package faultnet

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	chunkSize   = 16 << 10 // bytes that are copied at once
	dialTimeout = 2 * time.Second
)

// Relay forwards the streams that it accepts to one address, with separate faults for each direction. It is used
// between clients and a gateway, a gateway and a node, or two members of a mesh.
type Relay struct {
	to      string
	ln      net.Listener
	fault   func(reverse bool) (f Fault, changed <-chan struct{})
	onBytes func(bytes int)

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed chan struct{}
	ended  bool
	wg     sync.WaitGroup
}

// RelayFaults are the faults of a Relay outside a mesh. The zero value forwards everything at once.
type RelayFaults struct {
	mu               sync.Mutex
	forward, reverse Fault
	changed          chan struct{}
}

// Set sets the fault of data from those who connect, and of data back to them.
func (f *RelayFaults) Set(forward, reverse Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forward, f.reverse = forward, reverse
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

func (f *RelayFaults) get(reverse bool) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	if reverse {
		return f.reverse, f.changed
	}
	return f.forward, f.changed
}

// NewRelay starts a relay to an address, with the given faults.
func NewRelay(to string, faults *RelayFaults) (*Relay, error) {
	return newRelay(to, faults.get, func(int) {})
}

func newRelay(to string, fault func(bool) (Fault, <-chan struct{}), onBytes func(int)) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("opening a relay to %s: %w", to, err)
	}
	r := &Relay{to: to, ln: ln, fault: fault, onBytes: onBytes, conns: map[net.Conn]struct{}{}, closed: make(chan struct{})}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the listen address as host:port.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the connection was closed before it was accepted
		}
		r.wg.Go(func() { r.serve(c) })
	}
}

// serve forwards a connection. It closes the connection if the fault refuses it or the target cannot be reached.
func (r *Relay) serve(c net.Conn) {
	defer c.Close()
	if f, _ := r.fault(false); f.Refuse || !r.track(c) {
		return
	}
	defer r.untrack(c)
	target, err := net.DialTimeout("tcp", r.to, dialTimeout)
	if err != nil {
		return
	}
	defer target.Close()
	if !r.track(target) {
		return
	}
	defer r.untrack(target)
	ended := make(chan struct{}, 2)
	for _, w := range []struct {
		from, to net.Conn
		reverse  bool
	}{{c, target, false}, {target, c, true}} {
		r.wg.Go(func() {
			r.copyStream(w.from, w.to, w.reverse)
			ended <- struct{}{}
		})
	}
	select {
	case <-ended: // the end of one direction closes both: undelivered data is lost, as with a reset
	case <-r.closed:
	}
}

// copyStream copies one direction as its fault allows.
func (r *Relay) copyStream(from, to net.Conn, reverse bool) {
	buf := make([]byte, chunkSize)
	for sent := 0; ; {
		n, err := from.Read(buf)
		if n > 0 {
			f, open := r.waitOpen(reverse)
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
			r.onBytes(n)
			sent += n
		}
		if err != nil {
			return
		}
	}
}

// waitOpen waits until the fault lets data through. It returns false if the relay was closed.
func (r *Relay) waitOpen(reverse bool) (Fault, bool) {
	for {
		f, changed := r.fault(reverse)
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

func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// CloseStreams closes all streams that are open now.
func (r *Relay) CloseStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// Close closes the relay and its streams. It is idempotent.
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
	r.wg.Wait()
}
