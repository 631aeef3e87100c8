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
	metaVersion        = 1                      // of what a member tells of itself. Name, life, place and term stay as they are in all versions, so that places are one's own over an upgrade
	tickInterval       = 200 * time.Millisecond // of the table
	assignmentValidity = time.Second            // what was told of the standing is good for so long after a tick
	maxClockJump       = time.Second            // by which the wall clock may part from the monotonic one between two ticks
	gossipInterval     = 100 * time.Millisecond // twice as often as memberlist's own: many that join at once are known sooner
	fullSyncInterval   = 15 * time.Second
	streamTimeout      = 2 * time.Second // of an exchange of states, as the table waits for it while it stands aside
	maxSyncMembers     = 3               // members that are asked for their whole state
	maxPendingEvents   = 4096            // that wait for the table; the engine waits while there are more
	maxPendingMessages = 1024            // messages that wait to be sent; more are lost, as datagrams may be
	leaveTimeout       = time.Second
	headerBytes        = 10 // of a message: place, and life of the sender
	// memberlist 0.7.0 keeps news in order of how often each was sent, its length and a count that begins again whenever the queue
	// is empty for a moment: two pieces that are alike in all three count as one, and one of them is lost. Members that start
	// together tell things of one length, so each pads its own by another.
	paddingModulus  = 61
	maxNameBytes    = 128
	maxPeerDrops    = 4096 // members whose dropped messages are shown
	maxMessageBytes = 256
	updateTimeout   = time.Second
	stateFileMode   = 0o600
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
	cfg            Config
	log            *slog.Logger
	incarnation    uint64
	keyring        *memberlist.Keyring
	memberlist     *memberlist.Memberlist
	table          *fleet.Table
	saved          savedState
	savedAddresses []string          // the last known members, as they were kept ...
	savedClaims    fleet.SharedState // ... with their claims
	statusListener net.Listener      // nil: none

	duties           *duties       // nil: none
	peerInfo         *peerInfoSync // nil: none
	events           chan fleet.Event
	outbound         chan outboundMessage
	announceNeeded   chan struct{} // something is to be announced
	saveNeeded       chan struct{} // something is to be kept
	pendingState     atomic.Pointer[savedState]
	self             atomic.Pointer[fleet.Member]
	assignment       atomic.Pointer[fleet.Assignment]
	sharedState      atomic.Pointer[fleet.SharedState] // that is passed on
	status           atomic.Pointer[Status]
	validUntil       atomic.Int64  // of the standing, by the monotonic clock
	assignmentNumber atomic.Uint64 // counts the standings
	droppedMessages  atomic.Uint64
	syncing          atomic.Bool
	leaving          atomic.Bool
	regions          atomic.Pointer[map[string]*maintenance.Calendar] // with a calendar, by name
	superseded       chan fleet.Member
	start            time.Time
	recoverySource   atomic.Pointer[RecoverySource] // nil: none

	mu        sync.Mutex
	nodes     map[string]*memberlist.Node // by life
	peerDrops map[string]uint64           // messages that others dropped, by name, as they told last
	core      *gateway.Core
}

type outboundMessage struct {
	to   string // the life of the receiver
	data []byte
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
	e := &Engine{cfg: cfg, log: log, events: make(chan fleet.Event, maxPendingEvents), outbound: make(chan outboundMessage, maxPendingMessages),
		announceNeeded: make(chan struct{}, 1), saveNeeded: make(chan struct{}, 1), nodes: map[string]*memberlist.Node{}, peerDrops: map[string]uint64{}, superseded: make(chan fleet.Member, 1), start: time.Now()}
	if len(cfg.Name) > maxNameBytes {
		return nil, fmt.Errorf("the fleet: the member's name has %d bytes, more than %d", len(cfg.Name), maxNameBytes)
	}
	if err := e.loadState(); err != nil {
		return nil, err
	}
	e.savedAddresses, e.savedClaims = e.saved.Members, e.savedSharedState()
	e.incarnation = max(uint64(time.Now().UnixMilli()), e.saved.Incarnation+1) // later than the last, however the clock was set since
	e.cfg.Fleet.Self = fleet.Member{Name: cfg.Name, Incarnation: e.incarnation, Generation: cfg.Generation, Version: cmp.Or(cfg.version, metaVersion), Claim: fleet.NoClaim}
	e.cfg.Fleet.LastClaim = e.saved.Claim
	var err error
	if e.table, err = fleet.New(e.cfg.Fleet); err != nil {
		return nil, err
	}
	e.self.Store(&e.cfg.Fleet.Self)
	s := e.table.Assignment()
	e.assignment.Store(&s)
	e.sharedState.Store(&fleet.SharedState{})
	if len(cfg.Election.Duties) > 0 {
		if e.duties, err = newDuties(e, cfg.Election); err != nil {
			return nil, err
		}
	}
	e.SetRegions(cfg.Regions)
	if cfg.PeerInfo != nil {
		if e.peerInfo, err = newPeerInfoSync(e, *cfg.PeerInfo); err != nil {
			return nil, err
		}
	}
	if cfg.StatusSocket != "" {
		if e.statusListener, err = listenStatus(cfg.StatusSocket); err != nil {
			return nil, err
		}
	}
	if err := e.startMemberlist(); err != nil {
		e.closeStatus()
		return nil, err
	}
	return e, nil
}

