// Package gossip runs package fleet over HashiCorp's memberlist: it discovers the other gateways, passes what it
// receives to the fleet's table and carries out the actions that the table returns. It also carries the decision
// module's messages, which are addressed by slot, the duties of the fleet (package election) and what members know of
// each other (package peerinfo).
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
	metaVersion        = 1                      // of nodeMeta. Name, incarnation, slot and term are the same in all versions, so slots stay unique during an upgrade
	tickInterval       = 200 * time.Millisecond // of the table, the duties and the status
	assignmentValidity = time.Second            // an assignment that the gateway has may be used for so long after a tick
	maxClockJump       = time.Second            // a larger difference of wall and monotonic clock between two ticks counts as a jump
	gossipInterval     = 100 * time.Millisecond // half of memberlist's default, so that many members that join at once are known sooner
	fullSyncInterval   = 15 * time.Second
	streamTimeout      = 2 * time.Second // of a full state exchange, which the table of an isolated member waits for
	maxSyncMembers     = 3               // known members that one full state exchange contacts
	maxPendingEvents   = 4096            // events that wait for the table; memberlist is blocked while there are more
	maxPendingMessages = 1024            // messages that wait to be sent; further ones are dropped, as datagrams may be
	leaveTimeout       = time.Second
	headerBytes        = 10 // of a message: the sender's slot with flags, and its incarnation
	// memberlist 0.7.0 orders its broadcasts by the number of transmissions, the length, and a counter that starts
	// again whenever the queue is empty for a moment. Two broadcasts that are equal in all three count as one, and one
	// of them is lost. Members that start together announce metadata of the same length, so each pads its own to a
	// different length.
	paddingModulus  = 61
	maxNameBytes    = 128
	maxPeerDrops    = 4096 // members whose dropped messages are reported
	maxMessageBytes = 256
	updateTimeout   = time.Second
	stateFileMode   = 0o600
)

// Config configures a member.
type Config struct {
	Name         string
	Address      string // host:port of its own socket, for UDP and TCP
	Seeds        []string
	KeyFile      string // base64 keys, one per line, the first encrypts; "": no encryption
	StatusSocket string // local socket that sloectl reads; "": none
	StateFile    string // keeps this member's claim and the last known members; "": nothing is saved
	Generation   uint64 // of the configuration
	Fleet        fleet.Config
	Transport    memberlist.Transport // nil: sockets at Address
	Election     election.Config      // of the owners of duties; off without duties
	PeerInfo     *peerinfo.Config     // nil: members share no records about themselves
	Zone         string               // of this member, its region
	Regions      map[string]*maintenance.Calendar

	version int // announced version; 0: metaVersion
}

// Engine is one member of a fleet. It is created by [New].
type Engine struct {
	cfg            Config
	log            *slog.Logger
	incarnation    uint64
	keyring        *memberlist.Keyring
	memberlist     *memberlist.Memberlist
	table          *fleet.Table
	saved          savedState
	savedAddresses []string          // of the last known members, from the state file ...
	savedClaims    fleet.SharedState // ... and their claims
	statusListener net.Listener      // nil: none

	duties           *duties       // nil: none
	peerInfo         *peerInfoSync // nil: none
	events           chan fleet.Event
	outbound         chan outboundMessage
	announceNeeded   chan struct{} // the member's metadata has changed
	saveNeeded       chan struct{} // pendingState has changed
	pendingState     atomic.Pointer[savedState]
	self             atomic.Pointer[fleet.Member]
	assignment       atomic.Pointer[fleet.Assignment]
	sharedState      atomic.Pointer[fleet.SharedState] // sent in full state exchanges
	status           atomic.Pointer[Status]
	validUntil       atomic.Int64  // end of the assignment's validity, since start
	assignmentNumber atomic.Uint64 // counts the assignments
	droppedMessages  atomic.Uint64
	syncing          atomic.Bool
	leaving          atomic.Bool
	regions          atomic.Pointer[map[string]*maintenance.Calendar] // regions that have a calendar, by name
	superseded       chan fleet.Member
	start            time.Time
	recoverySource   atomic.Pointer[RecoverySource] // nil: none

	mu        sync.Mutex
	nodes     map[string]*memberlist.Node // by memberlist's name, see nodeName
	peerDrops map[string]uint64           // messages that other members dropped, by name, as they last reported
	core      *gateway.Core
}

type outboundMessage struct {
	to   string // memberlist's name of the receiver
	data []byte
}

// Status is a member's view of its fleet, for operators. Its JSON names stay as they are, as sloectl of another version
// may read it.
type Status struct {
	Name            string
	Assignment      fleet.Assignment     `json:"Standing"`
	Members         []fleet.MemberStatus `json:"Rows"`
	Now             time.Duration        // on the clock of Members
	RecoveryPhase   string               `json:"Phase"` // progress of the recovery after a power loss; "": no recovery is running
	DroppedMessages uint64               `json:"Lost"`  // messages to others that were dropped because the queue was full
	Duties          []election.DutyStatus
	Electorate      election.Electorate `json:"Voters"` // who votes on duties, as far as this member knows
	PeerInfo        []PeerInfoRow       `json:"News"`   // what is known of members, sorted by name; empty if it is off
	PeerInfoStats   PeerInfoStats       `json:"Heard"`  // of the exchange of PeerInfo
	Clock           FleetClock          // the fleet's clock, if PeerInfo is on
	Regions         []RegionStatus      // those with a calendar, sorted by name
	WallMillis      int64               `json:"Wall"`  // time of this status in ms since 1970
	PeerDrops       map[string]uint64   `json:"Drops"` // of other members, by name, as of their last full state exchange
}

