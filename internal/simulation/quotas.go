package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sloepick/decide"
)

const (
	serverLatency       = 50 * time.Millisecond // same for every server, as only quotas are examined
	gatewaysPerServer   = 2
	requestTimeout      = time.Second
	maxPersistedBuckets = 1 << 16 // in one write of a gateway
)

// Customer is a load generator: it requests Rate units a second on average, in requests of UnitsPerRequest units at random
// intervals, each at a random gateway of its set.
type Customer struct {
	ID, Plan                   string
	Rate, UnitsPerRequest      float64
	FirstGateway, GatewayCount int
}

// CustomerTotals counts what all gateways together admitted of a customer, and compares it with an exact bucket: the one
// that a single gateway would keep if it received all requests.
type CustomerTotals struct {
	Requested, Admitted float64 // units, as in the fields below
	AdmittedOverQuota   float64 // part of Admitted that the exact bucket had no room for
	RefusedWithRoom     float64 // refused while half of the burst or more was available

	available float64 // units in the exact bucket
	updatedAt time.Duration
}

// QuotaFleet is the decision modules of many gateways, the messages between them, and their customers. Every server answers
// every request successfully after serverLatency.
type QuotaFleet struct {
	Kernel *Kernel
	Net    *Network
	Totals map[string]*CustomerTotals // by customer

	IntakeDrops  int           // messages dropped because they arrived faster than PeerIntake
	MessagesSent int           // between gateways, including those dropped or lost
	TotalWait    time.Duration // of all requests, for answers from coordinators
	Requests     int

	config      decide.Config
	plans       map[string]*decide.Plan
	gateways    []*decide.Gateway
	intake      []intakeLimiter
	generations []int                              // number of each gateway's process; timers and responses of an earlier one are ignored
	persisted   []map[uint64]decide.BucketSnapshot // buckets on each gateway's disk, by key; nil: nothing is persisted
	moduleSeeds *rand.Rand
	servers     []decide.Server
	pending     map[string]*pendingRequest
	rnd         *rand.Rand
}

type pendingRequest struct {
	customer *Customer
	issuedAt time.Duration
}

// intakeLimiter is a leaky bucket that limits the messages a gateway accepts to a rate, with a burst of one second's worth.
type intakeLimiter struct {
	level     float64
	updatedAt time.Duration
}

