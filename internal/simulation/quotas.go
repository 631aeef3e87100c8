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
	serverLatency       = 50 * time.Millisecond // by every server: quotas are what is looked at
	gatewaysPerServer   = 2                     // gateways a server
	requestTimeout      = time.Second
	maxPersistedBuckets = 1 << 16 // customers at once
)

// Customer is a customer that asks for so many units a second, in requests of so many, at gateways of its set drawn anew for each.
type Customer struct {
	ID, Plan                   string
	Rate, UnitsPerRequest      float64
	FirstGateway, GatewayCount int
}

// CustomerTotals is what all gateways together let in of a customer, held to the bucket that one gateway would keep which saw all.
type CustomerTotals struct {
	Requested, Admitted float64 // units
	AdmittedOverQuota   float64 // of those sent: beyond the quota as it stood
	RefusedWithRoom     float64 // of those refused: half of the burst or more was unused

	available float64 // unused
	updatedAt time.Duration
}

// QuotaFleet is many gateways' decision modules, the messages between them, and customers. Servers answer at once and lose nothing.
type QuotaFleet struct {
	Kernel *Kernel
	Net    *Network
	Totals map[string]*CustomerTotals // by customer

	IntakeDrops  int           // messages that came to a gateway faster than it takes them in
	MessagesSent int           // messages sent
	TotalWait    time.Duration // of all requests, for homes' words
	Requests     int           // requests

	config      decide.Config
	plans       map[string]*decide.Plan
	gateways    []*decide.Gateway
	intake      []intakeLimiter
	generations []int                              // of each gateway's process: what was set for a former one is void
	persisted   []map[uint64]decide.BucketSnapshot // what each has kept; nil: nothing is
	moduleSeeds *rand.Rand
	servers     []decide.Server
	pending     map[string]*pendingRequest
	rnd         *rand.Rand
}

type pendingRequest struct {
	customer *Customer
	issuedAt time.Duration
}

// intakeLimiter drops what comes faster than a rate, with a second's worth at once.
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

// NewQuotaFleet makes so many gateways of a configuration, whose number and rank it sets.
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

// startGateway begins a gateway's process.
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

// PersistBuckets has every gateway keep what changed, so often.
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

// PowerLoss ends all gateways at once and starts them again at once, with what their disks hold if they have any: nothing has leaked
// meanwhile, as time stands still.
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

// AddCustomer has a customer ask from now on.
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

// handle hands a module an event and does what it wants.
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

// recordResult holds what became of a request to the customer's true bucket.
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
