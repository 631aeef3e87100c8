// Package faultnet injects network faults between processes. A Mesh relays the datagrams and streams between any
// two members, and loses, duplicates, delays, stalls or cuts them for each direction separately; a Relay does so
// for the streams to one address. Its random choices come from a seed, and it counts what it did.
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
	maxDatagram = 64 << 10 // bytes, the limit of UDP
	maxDelayed  = 4096     // delayed datagrams; further ones are lost
)

// Fault describes the faults of one direction between two members. The zero value forwards everything at once.
// Datagrams with different delays overtake each other.
type Fault struct {
	Loss, Duplicate    float64       // probabilities that a datagram is lost, and that it arrives twice
	MinDelay, MaxDelay time.Duration // delay of a datagram, drawn at random; MinDelay also delays stream data

	Stall           bool // streams stay open and forward nothing, as they also do with Loss 1
	Refuse          bool // new streams are closed at once
	CloseAfterBytes int  // a stream is closed after this many bytes in this direction; 0: never
}

// Blackhole drops all datagrams and stalls streams until it is lifted.
var Blackhole = Fault{Loss: 1}

// Counts counts datagrams, and the bytes that streams forwarded.
type Counts struct{ Forwarded, Lost, Duplicated, Overflowed, StreamBytes int }

// Mesh has a relay for each ordered pair of members. Its methods are safe for concurrent use.
type Mesh struct {
	members []netip.AddrPort
	sockets [][]*net.UDPConn // indexed by sender and receiver
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

// NewMesh creates relays between members that listen for datagrams and streams at these addresses, without faults.
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
			return m, fmt.Errorf("parsing a member's address: %w", err)
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
				return m, fmt.Errorf("opening a relay from %d to %d: %w", i, j, err)
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

// PeerAddrs returns the addresses at which a member reaches all members, including itself.
func (m *Mesh) PeerAddrs(member int) (addrs []string) {
	for j, a := range m.members {
		if j != member {
			a = m.sockets[member][j].LocalAddr().(*net.UDPAddr).AddrPort()
		}
		addrs = append(addrs, a.String())
	}
	return addrs
}

// relayDatagrams forwards the datagrams from one member to another. It sends from the socket that relays the
// opposite direction, as members identify each other by address.
func (m *Mesh) relayDatagrams(from, to int) {
	buf := make([]byte, maxDatagram)
	for {
		n, source, err := m.sockets[from][to].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || source != m.members[from] {
			continue // a closed member port reports an error; other senders are ignored
		}
		data := append([]byte(nil), buf[:n]...)
		for _, delay := range m.drawDelays(from, to) {
			time.AfterFunc(delay, func() { m.deliver(from, to, data) })
		}
	}
}

// drawDelays draws the delay of each copy of a datagram; none if it is lost.
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
		_, _ = m.sockets[to][from].WriteToUDPAddrPort(data, m.members[to]) // a failed write counts as a loss
	}
}

func (m *Mesh) addStreamBytes(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.StreamBytes += n
}

// streamFaults returns a function for the faults of streams that one member opens to another.
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

// SetFault sets the fault of the links from the members in from to those in to; nil stands for all members.
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

// Partition cuts off some members from the others in both directions. Links within a side keep their faults.
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

// Counts returns the counts so far.
func (m *Mesh) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Close closes all relays. Delayed datagrams are lost.
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