func (b *intakeLimiter) take(now time.Duration, rate float64) bool {
	b.level = max(0, b.level-rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.level+1 > rate {
		return false
	}
	b.level++
	return true
}

// NewQuotaFleet starts n gateways with a configuration, in which it sets Gateways and Rank.
func NewQuotaFleet(k *Kernel, net *Network, conf decide.Config, n int) (*QuotaFleet, error) {
	conf.Gateways = n
	q := &QuotaFleet{Kernel: k, Net: net, Totals: map[string]*CustomerTotals{}, config: conf, plans: map[string]*decide.Plan{}, intake: make([]intakeLimiter, n),
		pending: map[string]*pendingRequest{}, rnd: k.RandomStream("askers"), moduleSeeds: k.RandomStream("modules"), generations: make([]int, n), gateways: make([]*decide.Gateway, n)}
	for i := range conf.Plans {
		q.plans[conf.Plans[i].Name] = &conf.Plans[i]
	}
	for i := range max(2, n/gatewaysPerServer) {
		q.servers = append(q.servers, decide.Server{ID: fmt.Sprintf("s%04d", i), Zone: conf.Zone})
	}
	for i := range n {
		if err := q.startGateway(i); err != nil {
			return nil, err
		}
	}
	return q, nil
}

// startGateway starts a gateway's process.
func (q *QuotaFleet) startGateway(i int) error {
	conf := q.config
	conf.Rank = i
	g, err := decide.New(conf, q.moduleSeeds.Int64())
	if err != nil {
		return err
	}
	q.gateways[i] = g
	q.generations[i]++
	q.handle(i, decide.ServerListUpdate{Kind: decide.ListFull, Servers: q.servers})
	return nil
}

// PersistBuckets makes every gateway write its changed buckets to its disk at an interval.
func (q *QuotaFleet) PersistBuckets(interval time.Duration) {
	q.persisted = make([]map[uint64]decide.BucketSnapshot, len(q.gateways))
	for i := range q.gateways {
		q.persisted[i] = map[uint64]decide.BucketSnapshot{}
		q.Kernel.Every(interval, interval, func() bool {
			for _, bucket := range q.gateways[i].AppendChanged(nil, maxPersistedBuckets) {
				q.persisted[i][bucket.Key] = bucket
			}
			return true
		})
	}
}

// PowerLoss restarts all gateways at the same time, with the buckets on their disks if they persist any. No virtual time
// passes, so nothing leaks from the buckets in between.
func (q *QuotaFleet) PowerLoss() error {
	for i := range q.gateways {
		if err := q.startGateway(i); err != nil {
			return err
		}
		if q.persisted != nil {
			restored := decide.StateRestored{}
			for _, key := range slices.Sorted(maps.Keys(q.persisted[i])) {
				restored.Buckets = append(restored.Buckets, q.persisted[i][key])
			}
			q.handle(i, restored)
		}
	}
	return nil
}

// AddCustomer adds a customer, whose bucket is unused, and starts its requests.
func (q *QuotaFleet) AddCustomer(c Customer) {
	p := q.plans[c.Plan]
	q.Totals[c.ID] = &CustomerTotals{available: p.Burst, updatedAt: q.Kernel.Now()}
	q.scheduleNext(&c)
}

func (q *QuotaFleet) scheduleNext(c *Customer) {
	gap := time.Duration(q.rnd.ExpFloat64() * c.UnitsPerRequest / c.Rate * float64(time.Second))
	q.Kernel.After(gap, func() {
		q.issueRequest(c)
		q.scheduleNext(c)
	})
}

func (q *QuotaFleet) issueRequest(c *Customer) {
	q.Requests++
	id := fmt.Sprint("r", q.Requests)
	now := q.Kernel.Now()
	q.pending[id] = &pendingRequest{customer: c, issuedAt: now}
	q.Totals[c.ID].Requested += c.UnitsPerRequest
	gateway := (c.FirstGateway + q.rnd.IntN(c.GatewayCount)) % len(q.gateways)
	q.handle(gateway, decide.Request{ID: id, Class: q.config.Classes[0].Name, Plan: c.Plan, Customer: c.ID, Units: c.UnitsPerRequest, Deadline: now + requestTimeout,
		FirstGateway: c.FirstGateway, GatewayCount: c.GatewayCount})
}

// handle passes an event to a gateway's module and carries out the actions that it returns.
func (q *QuotaFleet) handle(i int, ev decide.Event) {
	generation := q.generations[i]
	for _, act := range q.gateways[i].Handle(q.Kernel.Now(), ev) {
		switch act := act.(type) {
		case decide.SetTimer:
			q.Kernel.At(act.At, func() {
				if generation == q.generations[i] {
					q.handle(i, decide.TimerFired{Token: act.Token})
				}
			})
		case decide.SendToPeer:
			q.MessagesSent++
			q.Net.SendPacket(i, act.To, func() {
				if !q.intake[act.To].take(q.Kernel.Now(), q.config.PeerIntake) {
					q.IntakeDrops++
					return
				}
				q.handle(act.To, decide.PeerMessage{From: i, Text: act.Text})
			})
		case decide.SendAttempt:
			q.recordResult(act.ID, true)
			q.Kernel.After(serverLatency, func() {
				if generation != q.generations[i] {
					return
				}
				q.handle(i, decide.AttemptEnded{ID: act.ID, Server: act.Server, Outcome: decide.OK, Latency: serverLatency, RequestDone: true})
			})
		case decide.Refuse:
			q.recordResult(act.ID, false)
		}
	}
}

// recordResult compares the decision on a request with the customer's exact bucket and adds it to the totals.
func (q *QuotaFleet) recordResult(id string, admitted bool) {
	request := q.pending[id]
	if request == nil {
		return
	}
	delete(q.pending, id)
	now := q.Kernel.Now()
	q.TotalWait += now - request.issuedAt
	p, s := q.plans[request.customer.Plan], q.Totals[request.customer.ID]
	s.available = min(p.Burst, s.available+p.Rate*(now-s.updatedAt).Seconds())
	s.updatedAt = now
	switch units := request.customer.UnitsPerRequest; {
	case !admitted && s.available >= p.Burst/2:
		s.RefusedWithRoom += units
	case admitted && s.available < units:
		s.AdmittedOverQuota += units
		s.Admitted += units
	case admitted:
		s.available -= units
		s.Admitted += units
	}
}
