package h2

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/testbed"
)

// BenchmarkLookup measures what the whole gateway allocates for a small lookup, from the client to the node and back, one at a
// time, by each protocol. Client and node allocate nothing, as they send prepared bytes.
func BenchmarkLookup(b *testing.B) {
	for _, protocol := range []string{"resp", "h2"} {
		b.Run(protocol, func(b *testing.B) {
			node := startInstantNode(b)
			r := newHarnessWithNodes(b, testPlatform(), 1, func(cfg *gateway.Config, _ *FrontendConfig) {
				cfg.KnownServers.Servers[0].Addr = node
				cfg.Tuning.Nodes.ReuseDelay = 0 // one connection carries all requests, so that none is dialed during the measurement
				d, err := testbed.NewDiscovery(cfg.KnownServers.Version, cfg.KnownServers)
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(d.Close)
				cfg.Discovery = d.Addr()
				for i := range cfg.Settings.Decide.Plans {
					cfg.Settings.Decide.Plans[i].Rate, cfg.Settings.Decide.Plans[i].Burst = 1e6, 1e6
				}
			})
			prepare := h2Lookup
			addr := r.frontend.Addr().String()
			if protocol == "resp" {
				prepare, addr = respLookup, r.respAddr
			}
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			defer nc.Close()
			if err := nc.SetDeadline(time.Now().Add(10 * time.Minute)); err != nil {
				b.Fatal(err)
			}
			lookupOnce := prepare(b, nc)
			lookupOnce(0)
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				lookupOnce(i)
			}
		})
	}
}

// startInstantNode starts a node that answers each command at once. It expects one command at a time on a connection.
func startInstantNode(b *testing.B) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	answer := []byte(testbed.FormatReply("slot 4"))
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				buf := make([]byte, 4<<10)
				for {
					if _, err := nc.Read(buf); err != nil {
						return
					}
					if _, err := nc.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// respLookup prepares lookups by RESP2. The returned function sends the i-th one and reads its response.
func respLookup(b *testing.B, nc net.Conn) func(i int) {
	const list = "c=slot-lookup,t=network,d=20000,spread=1,first=0"
	cmd := fmt.Appendf(nil, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n%016x\r\n$10\r\n%010d\r\n$%d\r\n%s\r\n", 1, 0, len(list), list)
	id := cmd[bytes.Index(cmd, []byte("0000000000\r\n$")):][:10]
	want, got := []byte("$6\r\nslot 4\r\n"), make([]byte, 12)
	return func(i int) {
		putDigits(id, i)
		if _, err := nc.Write(cmd); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(nc, got); err != nil || !bytes.Equal(got, want) {
			b.Fatalf("lookup %d: got %q, %v", i, got, err)
		}
	}
}

// h2Lookup prepares lookups by HTTP/2, with fields that are not indexed (RFC 7541, 6.2.2). The returned function sends the i-th
// one and reads its response.
func h2Lookup(b *testing.B, nc net.Conn) func(i int) {
	var block []byte
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/v1/ask/slot-lookup"}, {fieldCustomer, fmt.Sprintf("%016x", 1)},
		{fieldPlan, "network"}, {fieldClientTimeout, "20000"}, {fieldID, "0000000000"}} {
		block = append(append(append(append(block, 0, byte(len(f[0]))), f[0]...), byte(len(f[1]))), f[1]...)
	}
	const headerLen = 9 // frame header (RFC 9113, 4.1)
	frame := append([]byte{0, 0, byte(len(block)), byte(http2.FrameHeaders), byte(http2.FlagHeadersEndHeaders | http2.FlagHeadersEndStream), 0, 0, 0, 0}, block...)
	id := frame[len(frame)-10:]
	preface := []byte(http2.ClientPreface)
	preface = append(preface, 0, 0, 0, byte(http2.FrameSettings), 0, 0, 0, 0, 0)
	preface = append(preface, 0, 0, 4, byte(http2.FrameWindowUpdate), 0, 0, 0, 0, 0, 0x40, 0, 0, 0)
	if _, err := nc.Write(preface); err != nil {
		b.Fatal(err)
	}
	buf := make([]byte, 16<<10)
	return func(i int) {
		putDigits(id, i)
		stream := uint32(2*i + 1)
		binary.BigEndian.PutUint32(frame[5:], stream)
		if _, err := nc.Write(frame); err != nil {
			b.Fatal(err)
		}
		for {
			if _, err := io.ReadFull(nc, buf[:headerLen]); err != nil {
				b.Fatal(err)
			}
			n, frameStream := int(buf[0])<<16|int(buf[1])<<8|int(buf[2]), binary.BigEndian.Uint32(buf[5:])
			kind, flags := http2.FrameType(buf[3]), http2.Flags(buf[4])
			if _, err := io.ReadFull(nc, buf[:n]); err != nil {
				b.Fatal(err)
			}
			if kind == http2.FrameData && frameStream == stream && flags.Has(http2.FlagDataEndStream) {
				if string(buf[:n]) != "slot 4" {
					b.Fatalf("got %q", buf[:n])
				}
				return
			}
		}
	}
}

// putDigits writes n in decimal, with leading zeros.
func putDigits(digits []byte, n int) {
	for i := len(digits) - 1; i >= 0; i, n = i-1, n/10 {
		digits[i] = byte('0' + n%10)
	}
}
