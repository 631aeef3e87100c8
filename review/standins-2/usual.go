package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// usual is the usual traffic: clients that send one request after another at a steady rate, each over a connection of
// its own that it keeps.
type usual struct {
	p    *play
	stop chan struct{}
	wg   sync.WaitGroup
}

// startUsual starts clients of a gateway, each with so many requests a second.
func (p *play) startUsual(gatewayNo, clients int, perSecond float64) *usual {
	u := &usual{p: p, stop: make(chan struct{})}
	for i := range clients {
		offset := time.Duration(p.rng.Float64() / perSecond * float64(time.Second))
		u.wg.Go(func() { u.run(gatewayNo, i, offset, time.Duration(float64(time.Second)/perSecond)) })
	}
	return u
}

func (u *usual) end() {
	close(u.stop)
	u.wg.Wait()
}

func (u *usual) run(gatewayNo, no int, offset, every time.Duration) {
	var c net.Conn
	var rd *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	g := u.p.gateways[gatewayNo]
	for n := 0; ; n++ {
		select {
		case <-u.stop:
			return
		case <-time.After(offset):
		}
		offset = every
		q := request{id: fmt.Sprintf("u%d-%d-%d", gatewayNo, no, n), customer: fmt.Sprintf("%016x", 0x1000+gatewayNo*256+no), plan: "network",
			class: "slot-lookup", wait: 1200 * time.Millisecond, units: 1, spread: 3, first: 0}
		if n%3 == 2 {
			q.class, q.key, q.wait, q.units = "slot-book", fmt.Sprintf("k%s", q.id), 6*time.Second, 2
		}
		sent := time.Now()
		for try := 0; try < 2; try++ {
			if c == nil {
				var err error
				if c, err = net.Dial("tcp", g.addr); err != nil {
					c = nil
					break
				}
				rd = bufio.NewReader(c)
			}
			c.SetDeadline(sent.Add(q.wait + time.Second))
			_, err := c.Write(q.encode())
			answer := ""
			if err == nil {
				answer, err = readAnswer(rd)
			}
			if err == nil {
				u.p.rec.say("client %s %s after %.0f ms", q.id, answer, float64(time.Since(sent).Microseconds())/1000)
				break
			}
			c.Close()
			c = nil // the end of the connection crossed the request: once more on a new one
		}
	}
}
