package faultnet

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"
)

const timeout = 10 * time.Second // for what must arrive

// newMembers returns a mesh, the members' sockets, and the addresses at which each reaches the others.
func newMembers(t *testing.T, n int) (*Mesh, []*net.UDPConn, [][]netip.AddrPort) {
	t.Helper()
	var conns []*net.UDPConn
	var addrs []string
	for range n {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns = append(conns, c)
		addrs = append(addrs, c.LocalAddr().String())
	}
	m, err := NewMesh(7, addrs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	peerAddrs := make([][]netip.AddrPort, n)
	for i := range n {
		for _, a := range m.PeerAddrs(i) {
			peerAddrs[i] = append(peerAddrs[i], netip.MustParseAddrPort(a))
		}
	}
	return m, conns, peerAddrs
}

// sendDatagrams sends n datagrams and waits until the mesh has handled all of them.
func sendDatagrams(t *testing.T, m *Mesh, c *net.UDPConn, to netip.AddrPort, n int) (counts Counts) {
	t.Helper()
	before := m.Counts()
	for k := 1; k <= n; k++ {
		if _, err := c.WriteToUDPAddrPort([]byte("hi"), to); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) { // one at a time, so that the kernel drops none
			now := m.Counts()
			counts = Counts{Forwarded: now.Forwarded - before.Forwarded, Lost: now.Lost - before.Lost, Duplicated: now.Duplicated - before.Duplicated}
			if counts.Forwarded+counts.Lost-counts.Duplicated >= k || time.Now().After(end) {
				break
			}
		}
	}
	return counts
}

func receive(t *testing.T, c *net.UDPConn) netip.AddrPort {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(timeout))
	_, from, err := c.ReadFromUDPAddrPort(make([]byte, 16))
	if err != nil {
		t.Fatal(err)
	}
	return from
}

// TestDatagramsKeepSenderAddress checks that a datagram arrives from the address at which the receiver reaches its
// sender, so that a reply takes the opposite direction, and that a relay ignores datagrams of other senders.
func TestDatagramsKeepSenderAddress(t *testing.T) {
	m, c, peerAddrs := newMembers(t, 3)
	for _, p := range [][2]int{{0, 1}, {1, 0}, {2, 1}, {0, 2}} {
		sendDatagrams(t, m, c[p[0]], peerAddrs[p[0]][p[1]], 1)
		if from := receive(t, c[p[1]]); from != peerAddrs[p[1]][p[0]] {
			t.Errorf("%v: the datagram came from %v, want %v", p, from, peerAddrs[p[1]][p[0]])
		}
	}
	before := m.Counts()
	if _, err := c[2].WriteToUDPAddrPort([]byte("stranger"), peerAddrs[0][1]); err != nil { // member 0's relay
		t.Fatal(err)
	}
	sendDatagrams(t, m, c[0], peerAddrs[0][1], 1)
	if got := m.Counts().Forwarded - before.Forwarded; got != 1 {
		t.Errorf("%d datagrams forwarded, want 1 without that of a foreign sender", got)
	}
}

// TestFaultsApplyPerDirection checks that a blackhole affects one direction only, that a partition separates the
// two sides only, that duplicates arrive twice, and that all datagrams arrive again without faults.
func TestFaultsApplyPerDirection(t *testing.T) {
	m, c, peerAddrs := newMembers(t, 4)
	forwards := func(i, j int) bool { return sendDatagrams(t, m, c[i], peerAddrs[i][j], 1).Forwarded > 0 }
	m.SetFault(Blackhole, []int{0}, []int{1})
	if forwards(0, 1) || !forwards(1, 0) || !forwards(0, 2) {
		t.Error("a blackhole from 0 to 1 does not affect exactly that direction")
	}
	m.SetFault(Fault{}, nil, nil)
	m.Partition([]int{0, 1})
	if forwards(0, 2) || forwards(3, 1) || !forwards(0, 1) || !forwards(2, 3) {
		t.Error("a partition of 0 and 1 from the others does not cut exactly the links between the sides")
	}
	m.SetFault(Fault{Duplicate: 1}, nil, nil)
	if got := sendDatagrams(t, m, c[0], peerAddrs[0][3], 1); got.Duplicated != 1 {
		t.Errorf("%+v, want one duplicate", got)
	}
	receive(t, c[3])
	receive(t, c[3])
	m.SetFault(Fault{Loss: 0.5}, nil, nil)
	lost := 0
	for range 60 {
		lost += sendDatagrams(t, m, c[0], peerAddrs[0][1], 1).Lost
	}
	if lost < 15 || lost > 45 {
		t.Errorf("%d of 60 datagrams lost with a probability of 0.5", lost)
	}
}

// echo starts a server that returns what it receives.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestStreamFaults checks that a stream forwards everything, stalls and resumes with its direction, is cut at the
// given byte in each direction, and is not accepted where streams are refused.
func TestStreamFaults(t *testing.T) {
	var faults RelayFaults
	r, err := NewRelay(echo(t), &faults)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(timeout))
		return c
	}
	roundTrip := func(c net.Conn, text string) (reply string) {
		c.Write([]byte(text))
		b := make([]byte, len(text))
		n, _ := io.ReadFull(c, b)
		return string(b[:n])
	}
	c := dial()
	if got := roundTrip(c, "whole"); got != "whole" {
		t.Errorf("the reply is %q", got)
	}
	for name, f := range map[string]Fault{"stalled": {Stall: true}, "blackhole": Blackhole} {
		faults.Set(f, Fault{})
		c.Write([]byte("held"))
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, err := c.Read(make([]byte, 4)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d bytes and %v", name, n, err)
		}
		c.SetReadDeadline(time.Now().Add(timeout))
		faults.Set(Fault{}, Fault{})
		if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
			t.Errorf("%s, then without faults: %v", name, err)
		}
	}
	faults.Set(Fault{}, Fault{CloseAfterBytes: 3})
	if got := roundTrip(dial(), "answer"); got != "ans" {
		t.Errorf("closed after 3 bytes in the reverse direction, the reply is %q", got)
	}
	faults.Set(Fault{CloseAfterBytes: 2}, Fault{})
	if got := roundTrip(dial(), "question"); len(got) > 2 {
		t.Errorf("closed after 2 bytes in the forward direction, the reply is %q", got)
	}
	faults.Set(Fault{Refuse: true}, Fault{})
	if got := roundTrip(dial(), "hello"); got != "" {
		t.Errorf("refused, but the reply is %q", got)
	}
}