func (e *Engine) closeStatus() {
	if e.statusListener != nil {
		e.statusListener.Close()
	}
}

// startMemberlist makes the engine.
func (e *Engine) startMemberlist() error {
	host, port, err := net.SplitHostPort(e.cfg.Address)
	if err != nil {
		return fmt.Errorf("the fleet's address: %w", err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return fmt.Errorf("the fleet's address: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name = strconv.FormatUint(e.incarnation, 36) + "." + e.cfg.Name // a life of its own to the engine
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = host, n, host, n
	c.GossipInterval, c.PushPullInterval, c.TCPTimeout = gossipInterval, fullSyncInterval, streamTimeout
	c.Logger = log.New(logWriter{e.log}, "", 0)
	c.Transport = e.cfg.Transport
	d := delegate{e}
	c.Delegate, c.Events, c.Ping = d, d, d
	if e.cfg.KeyFile != "" {
		keys, err := readKeys(e.cfg.KeyFile)
		if err != nil {
			return err
		}
		if e.keyring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
			return fmt.Errorf("the fleet's keys: %w", err)
		}
		c.Keyring = e.keyring
	}
	if e.memberlist, err = memberlist.Create(c); err != nil {
		return fmt.Errorf("the fleet: %w", err)
	}
	return nil
}

// RecoverySource is what a member knows of the time before a loss of power.
type RecoverySource struct {
	Snapshot func() recovery.Word // what others are told that start; what they tell goes to the gateway by its Door
	Phase    func() string        // how far service has returned, for the report
}

// SetRecoverySource has the member tell what it knows, from now on.
func (e *Engine) SetRecoverySource(source RecoverySource) { e.recoverySource.Store(&source) }

// Incarnation is this process's: of two of one name the higher is the later.
func (e *Engine) Incarnation() uint64 { return e.incarnation }

// Superseded tells when this member has to end, as a later process has its name.
func (e *Engine) Superseded() <-chan fleet.Member { return e.superseded }

// Status is the table as it stands; nil before there is one.
func (e *Engine) Status() *Status { return e.status.Load() }

// IsCurrent implements gateway.Member: a process that stood still must not go by what it was told before.
func (e *Engine) IsCurrent(n uint64) bool {
	return n == e.assignmentNumber.Load() && int64(time.Since(e.start)) < e.validUntil.Load()
}

// Serve implements gateway.Member: it takes part until the context ends, and then says goodbye.
func (e *Engine) Serve(ctx context.Context, core *gateway.Core) {
	e.mu.Lock()
	e.core = core
	e.mu.Unlock()
	loopCtx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { e.sendLoop(loopCtx) })
	wg.Go(func() { e.announceLoop(loopCtx) })
	wg.Go(func() { e.saveLoop(loopCtx) })
	if e.peerInfo != nil {
		wg.Go(func() { e.peerInfo.run(loopCtx) })
	}
	if e.statusListener != nil {
		wg.Go(func() { e.serveStatus(e.statusListener) })
	}
	e.run(ctx)
	e.leaving.Store(true)
	if err := e.memberlist.UpdateNode(leaveTimeout); err != nil {
		e.log.Debug("leaving the fleet", "err", err)
	}
	if err := e.memberlist.Leave(leaveTimeout); err != nil {
		e.log.Debug("leaving the fleet", "err", err)
	}
	cancel()
	e.closeStatus()
	wg.Wait()
	if err := e.memberlist.Shutdown(); err != nil {
		e.log.Warn("closing the fleet's socket", "err", err)
	}
}

// run is the table's goroutine.
func (e *Engine) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	previous := time.Now()
	lastTick := previous
	e.handle(fleet.RemoteState{SharedState: e.savedClaims})
	e.handle(fleet.Tick{})
	for {
		select {
		case ev := <-e.events:
			e.handle(ev)
		case ev := <-e.duties.inbox():
			if time.Since(lastTick) > e.cfg.Fleet.PauseThreshold { // it stood still: the table has to notice before it votes
				e.handle(fleet.Tick{})
				lastTick = time.Now()
			}
			e.duties.handle(ev)
		case <-ticker.C:
			now := time.Now()
			lastTick = now
			if jump := now.Round(0).Sub(previous.Round(0)) - now.Sub(previous); max(jump, -jump) > maxClockJump {
				e.handle(fleet.ClockJump{})
				e.duties.handle(election.Resumed{})
			}
			previous = now
			e.handle(fleet.Tick{})
			e.duties.handle(election.Tick{WallMillis: uint64(max(0, now.UnixMilli()))})
			e.publishStatus()
		case <-ctx.Done():
			e.handle(fleet.Leave{})
			return
		}
	}
}

