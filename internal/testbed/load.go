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

// Customer is a customer of the load generator.
type Customer struct {
	ID                         string // 16 hex digits
	Plan                       string
	Rate                       float64 // requests per second
	GatewayCount, FirstGateway int
	SurgeFactor                float64 // multiplies Rate from SurgeFrom to SurgeTo; 0: no surge
	SurgeFrom                  time.Duration
	SurgeTo                    time.Duration
}

// Customers returns a number of customers of a plan who send at one rate, in requests per second, to a gateway each.
func Customers(n int, plan string, rate float64) []Customer {
	customers := make([]Customer, n)
	for i := range customers {
		customers[i] = Customer{ID: fmt.Sprintf("%016x", i+1), Plan: plan, Rate: rate, GatewayCount: 1}
	}
	return customers
}

// RequestClass is a class of requests and its share of the load.
type RequestClass struct {
	Name     string
	Share    float64
	Units    float64
	Patience time.Duration
	Work     time.Duration // time that a node needs for a request
	Keyed    bool
}

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes. Lost means no reply, or one that does not belong to the request.
const (
	OutcomeServed Outcome = iota
	OutcomeRefused
	OutcomeFailed
	OutcomeLost
)

// RequestResult is a request and its outcome, as the client saw them.
type RequestResult struct {
	ID, Customer, Plan, Class string
	Gateway                   int // index into LoadGenerator.Gateways
	Outcome                   Outcome
	SentAt, EndedAt           time.Time
	Patience                  time.Duration
	Detail                    string // of a failed or lost request
}

// LoadGenerator sends requests to gateways, with arrival times and choices drawn by a seed.
type LoadGenerator struct {
	Gateways  []string
	Customers []Customer
	Classes   []RequestClass
	Seed      uint64
	OnResult  func(RequestResult) // is called with every result, from many goroutines

	pools []pool
	wg    sync.WaitGroup
}

// pool keeps idle connections to a gateway.
type pool struct {
	mu   sync.Mutex
	idle []*Client
	addr string
}

// get returns a connection and whether it was used before.
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

// Run sends requests until the context ends, and returns when all have ended. The load is open-loop: arrivals do
// not wait for replies.
func (g *LoadGenerator) Run(ctx context.Context) {
	g.pools = make([]pool, len(g.Gateways))
	for i := range g.pools {
		g.pools[i].addr = g.Gateways[i]
	}
	start := time.Now()
	for i := range g.Customers {
		r := rand.New(rand.NewPCG(g.Seed, uint64(i)))
		g.wg.Go(func() { g.sendRequests(ctx, &g.Customers[i], r, start) })
	}
	g.wg.Wait()
	for i := range g.pools {
		for _, conn := range g.pools[i].idle {
			conn.Close()
		}
	}
}

func (g *LoadGenerator) sendRequests(ctx context.Context, customer *Customer, r *rand.Rand, start time.Time) {
	for n := 0; ; n++ {
		rate := customer.Rate
		if since := time.Since(start); customer.SurgeFactor > 0 && since >= customer.SurgeFrom && since < customer.SurgeTo {
			rate *= customer.SurgeFactor
		}
		t := time.NewTimer(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		class := g.pickClass(r)
		patience := time.Duration((0.5 + r.Float64()/2) * float64(class.Patience))
		result := RequestResult{ID: fmt.Sprintf("%s%08x", customer.ID[8:], n), Customer: customer.ID, Plan: customer.Plan, Class: class.Name, Patience: patience}
		gateway := (customer.FirstGateway + r.IntN(customer.GatewayCount)) % len(g.Gateways)
		result.Gateway = gateway
		key := ""
		if class.Keyed {
			key = fmt.Sprintf(",k=%016x", r.Uint64())
		}
		params := fmt.Sprintf("c=%s,t=%s,d=%d%s,units=%g,spread=%d,first=%d", class.Name, customer.Plan, patience.Milliseconds(), key,
			class.Units, customer.GatewayCount, customer.FirstGateway)
		args := []string{"Q.ASK", customer.ID, result.ID, params}
		if class.Keyed {
			args = []string{"Q.DO", customer.ID, result.ID, params, "a visit"}
		}
		g.wg.Go(func() {
			result.SentAt = time.Now()
			result.EndedAt = g.send(&g.pools[gateway], args, &result)
			g.OnResult(result)
		})
	}
}

func (g *LoadGenerator) pickClass(r *rand.Rand) *RequestClass {
	x := r.Float64()
	for i := range g.Classes {
		if x -= g.Classes[i].Share; x < 0 {
			return &g.Classes[i]
		}
	}
	return &g.Classes[len(g.Classes)-1]
}

const readGrace = 2 * time.Second // how long a client reads beyond its patience, to distinguish late replies from lost ones

// send sends a request and returns when its reply was received or it was lost. The gateway may close an idle connection while
// a request is on its way; as the protocol requires, the client then sends it again on another connection.
func (g *LoadGenerator) send(p *pool, args []string, result *RequestResult) (endedAt time.Time) {
	for {
		conn, reused, err := p.get()
		if err != nil {
			result.Outcome, result.Detail = OutcomeLost, err.Error()
			return time.Now()
		}
		err = conn.Conn.SetDeadline(result.SentAt.Add(result.Patience + readGrace))
		reply := ""
		if err == nil {
			err = conn.Send(args...)
		}
		if err == nil {
			reply, err = conn.Read()
		}
		if err != nil {
			conn.Close()
			if reused && !isTimeout(err) {
				continue
			}
			result.Outcome, result.Detail = OutcomeLost, err.Error()
			return time.Now()
		}
		result.classify(reply)
		endedAt = conn.ReceivedAt()
		p.put(conn)
		return endedAt
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout() && !errors.Is(err, io.EOF)
}

// classify sets the outcome by the reply.
func (r *RequestResult) classify(reply string) {
	switch {
	case reply == "$"+ReplyValue(r.ID):
		r.Outcome = OutcomeServed
	case reply == "-BUSY" || strings.HasPrefix(reply, "-BUSY "):
		r.Outcome = OutcomeRefused
	case strings.HasPrefix(reply, "-"):
		r.Outcome, r.Detail = OutcomeFailed, reply
	default:
		r.Outcome, r.Detail = OutcomeLost, fmt.Sprintf("the reply %q does not belong to this request", reply)
	}
}
