package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["slow-stop"] = slowAtStop
}

// slowAtStop: a gateway is told to end while some clients write long requests slowly; it is killed when the longest
// deadline and 0.7 s more have passed. What it had taken by then has to be answered.
func slowAtStop(p *play) ([]string, error) {
	const (
		longest = time.Second // the longest deadline of these settings
		killed  = longest + 750*time.Millisecond
		began   = 400 * time.Millisecond
	)
	// ends is when a client has written its request whole, counted from the signal.
	ends := []time.Duration{1200 * time.Millisecond, 1320 * time.Millisecond, 1440 * time.Millisecond, 1630 * time.Millisecond, 1650 * time.Millisecond,
		1670 * time.Millisecond}
	if err := p.deploy(deployment{gateways: 3, sockets: 1024, memoryMB: 192, lookupWait: 400 * time.Millisecond, bookWait: longest},
		12, 4, 4, 32, usualWork); err != nil {
		return nil, err
	}
	var load []*usual
	for i := range p.gateways {
		load = append(load, p.startUsual(i, 10, 4))
	}
	time.Sleep(2 * time.Second)
	var conns []net.Conn
	for i := range ends {
		c, err := net.Dial("tcp", p.gateways[0].addr)
		if err != nil {
			return nil, err
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		q := request{id: fmt.Sprintf("w-%d", i), customer: fmt.Sprintf("%016x", 0x9000+i), plan: "network", class: "slot-lookup",
			wait: 400 * time.Millisecond, units: 1, spread: 3}
		if _, err := c.Write(q.encode()); err != nil {
			return nil, err
		}
		if _, err := readAnswer(bufio.NewReader(c)); err != nil {
			return nil, err
		}
		conns = append(conns, c)
	}
	stopped := time.Now()
	if p.trouble {
		p.gateways[0].signal(syscall.SIGTERM)
	}
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Go(func() {
			q := request{id: fmt.Sprintf("slow-%d", i), customer: fmt.Sprintf("%016x", 0x9000+i), plan: "network", class: "slot-book",
				key: fmt.Sprintf("slow-%d", i), wait: longest, units: 1, spread: 3, body: strings.Repeat("x", 48<<10)}
			time.Sleep(time.Until(stopped.Add(began)))
			result := p.slowRequest(c, &q, stopped.Add(ends[i]))
			p.rec.say("client of %s: %s", q.id, result.text)
			if result.lost {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("%s was written whole %d ms after SIGTERM and never answered: %s", q.id,
					result.written.Sub(stopped).Milliseconds(), result.text))
			}
		})
	}
	time.Sleep(time.Until(stopped.Add(killed)))
	if p.trouble {
		p.gateways[0].signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		if err := p.gateways[0].start(); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	for _, u := range load {
		u.end()
	}
	return broken, nil
}

type slowResult struct {
	text    string
	written time.Time // of the last byte
	lost    bool      // written whole, and the connection ended with no answer
}

// slowRequest writes a request evenly until a time and reads its answer. If the gateway ends the connection before the
// request is whole, the request was not taken.
func (p *play) slowRequest(c net.Conn, q *request, ends time.Time) (r slowResult) {
	answers := make(chan error, 1)
	var answer string
	go func() {
		var err error
		answer, err = readAnswer(bufio.NewReader(c))
		answers <- err
	}()
	p.rec.say("client begins to write %s", q.id)
	b := q.encode()
	const pieces = 40
	every := time.Until(ends) / pieces
	for n := range pieces {
		piece := b[len(b)*n/pieces : len(b)*(n+1)/pieces]
		if _, err := c.Write(piece); err != nil {
			return slowResult{text: "the gateway ended the connection before the request was whole: " + err.Error()}
		}
		if n < pieces-1 {
			time.Sleep(every)
		}
	}
	r.written = time.Now()
	p.rec.say("client has written %s whole", q.id)
	err := <-answers
	switch {
	case err == nil:
		r.text = answer
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.ErrUnexpectedEOF):
		r.text, r.lost = "the connection ended with no answer: "+err.Error(), true
	default:
		r.text, r.lost = "no answer: "+err.Error(), true
	}
	return r
}
