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

const patience = 10 * time.Second // for what must come

// ends are members' sockets, and what each sees the others under.
func ends(t *testing.T, n int) (*Mesh, []*net.UDPConn, [][]netip.AddrPort) {
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
	seen := make([][]netip.AddrPort, n)
	for i := range n {
		for _, a := range m.PeerAddrs(i) {
			seen[i] = append(seen[i], netip.MustParseAddrPort(a))
		}
	}
	return m, conns, seen
}

// say sends so many datagrams and waits until the mesh has dealt with all.
func say(t *testing.T, m *Mesh, c *net.UDPConn, to netip.AddrPort, n int) (change Counts) {
	t.Helper()
	before := m.Counts()
	for k := 1; k <= n; k++ {
		if _, err := c.WriteToUDPAddrPort([]byte("hi"), to); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) { // one at a time: none is lost in the kernel
			now := m.Counts()
			change = Counts{Forwarded: now.Forwarded - before.Forwarded, Lost: now.Lost - before.Lost, Duplicated: now.Duplicated - before.Duplicated}
			if change.Forwarded+change.Lost-change.Duplicated >= k || time.Now().After(end) {
				break
			}
		}
	}
	return change
}

func take(t *testing.T, c *net.UDPConn) netip.AddrPort {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(patience))
	_, from, err := c.ReadFromUDPAddrPort(make([]byte, 16))
	if err != nil {
		t.Fatal(err)
	}
	return from
}

// TestMembersKnowEachOtherByAddress: what comes from a member comes from the address under which it is seen, so that an answer goes
// back the same way; a stranger's datagram to a relay goes nowhere.
func TestMembersKnowEachOtherByAddress(t *testing.T) {
	m, c, seen := ends(t, 3)
	for _, p := range [][2]int{{0, 1}, {1, 0}, {2, 1}, {0, 2}} {
		say(t, m, c[p[0]], seen[p[0]][p[1]], 1)
		if from := take(t, c[p[1]]); from != seen[p[1]][p[0]] {
			t.Errorf("%v: it came from %v, and %v is known", p, from, seen[p[1]][p[0]])
		}
	}
	before := m.Counts()
	if _, err := c[2].WriteToUDPAddrPort([]byte("stranger"), seen[0][1]); err != nil { // 0's way
		t.Fatal(err)
	}
	say(t, m, c[0], seen[0][1], 1)
	if got := m.Counts().Forwarded - before.Forwarded; got != 1 {
		t.Errorf("%d passed, one of them a stranger's", got)
	}
}

// TestFaultsAreOfOneWay: a cut one way leaves the other; a part cuts between the sides alone; doubles come twice; healed, all pass.
func TestFaultsAreOfOneWay(t *testing.T) {
	m, c, seen := ends(t, 4)
	passes := func(i, j int) bool { return say(t, m, c[i], seen[i][j], 1).Forwarded > 0 }
	m.SetFault(Blackhole, []int{0}, []int{1})
	if passes(0, 1) || !passes(1, 0) || !passes(0, 2) {
		t.Error("a cut from 0 to 1 is not of that way alone")
	}
	m.SetFault(Fault{}, nil, nil)
	m.Partition([]int{0, 1})
	if passes(0, 2) || passes(3, 1) || !passes(0, 1) || !passes(2, 3) {
		t.Error("a part of 0 and 1 from the others does not cut just between them")
	}
	m.SetFault(Fault{Duplicate: 1}, nil, nil)
	if got := say(t, m, c[0], seen[0][3], 1); got.Duplicated != 1 {
		t.Errorf("%+v, want a double", got)
	}
	take(t, c[3])
	take(t, c[3])
	m.SetFault(Fault{Loss: 0.5}, nil, nil)
	lost := 0
	for range 60 {
		lost += say(t, m, c[0], seen[0][1], 1).Lost
	}
	if lost < 15 || lost > 45 {
		t.Errorf("%d of 60 lost by half", lost)
	}
}

// echo answers every byte with itself, until its connections end.
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

// TestStreamsHaveFaults: a stream passes all, stands still while its way does and goes on after it, breaks at the byte that it was
// told, each way by itself, and none is taken where they are refused.
func TestStreamsHaveFaults(t *testing.T) {
	var ways RelayFaults
	r, err := NewRelay(echo(t), &ways)
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
		c.SetDeadline(time.Now().Add(patience))
		return c
	}
	says := func(c net.Conn, text string) (back string) {
		c.Write([]byte(text))
		b := make([]byte, len(text))
		n, _ := io.ReadFull(c, b)
		return string(b[:n])
	}
	c := dial()
	if got := says(c, "whole"); got != "whole" {
		t.Errorf("%q came back", got)
	}
	for name, f := range map[string]Fault{"stalled": {Stall: true}, "cut": Blackhole} {
		ways.Set(f, Fault{})
		c.Write([]byte("held"))
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, err := c.Read(make([]byte, 4)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d bytes and %v", name, n, err)
		}
		c.SetReadDeadline(time.Now().Add(patience))
		ways.Set(Fault{}, Fault{})
		if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
			t.Errorf("%s and mended: %v", name, err)
		}
	}
	ways.Set(Fault{}, Fault{CloseAfterBytes: 3})
	if got := says(dial(), "answer"); got != "ans" {
		t.Errorf("cut at the third byte on the way back, %q came", got)
	}
	ways.Set(Fault{CloseAfterBytes: 2}, Fault{})
	if got := says(dial(), "question"); len(got) > 2 {
		t.Errorf("cut at the second byte on the way there, %q came back", got)
	}
	ways.Set(Fault{Refuse: true}, Fault{})
	if got := says(dial(), "hello"); got != "" {
		t.Errorf("refused, and %q came back", got)
	}
}
