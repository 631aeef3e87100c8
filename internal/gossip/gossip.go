// Package gossip is the engine round package fleet: it finds the other gateways by HashiCorp's memberlist, hands what it hears to
// the table, and carries out what that wants. Messages of the decision module go the same way, from place to place.
package gossip

import (
	"cmp"
	"context"
	"fmt"
	"log"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"sloepick/internal/election"
	"sloepick/internal/fleet"
	"sloepick/internal/gateway"
	"sloepick/internal/maintenance"
	"sloepick/internal/peerinfo"
	"sloepick/internal/recovery"
)

const (
	metaVersion  = 1                      // of what a member tells of itself. Name, life, place and term stay as they are in all versions, so that places are one's own over an upgrade
	tickEvery    = 200 * time.Millisecond // of the table
	validFor     = time.Second            // what was told of the standing is good for so long after a tick
	jumpMost     = time.Second            // by which the wall clock may part from the monotonic one between two ticks
	gossipEvery  = 100 * time.Millisecond // twice as often as memberlist's own: many that join at once are known sooner
	syncEvery    = 15 * time.Second
	streamWithin = 2 * time.Second // of an exchange of states, as the table waits for it while it stands aside
	syncWith     = 3               // members that are asked for their whole state
	eventsMost   = 4096            // that wait for the table; the engine waits while there are more
	tellsMost    = 1024            // messages that wait to be sent; more are lost, as datagrams may be
	leaveWithin  = time.Second
	headLen      = 10 // of a message: place, and life of the sender
	// memberlist 0.7.0 keeps news in order of how often each was sent, its length and a count that begins again whenever the queue
	// is empty for a moment: two pieces that are alike in all three count as one, and one of them is lost. Members that start
	// together tell things of one length, so each pads its own by another.
	padMost       = 61
	nameMost      = 128
	dropsMost     = 4096 // members whose dropped messages are shown
	messageMost   = 256
	updateWithin  = time.Second
	stateFileMode = 0o600
)

// Config is how a member takes part.
type Config struct {
	Name         string
	Address      string // host:port of its own socket, by UDP and TCP
	Seeds        []string
	KeyFile      string // base64 keys, one a line, the first is used to send; "": not encrypted
	StatusSocket string // a local socket for sloectl; "": none
	StateFile    string // where its place and the last known members are kept; "": nowhere
	Generation   uint64 // of the configuration
	Fleet        fleet.Config
	Transport    memberlist.Transport // nil: sockets at Address
	Election     election.Config      // work on behalf of the fleet; no duties: there is none
	PeerInfo     *peerinfo.Config     // what members know of each other; nil: nothing beyond who is there
	Zone         string               // of this member, its region
	Regions      map[string]*maintenance.Calendar

	version int // that it tells; 0: metaVersion
}

// Engine is one member. Make it with New.
type Engine struct {
	cfg    Config
	log    *slog.Logger
	life   uint64
	ring   *memberlist.Keyring
	list   *memberlist.Memberlist
	table  *fleet.Table
	saved  saved
	known  []string          // the last known members, as they were kept ...
	before fleet.SharedState // ... with their claims
	status net.Listener      // nil: none

	duties   *duties // nil: none
	news     *news   // nil: none
	events   chan fleet.Event
	tells    chan tell
	dirty    chan struct{} // something is to be announced
	unkept   chan struct{} // something is to be kept
	toKeep   atomic.Pointer[saved]
	self     atomic.Pointer[fleet.Member]
	standing atomic.Pointer[fleet.Assignment]
	past     atomic.Pointer[fleet.SharedState] // that is passed on
	report   atomic.Pointer[Status]
	until    atomic.Int64  // of the standing, by the monotonic clock
	stood    atomic.Uint64 // counts the standings
	lost     atomic.Uint64
	syncing  atomic.Bool
	leaving  atomic.Bool
	regions  atomic.Pointer[map[string]*maintenance.Calendar] // with a calendar, by name
	yielded  chan fleet.Member
	start    time.Time
	memory   atomic.Pointer[RecoverySource] // nil: none

	mu    sync.Mutex
	nodes map[string]*memberlist.Node // by life
	drops map[string]uint64           // messages that others dropped, by name, as they told last
	door  *gateway.Core
}

