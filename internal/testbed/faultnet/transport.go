package faultnet

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// Routes maps the address of each other member to the relay that leads to it.
type Routes map[string]Route

// Route is the relay to one other member.
type Route struct{ Datagrams, Streams string }

// Routes returns the routes of one member of a mesh.
func (m *Mesh) Routes(member int) Routes {
	routes := Routes{}
	for j, a := range m.members {
		if j != member {
			routes[a.String()] = Route{m.sockets[member][j].LocalAddr().String(), m.relays[member][j].Addr()}
		}
	}
	return routes
}

// String encodes the routes for the environment of a member's process, where ParseRoutes decodes them.
func (r Routes) String() string {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings always marshal
	}
	return string(text)
}

// ParseRoutes decodes the output of String.
func ParseRoutes(text string) (r Routes, err error) {
	if err = json.Unmarshal([]byte(text), &r); err != nil {
		return nil, fmt.Errorf("parsing the routes of a mesh: %w", err)
	}
	return r, nil
}

// Transport is memberlist's network transport, except that it sends to other members by their relays. Members
// still know each other by their own addresses.
type Transport struct {
	*memberlist.NetTransport
	routes Routes
}

// NewTransport listens at a member's own address, host:port.
func NewTransport(address string, routes Routes) (*Transport, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("parsing a member's address: %w", err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("parsing a member's address: %w", err)
	}
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: n, Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		return nil, fmt.Errorf("opening a member's sockets: %w", err)
	}
	return &Transport{t, routes}, nil
}

// WriteTo implements memberlist.Transport.
func (t *Transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *Transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if r, ok := t.routes[a.Addr]; ok {
		a.Addr = r.Datagrams
	}
	return t.NetTransport.WriteToAddress(b, a)
}

// DialTimeout implements memberlist.Transport.
func (t *Transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *Transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if r, ok := t.routes[a.Addr]; ok {
		a.Addr = r.Streams
	}
	return t.NetTransport.DialAddressTimeout(a, timeout)
}

var _ memberlist.NodeAwareTransport = (*Transport)(nil)
