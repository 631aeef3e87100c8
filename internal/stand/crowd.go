package stand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Customer is one clinic of a crowd.
type Customer struct {
	ID            string // 16 hex digits
	Plan          string
	Rate          float64 // requests a second
	Spread, First int
	Flood         float64 // its rate is this many times as high from FloodFrom to FloodTo; 0: never
	FloodFrom     time.Duration
	FloodTo       time.Duration
}

// ClassMix is a class of requests as a crowd asks for it.
type ClassMix struct {
	Name     string
	Share    float64
	Units    float64
	Patience time.Duration
	Work     time.Duration // of a node
	Keyed    bool
}

// Kind is how a request ended for its client.
type Kind int

// The ends. Lost is none at all, or one that is no answer to the request.
const (
	WasServed Kind = iota
	WasRefused
	WasFailed
	WasLost
)

// Ended is a request and its end, as the client saw them.
type Ended struct {
	ID, Customer, Plan, Class string
	Gateway                   int // of the crowd's list
	Kind                      Kind
	Sent, At                  time.Time
	Patience                  time.Duration
	Detail                    string // of what was lost
}

// Crowd asks gateways for a time, by a seed.
type Crowd struct {
	Gateways  []string
	Customers []Customer
	Classes   []ClassMix
	Seed      uint64
	Each      func(Ended) // is told of every end, from many goroutines

	pools []pool
	wg    sync.WaitGroup
}

// pool keeps idle connections to a gateway.
type pool struct {
	mu   sync.Mutex
	idle []*Client
	addr string
}

// get is a connection, and whether it was used before.
func (p *pool) get() (*Client, bool, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.mu.Unlock()
	c, err := Dial(p.addr)
	return c, false, err
}

func (p *pool) put(c *Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// Run asks until the context ends and returns when every request has ended. Arrivals don't wait for answers.
func (c *Crowd) Run(ctx context.Context) {
	c.pools = make([]pool, len(c.Gateways))
	for i := range c.pools {
		c.pools[i].addr = c.Gateways[i]
	}
	start := time.Now()
	for i := range c.Customers {
		r := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		c.wg.Go(func() { c.customer(ctx, &c.Customers[i], r, start) })
	}
	c.wg.Wait()
	for i := range c.pools {
		for _, conn := range c.pools[i].idle {
			conn.Close()
		}
	}
}

func (c *Crowd) customer(ctx context.Context, who *Customer, r *rand.Rand, start time.Time) {
	for n := 0; ; n++ {
		rate := who.Rate
		if since := time.Since(start); who.Flood > 0 && since >= who.FloodFrom && since < who.FloodTo {
			rate *= who.Flood
		}
		t := time.NewTimer(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		class := c.class(r)
		patience := time.Duration((0.5 + r.Float64()/2) * float64(class.Patience))
		e := Ended{ID: fmt.Sprintf("%s%08x", who.ID[8:], n), Customer: who.ID, Plan: who.Plan, Class: class.Name, Patience: patience}
		gateway := (who.First + r.IntN(who.Spread)) % len(c.Gateways)
		e.Gateway = gateway
		key := ""
		if class.Keyed {
			key = fmt.Sprintf(",k=%016x", r.Uint64())
		}
		list := fmt.Sprintf("c=%s,t=%s,d=%d%s,units=%g,spread=%d,first=%d", class.Name, who.Plan, patience.Milliseconds(), key,
			class.Units, who.Spread, who.First)
		words := []string{"Q.ASK", who.ID, e.ID, list}
		if class.Keyed {
			words = []string{"Q.DO", who.ID, e.ID, list, "a visit"}
		}
		c.wg.Go(func() {
			e.Sent = time.Now()
			c.ask(&c.pools[gateway], words, &e)
			e.At = time.Now()
			c.Each(e)
		})
	}
}

func (c *Crowd) class(r *rand.Rand) *ClassMix {
	x := r.Float64()
	for i := range c.Classes {
		if x -= c.Classes[i].Share; x < 0 {
			return &c.Classes[i]
		}
	}
	return &c.Classes[len(c.Classes)-1]
}

const clientSlack = 2 * time.Second // past its patience a client still reads, to tell late from lost

// ask sends one request. A connection that the gateway closed while the request was on its way is replaced once, as
// the protocol has it.
func (c *Crowd) ask(p *pool, words []string, e *Ended) {
	for {
		conn, used, err := p.get()
		if err != nil {
			e.Kind, e.Detail = WasLost, err.Error()
			return
		}
		err = conn.Conn.SetDeadline(e.Sent.Add(e.Patience + clientSlack))
		got := ""
		if err == nil {
			err = conn.Send(words...)
		}
		if err == nil {
			got, err = conn.Read()
		}
		if err != nil {
			conn.Close()
			if used && !isTimeout(err) {
				continue
			}
			e.Kind, e.Detail = WasLost, err.Error()
			return
		}
		e.kind(got)
		p.put(conn)
		return
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout() && !errors.Is(err, io.EOF)
}

// kind reads an answer.
func (e *Ended) kind(got string) {
	switch {
	case got == "$"+Value(e.ID):
		e.Kind = WasServed
	case got == "-BUSY" || strings.HasPrefix(got, "-BUSY "):
		e.Kind = WasRefused
	case strings.HasPrefix(got, "-"):
		e.Kind, e.Detail = WasFailed, got
	default:
		e.Kind, e.Detail = WasLost, fmt.Sprintf("the answer %q is not this request's", got)
	}
}
