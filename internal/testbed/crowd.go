package testbed

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
	ID                         string // 16 hex digits
	Plan                       string
	Rate                       float64 // requests a second
	GatewayCount, FirstGateway int
	SurgeFactor                float64 // its rate is this many times as high from FloodFrom to FloodTo; 0: never
	SurgeFrom                  time.Duration
	SurgeTo                    time.Duration
}

// RequestClass is a class of requests as a crowd asks for it.
type RequestClass struct {
	Name     string
	Share    float64
	Units    float64
	Patience time.Duration
	Work     time.Duration // of a node
	Keyed    bool
}

// Outcome is how a request ended for its client.
type Outcome int

// The ends. Lost is none at all, or one that is no answer to the request.
const (
	OutcomeServed Outcome = iota
	OutcomeRefused
	OutcomeFailed
	OutcomeLost
)

// RequestResult is a request and its end, as the client saw them.
type RequestResult struct {
	ID, Customer, Plan, Class string
	Gateway                   int // of the crowd's list
	Outcome                   Outcome
	SentAt, EndedAt           time.Time
	Patience                  time.Duration
	Detail                    string // of what was lost
}

// LoadGenerator asks gateways for a time, by a seed.
type LoadGenerator struct {
	Gateways  []string
	Customers []Customer
	Classes   []RequestClass
	Seed      uint64
	OnResult  func(RequestResult) // is told of every end, from many goroutines

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
func (c *LoadGenerator) Run(ctx context.Context) {
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

func (c *LoadGenerator) customer(ctx context.Context, who *Customer, r *rand.Rand, start time.Time) {
	for n := 0; ; n++ {
		rate := who.Rate
		if since := time.Since(start); who.SurgeFactor > 0 && since >= who.SurgeFrom && since < who.SurgeTo {
			rate *= who.SurgeFactor
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
		e := RequestResult{ID: fmt.Sprintf("%s%08x", who.ID[8:], n), Customer: who.ID, Plan: who.Plan, Class: class.Name, Patience: patience}
		gateway := (who.FirstGateway + r.IntN(who.GatewayCount)) % len(c.Gateways)
		e.Gateway = gateway
		key := ""
		if class.Keyed {
			key = fmt.Sprintf(",k=%016x", r.Uint64())
		}
		list := fmt.Sprintf("c=%s,t=%s,d=%d%s,units=%g,spread=%d,first=%d", class.Name, who.Plan, patience.Milliseconds(), key,
			class.Units, who.GatewayCount, who.FirstGateway)
		words := []string{"Q.ASK", who.ID, e.ID, list}
		if class.Keyed {
			words = []string{"Q.DO", who.ID, e.ID, list, "a visit"}
		}
		c.wg.Go(func() {
			e.SentAt = time.Now()
			c.ask(&c.pools[gateway], words, &e)
			e.EndedAt = time.Now()
			c.OnResult(e)
		})
	}
}

func (c *LoadGenerator) class(r *rand.Rand) *RequestClass {
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
func (c *LoadGenerator) ask(p *pool, words []string, e *RequestResult) {
	for {
		conn, used, err := p.get()
		if err != nil {
			e.Outcome, e.Detail = OutcomeLost, err.Error()
			return
		}
		err = conn.Conn.SetDeadline(e.SentAt.Add(e.Patience + clientSlack))
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
			e.Outcome, e.Detail = OutcomeLost, err.Error()
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
func (e *RequestResult) kind(got string) {
	switch {
	case got == "$"+ReplyValue(e.ID):
		e.Outcome = OutcomeServed
	case got == "-BUSY" || strings.HasPrefix(got, "-BUSY "):
		e.Outcome = OutcomeRefused
	case strings.HasPrefix(got, "-"):
		e.Outcome, e.Detail = OutcomeFailed, got
	default:
		e.Outcome, e.Detail = OutcomeLost, fmt.Sprintf("the answer %q is not this request's", got)
	}
}
