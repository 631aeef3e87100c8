package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"strings"
	"syscall"
	"time"
)

func init() { cases["pipeline-stop"] = pipelineStop }

// spreadWork is exponential, as the site has it, with means from the brief's ranges; the same for a request in each run.
func spreadWork(a arrival) time.Duration {
	mean := 80 * time.Millisecond
	if a.class == "slot-book" {
		mean = 180 * time.Millisecond
	}
	h := fnv.New64a()
	h.Write([]byte(a.id))
	x := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return time.Duration(min(-math.Log(x), 4) * float64(mean))
}

// pipelineStop: a gateway is told to end while clients send some hundred commands at once; it is killed when the longest
// deadline and 0.7 s more have passed. What it had taken by then has to be answered.
func pipelineStop(p *play) ([]string, error) {
	const (
		killed   = 3750 * time.Millisecond // 3 s, as the longest deadline is more, and 0.7 s; and 50 ms more
		commands = 900
	)
	if err := p.deploy(deployment{gateways: 3, sockets: 1024, memoryMB: 192}, 12, 4, 4, 32, spreadWork); err != nil {
		return nil, err
	}
	var load []*usual
	for i := range p.gateways {
		load = append(load, p.startUsual(i, 10, 4))
	}
	time.Sleep(3 * time.Second)
	c, err := net.Dial("tcp", p.gateways[0].addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var b bytes.Buffer
	var requests []*request
	for i := range commands {
		q := &request{id: fmt.Sprintf("m-%d", i), customer: fmt.Sprintf("%016x", 0x9000+i), plan: "network", class: "slot-lookup",
			wait: 1200 * time.Millisecond, units: 1, spread: 3}
		if i%5 < 2 {
			q.class, q.key, q.wait, q.body = "slot-book", q.id, 6*time.Second, strings.Repeat("b", 4<<10)
		}
		requests = append(requests, q)
		b.Write(q.encode())
	}
	stopped := time.Now()
	if p.trouble {
		p.gateways[0].signal(syscall.SIGTERM)
		go func() {
			time.Sleep(time.Until(stopped.Add(killed)))
			p.gateways[0].signal(syscall.SIGKILL)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	sent := time.Now()
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	p.rec.at(sent, "client has sent %d commands at once, %d bytes", commands, b.Len())
	c.SetReadDeadline(sent.Add(10 * time.Second))
	rd := bufio.NewReader(c)
	answered := 0
	waiting := map[string]bool{} // requests without an answer whose clients still wait
	for _, q := range requests {
		answer, err := readAnswer(rd)
		if err == nil {
			answered++
			p.rec.say("client gets the answer to %s after %d ms: %s", q.id, time.Since(sent).Milliseconds(), answer)
			continue
		}
		p.rec.say("client gets no answer to %s: %v", q.id, err)
		waiting[q.id] = q.wait > time.Since(sent)
	}
	// Only requests that have come to a server are judged: these were surely read.
	var broken []string
	for _, a := range p.fleet.all() {
		if waiting[a.id] {
			waiting[a.id] = false
			broken = append(broken, fmt.Sprintf("%s, sent %d ms after SIGTERM, came to %s %d ms after it; its client still waits and is never answered", a.id,
				sent.Sub(stopped).Milliseconds(), a.server, a.at.Sub(stopped).Milliseconds()))
		}
	}
	fmt.Printf("%d of %d commands were answered, the last after %d ms\n", answered, commands, time.Since(sent).Milliseconds())
	if p.trouble {
		select {
		case <-p.gateways[0].exited:
		case <-time.After(5 * time.Second):
		}
		if err := p.gateways[0].start(); err != nil {
			return broken, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, u := range load {
		u.end()
	}
	return broken, nil
}
