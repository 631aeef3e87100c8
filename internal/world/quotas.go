package world

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

// Responder is a customer that asks for so many units a second, in requests of so many, at gateways of its set drawn anew for each.
type Responder struct {
	ID, Plan      string
	Rate, Units   float64
	First, Spread int
}

// Shared is what all gateways together let in of a customer, held to the bucket that one gateway would keep which saw all.
type Shared struct {
	Asked, Sent float64 // units
	Over        float64 // of those sent: beyond the quota as it stood
	WithRoom    float64 // of those refused: half of the burst or more was unused

	level float64 // unused
	at    time.Duration
}

// Quotas is many gateways' decision modules, the messages between them, and customers. Servers answer at once and lose nothing.
type Quotas struct {
	K   *Kernel
	Net *Network
	By  map[string]*Shared // by customer

	Full   int           // messages that came to a gateway faster than it takes them in
	Told   int           // messages sent
	Waited time.Duration // of all requests, for homes' words
	Asked  int           // requests

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
	who *Responder
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

// NewQuotas makes so many gateways of a configuration, whose number and rank it sets.
func NewQuotas(k *Kernel, net *Network, conf decide.Config, n int) (*Quotas, error) {
	conf.Gateways = n
	q := &Quotas{K: k, Net: net, By: map[string]*Shared{}, conf: conf, plans: map[string]*decide.Plan{}, intake: make([]rateBucket, n),
		open: map[string]*openAsk{}, rnd: k.Stream("askers"), seeds: k.Stream("modules"), lives: make([]int, n), gateways: make([]*decide.Gateway, n)}
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
func (q *Quotas) start(i int) error {
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

// Keep has every gateway keep what changed, so often.
func (q *Quotas) Keep(every time.Duration) {
	q.disks = make([]map[uint64]decide.BucketSnapshot, len(q.gateways))
	for i := range q.gateways {
		q.disks[i] = map[uint64]decide.BucketSnapshot{}
		q.K.Every(every, every, func() bool {
			for _, m := range q.gateways[i].AppendChanged(nil, keptMost) {
				q.disks[i][m.Key] = m
			}
			return true
		})
	}
}

// PowerLoss ends all gateways at once and starts them again at once, with what their disks hold if they have any: nothing has leaked
// meanwhile, as time stands still.
func (q *Quotas) PowerLoss() error {
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

// Add has a customer ask from now on.
func (q *Quotas) Add(a Responder) {
	p := q.plans[a.Plan]
	q.By[a.ID] = &Shared{level: p.Burst, at: q.K.Now()}
	q.next(&a)
}

func (q *Quotas) next(a *Responder) {
	gap := time.Duration(q.rnd.ExpFloat64() * a.Units / a.Rate * float64(time.Second))
	q.K.After(gap, func() {
		q.ask(a)
		q.next(a)
	})
}

func (q *Quotas) ask(a *Responder) {
	q.Asked++
	id := fmt.Sprint("r", q.Asked)
	now := q.K.Now()
	q.open[id] = &openAsk{who: a, at: now}
	q.By[a.ID].Asked += a.Units
	at := (a.First + q.rnd.IntN(a.Spread)) % len(q.gateways)
	q.handle(at, decide.Request{ID: id, Class: q.conf.Classes[0].Name, Plan: a.Plan, Customer: a.ID, Units: a.Units, Deadline: now + askPatience,
		FirstGateway: a.First, GatewayCount: a.Spread})
}

// handle hands a module an event and does what it wants.
func (q *Quotas) handle(i int, ev decide.Event) {
	life := q.lives[i]
	for _, act := range q.gateways[i].Handle(q.K.Now(), ev) {
		switch act := act.(type) {
		case decide.SetTimer:
			q.K.At(act.At, func() {
				if life == q.lives[i] {
					q.handle(i, decide.TimerFired{Token: act.Token})
				}
			})
		case decide.SendToPeer:
			q.Told++
			q.Net.Packet(i, act.To, func() {
				if !q.intake[act.To].take(q.K.Now(), q.conf.PeerIntake) {
					q.Full++
					return
				}
				q.handle(act.To, decide.PeerMessage{From: i, Text: act.Text})
			})
		case decide.SendAttempt:
			q.ended(act.ID, true)
			q.K.After(servedIn, func() {
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
func (q *Quotas) ended(id string, sent bool) {
	o := q.open[id]
	if o == nil {
		return
	}
	delete(q.open, id)
	now := q.K.Now()
	q.Waited += now - o.at
	p, s := q.plans[o.who.Plan], q.By[o.who.ID]
	s.level = min(p.Burst, s.level+p.Rate*(now-s.at).Seconds())
	s.at = now
	switch units := o.who.Units; {
	case !sent && s.level >= p.Burst/2:
		s.WithRoom += units
	case sent && s.level < units:
		s.Over += units
		s.Sent += units
	case sent:
		s.level -= units
		s.Sent += units
	}
}