// publishStatus keeps what others may read: the standing's time, the report, and what is passed on.
func (e *Engine) publishStatus() {
	at := time.Now()
	now := at.Sub(e.start)
	e.validUntil.Store(int64(now + assignmentValidity))
	r := &Status{Name: e.cfg.Name, Assignment: e.table.Assignment(), Members: e.table.Members(), Now: now, WallMillis: at.UnixMilli(), DroppedMessages: e.droppedMessages.Load()}
	e.peerInfo.fillStatus(r)
	if m := e.recoverySource.Load(); m != nil {
		r.RecoveryPhase = m.Phase()
	}
	e.mu.Lock()
	r.PeerDrops = maps.Clone(e.peerDrops)
	e.mu.Unlock()
	if e.duties != nil {
		r.Duties, r.Electorate = e.duties.statuses(), e.duties.table.Electorate()
	}
	e.status.Store(r)
	shared := e.table.SharedState()
	e.sharedState.Store(&shared)
}

func (e *Engine) handle(ev fleet.Event) {
	if r, ok := ev.(fleet.ConfigChange); ok && r.ExpectedMembers > 0 {
		e.cfg.Fleet.ExpectedMembers = r.ExpectedMembers
	}
	for _, a := range e.table.Handle(time.Since(e.start), ev) {
		switch a := a.(type) {
		case fleet.Announce:
			e.self.Store(&a.Self)
			e.requestAnnounce()
		case fleet.Sync:
			if e.syncing.CompareAndSwap(false, true) {
				go e.syncMembers(a.SkipSeeds)
			}
		case fleet.AssignmentChange:
			e.applyAssignment(a.Assignment)
		case fleet.Superseded:
			select {
			case e.superseded <- a.By:
			default:
			}
		case fleet.LogMessage:
			e.log.Info("fleet: " + a.Text)
		}
	}
}

// applyAssignment hands the standing to the gateway.
func (e *Engine) applyAssignment(s fleet.Assignment) {
	e.assignment.Store(&s)
	e.log.Info("fleet: standing", "place", s.Slot, "term", s.Term, "alone", s.Isolated)
	e.core.SetMembership(s, e.assignmentNumber.Add(1))
	e.duties.applyAssignment(s)
	e.publishStatus()
	if s.Slot >= 0 {
		e.saved.Claim = fleet.Claim{Slot: s.Slot, Term: s.Term}
	}
	e.requestSave()
}

// announceLoop tells all members what this one has to say.
func (e *Engine) announceLoop(ctx context.Context) {
	for {
		select {
		case <-e.announceNeeded:
			if err := e.memberlist.UpdateNode(updateTimeout); err != nil {
				e.log.Debug("telling the fleet", "err", err)
				e.requestAnnounce() // its queue of news may have lost this piece
			}
		case <-ctx.Done():
			return
		}
	}
}

// requestAnnounce has what this member says told soon, the newest of it.
func (e *Engine) requestAnnounce() {
	select {
	case e.announceNeeded <- struct{}{}:
	default:
	}
}

// syncMembers exchanges whole states with a few of those that are there, and unless that is enough with the seeds and the last known members.
func (e *Engine) syncMembers(skipSeeds bool) {
	var addresses []string
	e.mu.Lock()
	for _, n := range e.nodes { // in no order, so any of them
		if len(addresses) >= maxSyncMembers {
			break
		}
		addresses = append(addresses, n.Address())
	}
	e.mu.Unlock()
	noMembers := len(addresses) == 0
	if !skipSeeds || noMembers {
		addresses = append(addresses, e.cfg.Seeds...)
	}
	if noMembers {
		addresses = append(addresses, e.savedAddresses...)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == e.cfg.Address })
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	var wg sync.WaitGroup
	var answered atomic.Int32
	for _, a := range addresses {
		wg.Go(func() {
			if n, _ := e.memberlist.Join([]string{a}); n > 0 { // that it fails shows in the log of the engine
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	e.syncing.Store(false)
	e.events <- fleet.SyncDone{OK: answered.Load() > 0}
}
