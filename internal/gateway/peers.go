package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
)

const maxDatagramSize = 256 // bytes of a message between gateways; the same as peermsg.MaxSize

// PeerTransport sends messages to the other gateways, identified by their ranks. Messages may be lost. Send is
// called on the event loop and must not wait for the receiver.
type PeerTransport interface {
	Send(to int, text string) error
}

// peerSocket exchanges messages with the other gateways over UDP.
type peerSocket struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort // by rank
	ranks map[netip.AddrPort]int
}

func openPeerSocket(listen netip.AddrPort, addrs []netip.AddrPort) (*peerSocket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	p := &peerSocket{conn: conn, addrs: addrs, ranks: map[netip.AddrPort]int{}}
	for i, a := range addrs {
		p.ranks[a] = i
	}
	return p, nil
}

// Send sends a message to the gateway of a rank. Like any datagram, it may be lost. Send waits only while the
// socket's send buffer is full.
func (p *peerSocket) Send(to int, text string) error {
	if to < 0 || to >= len(p.addrs) || len(text) > maxDatagramSize {
		return fmt.Errorf("message of %d bytes to gateway %d can't be sent", len(text), to)
	}
	if _, err := p.conn.WriteToUDPAddrPort([]byte(text), p.addrs[to]); err != nil {
		return fmt.Errorf("sending to gateway %d: %w", to, err)
	}
	return nil
}

// receive passes on messages of known gateways until the socket is closed. Messages from other senders and
// oversized messages are dropped, because anyone can send to the port.
func (p *peerSocket) receive(deliver func(from int, text string), log *slog.Logger) {
	buf := make([]byte, maxDatagramSize+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Debug("reading from the peer socket failed", "err", err) // not for a peer that is down: on Linux, an unconnected socket isn't told that a message was refused
			continue
		}
		rank, ok := p.ranks[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > maxDatagramSize {
			continue
		}
		deliver(rank, string(buf[:n]))
	}
}