type tell struct {
	to   string // the life of the receiver
	text []byte
}

// Status is a member's view of its fleet, for operators.
type Status struct {
	Name            string
	Assignment      fleet.Assignment     `json:"Standing"`
	Members         []fleet.MemberStatus `json:"Rows"`
	Now             time.Duration        // on the clock of the rows
	RecoveryPhase   string               `json:"Phase"` // how far service has returned; "": all is let in
	DroppedMessages uint64               `json:"Lost"`  // messages to others that found the queue full
	Duties          []election.DutyStatus
	Electorate      election.Electorate `json:"Voters"` // who votes on duties, as far as this member knows
	PeerInfo        []PeerInfoRow       `json:"News"`   // what is known of members, in the order of their names; none where it is off
	PeerInfoStats   PeerInfoStats       `json:"Heard"`  // and how it came
	Clock           FleetClock          // the fleet's, where news is on
	Regions         []RegionStatus      // those with a calendar, in the order of their names
	WallMillis      int64               `json:"Wall"`  // when this report was made, ms since 1970
	PeerDrops       map[string]uint64   `json:"Drops"` // those of other members, by name, as they told with their last whole state
}

// New makes a member; it opens its socket and does not join yet.
func New(cfg Config, log *slog.Logger) (*Engine, error) {
	e := &Engine{cfg: cfg, log: log, events: make(chan fleet.Event, eventsMost), tells: make(chan tell, tellsMost),
		dirty: make(chan struct{}, 1), unkept: make(chan struct{}, 1), nodes: map[string]*memberlist.Node{}, drops: map[string]uint64{}, yielded: make(chan fleet.Member, 1), start: time.Now()}
	if len(cfg.Name) > nameMost {
		return nil, fmt.Errorf("the fleet: the member's name has %d bytes, more than %d", len(cfg.Name), nameMost)
	}
	if err := e.load(); err != nil {
		return nil, err
	}
	e.known, e.before = e.saved.Members, e.heldBefore()
	e.life = max(uint64(time.Now().UnixMilli()), e.saved.Life+1) // later than the last, however the clock was set since
	e.cfg.Fleet.Self = fleet.Member{Name: cfg.Name, Incarnation: e.life, Generation: cfg.Generation, Version: cmp.Or(cfg.version, metaVersion), Claim: fleet.NoClaim}
	e.cfg.Fleet.LastClaim = e.saved.Claim
	var err error
	if e.table, err = fleet.New(e.cfg.Fleet); err != nil {
		return nil, err
	}
	e.self.Store(&e.cfg.Fleet.Self)
	s := e.table.Assignment()
	e.standing.Store(&s)
	e.past.Store(&fleet.SharedState{})
	if len(cfg.Election.Duties) > 0 {
		if e.duties, err = newDuties(e, cfg.Election); err != nil {
			return nil, err
		}
	}
	e.SetRegions(cfg.Regions)
	if cfg.PeerInfo != nil {
		if e.news, err = newNews(e, *cfg.PeerInfo); err != nil {
			return nil, err
		}
	}
	if cfg.StatusSocket != "" {
		if e.status, err = listenStatus(cfg.StatusSocket); err != nil {
			return nil, err
		}
	}
	if err := e.open(); err != nil {
		e.closeStatus()
		return nil, err
	}
	return e, nil
}

func (e *Engine) closeStatus() {
	if e.status != nil {
		e.status.Close()
	}
}

