package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sloepick/internal/fleet"
	"sloepick/internal/peerinfo"
	"sloepick/internal/queue"
)

const (
	newsFlag    = 1 << 14 // in a message's place: it is news. Members of a version without news take it for a place that there is not
	newsMost    = 1310    // bytes of it, in one datagram
	newsWaiting = 1024    // messages of news that wait to be heard; the oldest goes for a newer one
	zoneMost    = 40      // bytes of a region's name that are told
	sleptLeast  = 100 * time.Millisecond

	topicSelf peerinfo.Topic = 0 // what a member says of itself
)

// self is what a member says of itself.
type self struct {
	Zone string `cbor:"1,keyasint,omitempty"`
	Wall int64  `cbor:"2,keyasint"` // when it said so, ms since 1970 by its own wall clock
}

// PeerInfoRow is what a member knows of another one, or of itself.
type PeerInfoRow struct {
	Name, Zone string
	Age        time.Duration // of what is known, at most, when the report was made
	WallMillis int64         `json:"Wall"` // when it was said, ms since 1970 by the other's wall clock
}

// PeerInfoStats are what became of messages of news.
type PeerInfoStats struct {
	Queue        queue.Stats `json:"Ring"`
	Table        peerinfo.Stats
	MessagesSent uint64 `json:"Sent"` // messages
	BytesSent    uint64 `json:"Bytes"`
}

// news is this member's part in what all know of each other. One goroutine owns the table. nil: there is none.
type news struct {
	e     *Engine
	table *peerinfo.Table
	cfg   peerinfo.Config
	in    *queue.Evicting[newsIn]
	shown atomic.Pointer[newsShown]
	sent  uint64
	bytes uint64
	wall  time.Time // of the last turn
	days  calendar
}

// newsIn is a message of the member in a place, or that a member left.
type newsIn struct {
	from int
	text []byte
	left fleet.Member
}

// newsShown is what is known, as of a time since the engine's start.
type newsShown struct {
	at     time.Duration
	rows   []PeerInfoRow
	counts PeerInfoStats
	clock  FleetClock
	region []RegionStatus
}

func newNews(e *Engine, cfg peerinfo.Config) (*news, error) {
	cfg.Name, cfg.Incarnation = e.cfg.Name, e.life
	t, err := peerinfo.New(cfg, rand.Uint64())
	if err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	return &news{e: e, table: t, cfg: cfg, in: queue.NewEvicting[newsIn](newsWaiting), wall: time.Now()}, nil
}

// message takes a message of the member in a place. It never waits.
func (n *news) message(from int, text []byte) {
	if n != nil {
		n.in.Put(newsIn{from: from, text: append([]byte(nil), text...)})
	}
}

// left takes that a member said goodbye.
func (n *news) left(m fleet.Member) {
	if n != nil {
		n.in.Put(newsIn{left: m})
	}
}

// run is the goroutine of news, until the context ends.
func (n *news) run(ctx context.Context) {
	ticker := time.NewTicker(n.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-n.in.Ready():
			n.woke()
			for m, ok := n.in.Take(); ok; m, ok = n.in.Take() {
				n.hear(m)
			}
		case <-ticker.C:
			n.woke()
			n.say()
			n.ask()
		case <-ctx.Done():
			return
		}
		n.show()
	}
}

func (n *news) now() time.Duration { return time.Since(n.e.start) }

// woke looks whether the machine slept, in which its monotonic clock stands still and its wall clock does not. A wall clock that is set
// forward looks the same, and makes all that is known older than it is: to the safe side.
func (n *news) woke() {
	now := time.Now()
	if slept := now.Round(0).Sub(n.wall.Round(0)) - now.Sub(n.wall); slept > sleptLeast {
		n.table.AdjustForSuspend(n.now(), slept)
	}
	n.wall = now
}

func (n *news) hear(m newsIn) {
	if m.text == nil {
		n.table.RemoveMember(n.now(), m.left.Name, m.left.Incarnation)
		return
	}
	for _, back := range n.table.HandleMessage(n.now(), m.text) {
		n.send(m.from, back)
	}
}

// say says of this member what is so now: the fact is born when what it tells was looked at.
func (n *news) say() {
	at := time.Now()
	s := self{Zone: n.e.cfg.Zone[:min(len(n.e.cfg.Zone), zoneMost)], Wall: at.UnixMilli()}
	b, err := cbor.Marshal(&s)
	if err == nil {
		err = n.table.Publish(at.Sub(n.e.start), topicSelf, b)
	}
	if err != nil {
		n.e.log.Error("fleet: news can't be told", "err", err)
	}
}

// ask asks a few of those that are there, any of them.
func (n *news) ask() {
	s := n.e.standing.Load()
	var there []int
	for place, h := range s.Holders {
		if h.Name != "" && h.State == fleet.Alive && place != s.Slot {
			there = append(there, place)
		}
	}
	if s.Slot < 0 || len(there) == 0 {
		return // nobody takes messages of who has no place
	}
	rand.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	question := n.table.NextQuery(n.now())
	for _, place := range there[:min(len(there), n.cfg.Fanout)] {
		n.send(place, question)
	}
}

func (n *news) send(place int, text []byte) {
	if err := n.e.tellPlace(place, newsFlag, string(text)); err != nil {
		n.e.log.Debug("news was not sent", "err", err) // as if lost
		return
	}
	n.sent++
	n.bytes += uint64(len(text))
}

// show keeps what is known for the report.
func (n *news) show() {
	at := time.Now()
	now := at.Sub(n.e.start)
	s := &newsShown{at: now, counts: PeerInfoStats{Queue: n.in.Stats(), Table: n.table.Stats(), MessagesSent: n.sent, BytesSent: n.bytes}}
	for _, name := range n.table.KnownAuthors(now, topicSelf) {
		f, age, err := n.table.Lookup(now, name, topicSelf, n.cfg.Retention)
		var about self
		if err != nil || cbor.Unmarshal(f.Value, &about) != nil {
			continue
		}
		s.rows = append(s.rows, PeerInfoRow{Name: name, Zone: about.Zone, Age: age, WallMillis: about.Wall})
	}
	s.clock = clockOf(s.rows, n.cfg.Name, at)
	s.region = n.days.rows(*n.e.regions.Load(), s.clock, at)
	n.shown.Store(s)
}

// report adds what is known to a report, as of its time. It may be called from any goroutine.
func (n *news) report(r *Status) {
	if n == nil {
		return
	}
	s := n.shown.Load()
	if s == nil {
		return
	}
	for _, row := range s.rows {
		row.Age = n.cfg.AdvanceAge(row.Age, s.at, r.Now)
		r.PeerInfo = append(r.PeerInfo, row)
	}
	r.PeerInfoStats, r.Clock, r.Regions = s.counts, s.clock, s.region
}