// New returns a member that has opened its socket and has not joined a fleet yet.
func New(cfg Config, log *slog.Logger) (*Engine, error) {
	e := &Engine{cfg: cfg, log: log, events: make(chan fleet.Event, maxPendingEvents), outbound: make(chan outboundMessage, maxPendingMessages),
		announceNeeded: make(chan struct{}, 1), saveNeeded: make(chan struct{}, 1), nodes: map[string]*memberlist.Node{}, peerDrops: map[string]uint64{}, superseded: make(chan fleet.Member, 1), start: time.Now()}
	if len(cfg.Name) > maxNameBytes {
		return nil, fmt.Errorf("the fleet: the member's name has %d bytes, want at most %d", len(cfg.Name), maxNameBytes)
	}
	if err := e.loadState(); err != nil {
		return nil, err
	}
	e.savedAddresses, e.savedClaims = e.saved.Members, e.savedSharedState()
	e.incarnation = max(uint64(time.Now().UnixMilli()), e.saved.Incarnation+1) // greater than the last one, even if the clock was set back
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

// startMemberlist creates the memberlist, without joining others.
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
	c.Name = strconv.FormatUint(e.incarnation, 36) + "." + e.cfg.Name // each incarnation is a node of its own to memberlist
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

// RecoverySource provides what a member knows of the time before a power loss.
type RecoverySource struct {
	Snapshot func() recovery.PeerSnapshot // sent to other members that start; the gateway gets theirs by DeliverRecoverySnapshot
	Phase    func() string                // progress of the recovery, for the status
}

// SetRecoverySource makes the member send the source's snapshots and show its phase from now on.
func (e *Engine) SetRecoverySource(source RecoverySource) { e.recoverySource.Store(&source) }

// Incarnation returns the incarnation of this process. Of two processes with one name the higher incarnation is the
// later one.
func (e *Engine) Incarnation() uint64 { return e.incarnation }

// Superseded returns a channel that receives the member that replaced this one: a later process with its name. This one
// has to end then.
func (e *Engine) Superseded() <-chan fleet.Member { return e.superseded }

// Status returns the last status; nil before there is one.
func (e *Engine) Status() *Status { return e.status.Load() }

// IsCurrent implements gateway.Member. It is false once the process was paused for longer than the assignment is valid.
func (e *Engine) IsCurrent(n uint64) bool {
	return n == e.assignmentNumber.Load() && int64(time.Since(e.start)) < e.validUntil.Load()
}

// Serve implements gateway.Member. It takes part in the fleet until the context ends, and then leaves it.
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
		e.log.Debug("announcing that this member leaves the fleet", "err", err)
	}
	if err := e.memberlist.Leave(leaveTimeout); err != nil {
		e.log.Debug("leaving the fleet", "err", err)
	}
	cancel()
	e.closeStatus()
	wg.Wait()
	if err := e.memberlist.Shutdown(); err != nil {
		e.log.Warn("failed to close the fleet's socket", "err", err)
	}
}

// run is the event loop, which owns the table and the duties.
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
			if time.Since(lastTick) > e.cfg.Fleet.PauseThreshold { // the process was paused: the table has to notice it before it votes
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

// publishStatus extends the assignment's validity and publishes the status and the state for full exchanges.
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

// applyAssignment passes a new assignment to the gateway.
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

// announceLoop sends this member's metadata to all members whenever it has changed.
func (e *Engine) announceLoop(ctx context.Context) {
	for {
		select {
		case <-e.announceNeeded:
			if err := e.memberlist.UpdateNode(updateTimeout); err != nil {
				e.log.Debug("failed to announce this member's metadata", "err", err)
				e.requestAnnounce() // memberlist's broadcast queue may have lost it
			}
		case <-ctx.Done():
			return
		}
	}
}

// requestAnnounce makes announceLoop send the latest metadata soon.
func (e *Engine) requestAnnounce() {
	select {
	case e.announceNeeded <- struct{}{}:
	default:
	}
}

// syncMembers exchanges the full state with up to maxSyncMembers members, also with the seeds unless skipSeeds is set
// and members are known, and also with the saved addresses if no member is known.
func (e *Engine) syncMembers(skipSeeds bool) {
	var addresses []string
	e.mu.Lock()
	for _, n := range e.nodes { // map order is random, so these are any of them
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
			if n, _ := e.memberlist.Join([]string{a}); n > 0 { // memberlist logs failures
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	e.syncing.Store(false)
	e.events <- fleet.SyncDone{OK: answered.Load() > 0}
}