// open makes the engine.
func (e *Engine) open() error {
	host, port, err := net.SplitHostPort(e.cfg.Address)
	if err != nil {
		return fmt.Errorf("the fleet's address: %w", err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return fmt.Errorf("the fleet's address: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name = strconv.FormatUint(e.life, 36) + "." + e.cfg.Name // a life of its own to the engine
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = host, n, host, n
	c.GossipInterval, c.PushPullInterval, c.TCPTimeout = gossipEvery, syncEvery, streamWithin
	c.Logger = log.New(logTo{e.log}, "", 0)
	c.Transport = e.cfg.Transport
	d := delegate{e}
	c.Delegate, c.Events, c.Ping = d, d, d
	if e.cfg.KeyFile != "" {
		keys, err := readKeys(e.cfg.KeyFile)
		if err != nil {
			return err
		}
		if e.ring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
			return fmt.Errorf("the fleet's keys: %w", err)
		}
		c.Keyring = e.ring
	}
	if e.list, err = memberlist.Create(c); err != nil {
		return fmt.Errorf("the fleet: %w", err)
	}
	return nil
}

// RecoverySource is what a member knows of the time before a loss of power.
type RecoverySource struct {
	Snapshot func() recovery.PeerSnapshot // what others are told that start; what they tell goes to the gateway by its Door
	Phase    func() string                // how far service has returned, for the report
}

// SetRecoverySource has the member tell what it knows, from now on.
func (e *Engine) SetRecoverySource(m RecoverySource) { e.memory.Store(&m) }

// Incarnation is this process's: of two of one name the higher is the later.
func (e *Engine) Incarnation() uint64 { return e.life }

// Superseded tells when this member has to end, as a later process has its name.
func (e *Engine) Superseded() <-chan fleet.Member { return e.yielded }

// Status is the table as it stands; nil before there is one.
func (e *Engine) Status() *Status { return e.report.Load() }

// IsCurrent implements gateway.Member: a process that stood still must not go by what it was told before.
func (e *Engine) IsCurrent(n uint64) bool {
	return n == e.stood.Load() && int64(time.Since(e.start)) < e.until.Load()
}

// Serve implements gateway.Member: it takes part until the context ends, and then says goodbye.
func (e *Engine) Serve(ctx context.Context, d *gateway.Core) {
	e.mu.Lock()
	e.door = d
	e.mu.Unlock()
	inner, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { e.send(inner) })
	wg.Go(func() { e.announce(inner) })
	wg.Go(func() { e.save(inner) })
	if e.news != nil {
		wg.Go(func() { e.news.run(inner) })
	}
	if e.status != nil {
		wg.Go(func() { e.serveStatus(e.status) })
	}
	e.run(ctx)
	e.leaving.Store(true)
	if err := e.list.UpdateNode(leaveWithin); err != nil {
		e.log.Debug("leaving the fleet", "err", err)
	}
	if err := e.list.Leave(leaveWithin); err != nil {
		e.log.Debug("leaving the fleet", "err", err)
	}
	cancel()
	e.closeStatus()
	wg.Wait()
	if err := e.list.Shutdown(); err != nil {
		e.log.Warn("closing the fleet's socket", "err", err)
	}
}

// run is the table's goroutine.
func (e *Engine) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	wall := time.Now()
	ticked := wall
	e.handle(fleet.RemoteState{SharedState: e.before})
	e.handle(fleet.Tick{})
	for {
		select {
		case ev := <-e.events:
			e.handle(ev)
		case ev := <-e.duties.inbox():
			if time.Since(ticked) > e.cfg.Fleet.PauseThreshold { // it stood still: the table has to notice before it votes
				e.handle(fleet.Tick{})
				ticked = time.Now()
			}
			e.duties.handle(ev)
		case <-ticker.C:
			now := time.Now()
			ticked = now
			if jump := now.Round(0).Sub(wall.Round(0)) - now.Sub(wall); max(jump, -jump) > jumpMost {
				e.handle(fleet.ClockJump{})
				e.duties.handle(election.Resumed{})
			}
			wall = now
			e.handle(fleet.Tick{})
			e.duties.handle(election.Tick{WallMillis: uint64(max(0, now.UnixMilli()))})
			e.tell()
		case <-ctx.Done():
			e.handle(fleet.Leave{})
			return
		}
	}
}

