// Package links puts faults between real processes. A Mesh relays the datagrams and streams between any two members, each way by
// itself, and loses, doubles, holds, stalls, breaks or parts them as it is told; a Relay does so for the streams to any one address.
// What it draws comes from a seed; what it did is counted.
package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagram = 64 << 10 // bytes, as UDP has it
	maxDelayed  = 4096     // datagrams that wait out their delay; one more is lost
)

// Fault is what becomes of what goes one way between two members. The zero value passes all at once.
type Fault struct {
	Loss, Duplicate    float64       // shares of the datagrams that are lost, and that come twice
	MinDelay, MaxDelay time.Duration // each is held for a time between these, so that some overtake others; a stream's bytes for Fast

	Stall           bool // streams stay open and pass nothing, as they do where datagrams are all lost
	Refuse          bool // new streams are closed at once
	CloseAfterBytes int  // a stream ends when so many bytes went this way; 0: it does not
}

// Blackhole passes nothing; streams stand still until it is over.
var Blackhole = Fault{Loss: 1}

// Counts are of datagrams, and of the bytes that streams passed.
type Counts struct{ Forwarded, Lost, Duplicated, Overflowed, StreamBytes int }

// Mesh is a relay for each ordered pair of members. Its methods may be called from any goroutine.
type Mesh struct {
	members []netip.AddrPort
	sockets [][]*net.UDPConn // by who sends, and to whom
	relays  [][]*Relay
	wg      sync.WaitGroup

	mu      sync.Mutex
	rnd     *rand.Rand
	faults  [][]Fault
	counts  Counts
	delayed int
	closed  bool
	changed chan struct{} // closed at the next change of a fault
}

// NewMesh stands between members that listen for datagrams and streams at these addresses, and passes all.
func NewMesh(seed uint64, members []string) (m *Mesh, err error) {
	m = &Mesh{rnd: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{})}
	defer func() {
		if err != nil {
			m.Close()
		}
	}()
	for _, a := range members {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			return m, fmt.Errorf("a member's address: %w", err)
		}
		m.members = append(m.members, addr)
	}
	for range members {
		m.faults = append(m.faults, make([]Fault, len(members)))
		m.sockets = append(m.sockets, make([]*net.UDPConn, len(members)))
		m.relays = append(m.relays, make([]*Relay, len(members)))
	}
	for i := range members {
		for j := range members {
			if i == j {
				continue
			}
			if m.sockets[i][j], err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				return m, fmt.Errorf("a relay from %d to %d: %w", i, j, err)
			}
			if m.relays[i][j], err = newRelay(members[j], m.streamFaults(i, j), m.addStreamBytes); err != nil {
				return m, err
			}
		}
	}
	for i := range members {
		for j := range members {
			if i != j {
				m.wg.Go(func() { m.relayDatagrams(i, j) })
			}
		}
	}
	return m, nil
}

// PeerAddrs are the addresses under which a member sees all, its own among them.
func (m *Mesh) PeerAddrs(member int) (addrs []string) {
	for j, a := range m.members {
		if j != member {
			a = m.sockets[member][j].LocalAddr().(*net.UDPAddr).AddrPort()
		}
		addrs = append(addrs, a.String())
	}
	return addrs
}

// relayDatagrams passes on what one member sends to another. It leaves by the socket to which the other one sends, as members know each
// other by their addresses.
func (m *Mesh) relayDatagrams(from, to int) {
	buf := make([]byte, maxDatagram)
	for {
		n, source, err := m.sockets[from][to].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || source != m.members[from] {
			continue // a member that is down refuses; a stranger is no member
		}
		data := append([]byte(nil), buf[:n]...)
		for _, delay := range m.drawDelays(from, to) {
			time.AfterFunc(delay, func() { m.deliver(from, to, data) })
		}
	}
}

// drawDelays draws how late a datagram comes, for each time that it does.
func (m *Mesh) drawDelays(from, to int) (delays []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.faults[from][to]
	if m.rnd.Float64() < f.Loss {
		m.counts.Lost++
		return nil
	}
	times := 1
	if m.rnd.Float64() < f.Duplicate {
		times, m.counts.Duplicated = 2, m.counts.Duplicated+1
	}
	for range times {
		if m.delayed >= maxDelayed || m.closed {
			m.counts.Overflowed++
			continue
		}
		m.delayed++
		delays = append(delays, f.MinDelay+time.Duration(m.rnd.Int64N(int64(max(0, f.MaxDelay-f.MinDelay))+1)))
	}
	return delays
}

func (m *Mesh) deliver(from, to int, data []byte) {
	m.mu.Lock()
	m.delayed--
	m.counts.Forwarded++
	closed := m.closed
	m.mu.Unlock()
	if !closed {
		_, _ = m.sockets[to][from].WriteToUDPAddrPort(data, m.members[to]) // as if lost, where it can't be written
	}
}

func (m *Mesh) addStreamBytes(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.StreamBytes += n
}

// streamFaults tells the faults of the streamFaults that one member opens to another.
func (m *Mesh) streamFaults(from, to int) func(reverse bool) (Fault, <-chan struct{}) {
	return func(reverse bool) (Fault, <-chan struct{}) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if reverse {
			return m.faults[to][from], m.changed
		}
		return m.faults[from][to], m.changed
	}
}

// SetFault has a fault on the way from each of some members to each of others; nil: of and to all.
func (m *Mesh) SetFault(f Fault, from, to []int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range m.orAll(from) {
		for _, j := range m.orAll(to) {
			m.faults[i][j] = f
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Partition cuts some members off from the others, both ways; what is between the members of a side stays as it was.
func (m *Mesh) Partition(side []int) {
	var other []int
	in := map[int]bool{}
	for _, i := range side {
		in[i] = true
	}
	for i := range m.members {
		if !in[i] {
			other = append(other, i)
		}
	}
	if len(side) > 0 && len(other) > 0 {
		m.SetFault(Blackhole, side, other)
		m.SetFault(Blackhole, other, side)
	}
}

func (m *Mesh) orAll(members []int) []int {
	if members != nil {
		return members
	}
	all := make([]int, len(m.members))
	for i := range all {
		all[i] = i
	}
	return all
}

// Counts tells what it did so far.
func (m *Mesh) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Close ends all relays. What is held is lost.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for i, row := range m.sockets {
		for j, c := range row {
			if c != nil {
				c.Close()
			}
			if r := m.relays[i][j]; r != nil {
				r.Close()
			}
		}
	}
	m.wg.Wait()
}
