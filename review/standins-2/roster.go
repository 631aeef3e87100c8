package main

import (
	"fmt"
	"time"
)

func init() { cases["slow-discovery"] = slowDiscovery }

const (
	toldWithin = 6 * time.Second        // a change counts as told so long after discovery had it
	drainGrace = 300 * time.Millisecond // 250 ms of the settings, and 50 ms on sockets
)

// slowDiscovery: discovery answers every call, 5 s late, and servers begin to drain.
func slowDiscovery(p *play) ([]string, error) {
	const (
		slow   = 5 * time.Second
		drains = 3
		watch  = 14 * time.Second // after each change
	)
	if err := p.deploy(deployment{gateways: 3, sockets: 1024, memoryMB: 192}, 12, 4, 4, 32, usualWork); err != nil {
		return nil, err
	}
	var load []*usual
	for i := range p.gateways {
		load = append(load, p.startUsual(i, 20, 4))
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		p.rec.say("discovery answers %v late from now on", slow)
		p.disc.slowDown(slow)
	}
	time.Sleep(8 * time.Second)
	told := map[string]time.Time{}
	for i := range drains {
		s := p.fleet.servers[4*i]
		at := p.disc.drain(s.id)
		p.rec.at(at, "discovery has it that %s drains", s.id)
		told[s.id] = at.Add(toldWithin)
		if !p.trouble {
			told[s.id] = at
		}
		time.Sleep(watch)
	}
	for _, u := range load {
		u.end()
	}
	var broken []string
	for _, a := range p.fleet.all() {
		if at, ok := told[a.server]; ok && a.at.Sub(at) > drainGrace {
			broken = append(broken, fmt.Sprintf("%s came to %s %d ms after the drain counts as told", a.id, a.server, a.at.Sub(at).Milliseconds()))
		}
	}
	return broken, nil
}