// tell keeps what others may read: the standing's time, the report, and what is passed on.
func (e *Engine) tell() {
	at := time.Now()
	now := at.Sub(e.start)
	e.until.Store(int64(now + validFor))
	r := &Status{Name: e.cfg.Name, Assignment: e.table.Assignment(), Members: e.table.Members(), Now: now, WallMillis: at.UnixMilli(), DroppedMessages: e.lost.Load()}
	e.news.report(r)
	if m := e.memory.Load(); m != nil {
		r.RecoveryPhase = m.Phase()
	}
	e.mu.Lock()
	r.PeerDrops = maps.Clone(e.drops)
	e.mu.Unlock()
	if e.duties != nil {
		r.Duties, r.Electorate = e.duties.rows(), e.duties.table.Electorate()
	}
	e.report.Store(r)
	past := e.table.SharedState()
	e.past.Store(&past)
}

func (e *Engine) handle(ev fleet.Event) {
	if r, ok := ev.(fleet.ConfigChange); ok && r.ExpectedMembers > 0 {
		e.cfg.Fleet.ExpectedMembers = r.ExpectedMembers
	}
	for _, a := range e.table.Handle(time.Since(e.start), ev) {
		switch a := a.(type) {
		case fleet.Announce:
			e.self.Store(&a.Self)
			e.speak()
		case fleet.Sync:
			if e.syncing.CompareAndSwap(false, true) {
				go e.sync(a.SkipSeeds)
			}
		case fleet.AssignmentChange:
			e.stand(a.Assignment)
		case fleet.Superseded:
			select {
			case e.yielded <- a.By:
			default:
			}
		case fleet.LogMessage:
			e.log.Info("fleet: " + a.Text)
		}
	}
}

// stand hands the standing to the gateway.
func (e *Engine) stand(s fleet.Assignment) {
	e.standing.Store(&s)
	e.log.Info("fleet: standing", "place", s.Slot, "term", s.Term, "alone", s.Isolated)
	e.door.SetMembership(s, e.stood.Add(1))
	e.duties.stand(s)
	e.tell()
	if s.Slot >= 0 {
		e.saved.Claim = fleet.Claim{Slot: s.Slot, Term: s.Term}
	}
	e.keep()
}

// announce tells all members what this one has to say.
func (e *Engine) announce(ctx context.Context) {
	for {
		select {
		case <-e.dirty:
			if err := e.list.UpdateNode(updateWithin); err != nil {
				e.log.Debug("telling the fleet", "err", err)
				e.speak() // its queue of news may have lost this piece
			}
		case <-ctx.Done():
			return
		}
	}
}

// speak has what this member says told soon, the newest of it.
func (e *Engine) speak() {
	select {
	case e.dirty <- struct{}{}:
	default:
	}
}

// sync exchanges whole states with a few of those that are there, and unless that is enough with the seeds and the last known members.
func (e *Engine) sync(few bool) {
	var to []string
	e.mu.Lock()
	for _, n := range e.nodes { // in no order, so any of them
		if len(to) >= syncWith {
			break
		}
		to = append(to, n.Address())
	}
	e.mu.Unlock()
	none := len(to) == 0
	if !few || none {
		to = append(to, e.cfg.Seeds...)
	}
	if none {
		to = append(to, e.known...)
	}
	to = slices.DeleteFunc(to, func(a string) bool { return a == e.cfg.Address })
	slices.Sort(to)
	to = slices.Compact(to)
	var wg sync.WaitGroup
	var answered atomic.Int32
	for _, a := range to {
		wg.Go(func() {
			if n, _ := e.list.Join([]string{a}); n > 0 { // that it fails shows in the log of the engine
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	e.syncing.Store(false)
	e.events <- fleet.SyncDone{OK: answered.Load() > 0}
}
