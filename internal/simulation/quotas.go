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
	servedIn    = 50 * time.Millisecond // by every server: quotas are what is looked at
	serverEach  = 2                     // gateways a server
	askPatience = time.Second
	keptMost    = 1 << 16 // customers at once
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

	level float64 // unused
	at    time.Duration
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

	conf     decide.Config
	plans    map[string]*decide.Plan
	gateways []*decide.Gateway
	intake   []rateBucket
	lives    []int                              // of each gateway's process: what was set for a former one is void
	disks    []map[uint64]decide.BucketSnapshot // what each has kept; nil: nothing is
	seeds    *rand.Rand
	list     []decide.Server
	open     map[string]*openAsk
	rnd      *rand.Rand
}

type openAsk struct {
	who *Customer
	at  time.Duration
}

// rateBucket drops what comes faster than a rate, with a second's worth at once.
type rateBucket struct {
	level float64
	at    time.Duration
}

func (b *rateBucket) take(now time.Duration, rate float64) bool {
	b.level = max(0, b.level-rate*(now-b.at).Seconds())
	b.at = now
	if b.level+1 > rate {
		return false
	}
	b.level++
	return true
}

// NewQuotaFleet makes so many gateways of a configuration, whose number and rank it sets.
func NewQuotaFleet(k *Kernel, net *Network, conf decide.Config, n int) (*QuotaFleet, error) {
	conf.Gateways = n
	q := &QuotaFleet{Kernel: k, Net: net, Totals: map[string]*CustomerTotals{}, conf: conf, plans: map[string]*decide.Plan{}, intake: make([]rateBucket, n),
		open: map[string]*openAsk{}, rnd: k.RandomStream("askers"), seeds: k.RandomStream("modules"), lives: make([]int, n), gateways: make([]*decide.Gateway, n)}
	for i := range conf.Plans {
		q.plans[conf.Plans[i].Name] = &conf.Plans[i]
	}
	for i := range max(2, n/serverEach) {
		q.list = append(q.list, decide.Server{ID: fmt.Sprintf("s%04d", i), Zone: conf.Zone})
	}
	for i := range n {
		if err := q.start(i); err != nil {
			return nil, err
		}
	}
	return q, nil
}

// start begins a gateway's process.
func (q *QuotaFleet) start(i int) error {
	conf := q.conf
	conf.Rank = i
	g, err := decide.New(conf, q.seeds.Int64())
	if err != nil {
		return err
	}
	q.gateways[i] = g
	q.lives[i]++
	q.handle(i, decide.ServerListUpdate{Kind: decide.ListFull, Servers: q.list})
	return nil
}

// PersistBuckets has every gateway keep what changed, so often.
func (q *QuotaFleet) PersistBuckets(every time.Duration) {
	q.disks = make([]map[uint64]decide.BucketSnapshot, len(q.gateways))
	for i := range q.gateways {
		q.disks[i] = map[uint64]decide.BucketSnapshot{}
		q.Kernel.Every(every, every, func() bool {
			for _, m := range q.gateways[i].AppendChanged(nil, keptMost) {
				q.disks[i][m.Key] = m
			}
			return true
		})
	}
}

// PowerLoss ends all gateways at once and starts them again at once, with what their disks hold if they have any: nothing has leaked
// meanwhile, as time stands still.
func (q *QuotaFleet) PowerLoss() error {
	for i := range q.gateways {
		if err := q.start(i); err != nil {
			return err
		}
		if q.disks != nil {
			e := decide.StateRestored{}
			for _, key := range slices.Sorted(maps.Keys(q.disks[i])) {
				e.Buckets = append(e.Buckets, q.disks[i][key])
			}
			q.handle(i, e)
		}
	}
	return nil
}

// AddCustomer has a customer ask from now on.
func (q *QuotaFleet) AddCustomer(a Customer) {
	p := q.plans[a.Plan]
	q.Totals[a.ID] = &CustomerTotals{level: p.Burst, at: q.Kernel.Now()}
	q.next(&a)
}

func (q *QuotaFleet) next(a *Customer) {
	gap := time.Duration(q.rnd.ExpFloat64() * a.UnitsPerRequest / a.Rate * float64(time.Second))
	q.Kernel.After(gap, func() {
		q.ask(a)
		q.next(a)
	})
}

func (q *QuotaFleet) ask(a *Customer) {
	q.Requests++
	id := fmt.Sprint("r", q.Requests)
	now := q.Kernel.Now()
	q.open[id] = &openAsk{who: a, at: now}
	q.Totals[a.ID].Requested += a.UnitsPerRequest
	at := (a.FirstGateway + q.rnd.IntN(a.GatewayCount)) % len(q.gateways)
	q.handle(at, decide.Request{ID: id, Class: q.conf.Classes[0].Name, Plan: a.Plan, Customer: a.ID, Units: a.UnitsPerRequest, Deadline: now + askPatience,
		FirstGateway: a.FirstGateway, GatewayCount: a.GatewayCount})
}

// handle hands a module an event and does what it wants.
func (q *QuotaFleet) handle(i int, ev decide.Event) {
	life := q.lives[i]
	for _, act := range q.gateways[i].Handle(q.Kernel.Now(), ev) {
		switch act := act.(type) {
		case decide.SetTimer:
			q.Kernel.At(act.At, func() {
				if life == q.lives[i] {
					q.handle(i, decide.TimerFired{Token: act.Token})
				}
			})
		case decide.SendToPeer:
			q.MessagesSent++
			q.Net.SendPacket(i, act.To, func() {
				if !q.intake[act.To].take(q.Kernel.Now(), q.conf.PeerIntake) {
					q.IntakeDrops++
					return
				}
				q.handle(act.To, decide.PeerMessage{From: i, Text: act.Text})
			})
		case decide.SendAttempt:
			q.ended(act.ID, true)
			q.Kernel.After(servedIn, func() {
				if life != q.lives[i] {
					return
				}
				q.handle(i, decide.AttemptEnded{ID: act.ID, Server: act.Server, Outcome: decide.OK, Latency: servedIn, RequestDone: true})
			})
		case decide.Refuse:
			q.ended(act.ID, false)
		}
	}
}

// ended holds what became of a request to the customer's true bucket.
func (q *QuotaFleet) ended(id string, sent bool) {
	o := q.open[id]
	if o == nil {
		return
	}
	delete(q.open, id)
	now := q.Kernel.Now()
	q.TotalWait += now - o.at
	p, s := q.plans[o.who.Plan], q.Totals[o.who.ID]
	s.level = min(p.Burst, s.level+p.Rate*(now-s.at).Seconds())
	s.at = now
	switch units := o.who.UnitsPerRequest; {
	case !sent && s.level >= p.Burst/2:
		s.RefusedWithRoom += units
	case sent && s.level < units:
		s.AdmittedOverQuota += units
		s.Admitted += units
	case sent:
		s.level -= units
		s.Admitted += units
	}
}
