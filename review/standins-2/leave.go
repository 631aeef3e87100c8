package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["leave-pipeline"] = leavePipeline }

// leaveSlack is how long after a client has closed its connection an attempt may still begin: 0.1 s, and 50 ms more
// on sockets.
const leaveSlack = 150 * time.Millisecond

// departures holds when the clients of requests closed their connections.
type departures struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (d *departures) leave(p *play, at time.Time, ids ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == nil {
		d.at = map[string]time.Time{}
	}
	for _, id := range ids {
		d.at[id] = at
	}
	p.rec.at(at, "client closes its connection with %d requests open, first %s", len(ids), ids[0])
}

// check returns the attempts that came to a server too late after their client had gone.
func (d *departures) check(p *play) (broken []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range p.fleet.all() {
		if left, ok := d.at[a.id]; ok && a.at.Sub(left) > leaveSlack {
			broken = append(broken, fmt.Sprintf("%s came to %s %d ms after its client had closed the connection", a.id, a.server, a.at.Sub(left).Milliseconds()))
		}
	}
	return broken
}

func usualWork(a arrival) time.Duration {
	if a.class == "slot-book" {
		return 140 * time.Millisecond
	}
	return 65 * time.Millisecond
}

// leavePipeline: a client sends some hundred commands at once and goes.
func leavePipeline(p *play) ([]string, error) {
	work := func(a arrival) time.Duration {
		if a.class == "slot-book" {
			return 240 * time.Millisecond // some above the mean, and the servers are in use
		}
		return 65 * time.Millisecond
	}
	if err := p.deploy(deployment{gateways: 3, sockets: 1024, memoryMB: 192}, 12, 4, 4, 32, work); err != nil {
		return nil, err
	}
	var load []*usual
	for i := range p.gateways {
		load = append(load, p.startUsual(i, 10, 4))
	}
	time.Sleep(3 * time.Second)
	var gone departures
	const rounds, commands = 4, 400
	for n := range rounds {
		c, err := net.Dial("tcp", p.gateways[0].addr)
		if err != nil {
			return nil, err
		}
		defer c.Close()
		var b bytes.Buffer
		var ids []string
		for i := range commands {
			q := request{id: fmt.Sprintf("p%d-%d", n, i), customer: fmt.Sprintf("%016x", 0xa000+n*commands+i), plan: "network", class: "slot-book",
				key: fmt.Sprintf("p%d-%d", n, i), wait: 6 * time.Second, units: 1, spread: 3}
			ids = append(ids, q.id)
			b.Write(q.encode())
		}
		p.rec.say("client sends %d commands at once, %d bytes", commands, b.Len())
		if _, err := c.Write(b.Bytes()); err != nil {
			return nil, err
		}
		if p.trouble {
			time.Sleep(10 * time.Millisecond)
			gone.leave(p, time.Now(), ids...)
			c.Close()
		} else { // it stays, reads all answers and goes
			c.SetReadDeadline(time.Now().Add(8 * time.Second))
			rd := bufio.NewReader(c)
			for range commands {
				if _, err := readAnswer(rd); err != nil {
					return nil, err
				}
			}
			gone.leave(p, time.Now(), ids...)
			c.Close()
		}
		time.Sleep(2 * time.Second)
	}
	for _, u := range load {
		u.end()
	}
	return gone.check(p), nil
}
