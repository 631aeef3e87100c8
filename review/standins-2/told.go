package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"time"
)

func init() { cases["told"] = toldTime }

// toldSlack is by how much the time that an attempt tells its server may exceed what is left to the client.
const toldSlack = 150 * time.Millisecond

// toldTime: a client sends some hundred commands at once on one connection while a cell of servers hangs. The time that
// attempts tell their servers has to fit into what is left to the client.
func toldTime(p *play) ([]string, error) {
	if err := p.deploy(deployment{gateways: 3, sockets: 1024, memoryMB: 192}, 12, 4, 4, 32, usualWork); err != nil {
		return nil, err
	}
	var load []*usual
	for i := range p.gateways {
		load = append(load, p.startUsual(i, 10, 4))
	}
	time.Sleep(3 * time.Second)
	if p.trouble {
		for _, s := range p.fleet.servers[:3] { // of four in the cell
			p.rec.say("server %s hangs", s.id)
			s.hang(true)
		}
	}
	c, err := net.Dial("tcp", p.gateways[0].addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var b bytes.Buffer
	requests := map[string]*request{}
	const commands = 400
	for i := range commands {
		q := &request{id: fmt.Sprintf("m-%d", i), customer: fmt.Sprintf("%016x", 0x9000+i), plan: "network", class: "slot-lookup",
			wait: time.Second, units: 1, spread: 3}
		if i%3 == 1 {
			q.class, q.key, q.wait = "slot-book", q.id, 6*time.Second
		}
		requests[q.id] = q
		b.Write(q.encode())
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	sent := time.Now()
	p.rec.at(sent, "client has sent %d commands at once, %d bytes", commands, b.Len())
	c.SetReadDeadline(sent.Add(8 * time.Second))
	rd := bufio.NewReader(c)
	for i := range commands {
		answer, err := readAnswer(rd)
		if err != nil {
			p.rec.say("client got %d answers: %v", i, err)
			break
		}
		p.rec.say("client gets the answer to m-%d after %d ms: %s", i, time.Since(sent).Milliseconds(), answer)
	}
	for _, s := range p.fleet.servers {
		s.hang(false)
	}
	time.Sleep(500 * time.Millisecond)
	for _, u := range load {
		u.end()
	}
	var broken []string
	for _, a := range p.fleet.all() {
		q := requests[a.id]
		if q == nil {
			continue
		}
		if left := q.wait - a.at.Sub(sent); a.wait > left+toldSlack {
			broken = append(broken, fmt.Sprintf("%s came to %s %d ms after its client had sent it, with %d ms to answer, when %d ms were left to the client",
				a.id, a.server, a.at.Sub(sent).Milliseconds(), a.wait.Milliseconds(), left.Milliseconds()))
		}
	}
	return broken, nil
}
