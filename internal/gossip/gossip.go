// Package gossip is the engine round package fleet: it finds the other gateways by HashiCorp's memberlist, hands what it hears to
// the table, and carries out what that wants. Messages of the decision module go the same way, from place to place.
package gossip

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"sloepick/internal/fleet"
	"sloepick/internal/gateway"
	"sloepick/internal/owner"
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
	Table        fleet.Config
	Transport    memberlist.Transport // nil: sockets at Address
	Owner        owner.Config         // work on behalf of the fleet; no duties: there is none

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
	known  []string     // the last known members, as they were kept ...
	before fleet.Past   // ... with their claims
	status net.Listener // nil: none

	duties   *duties // nil: none
	events   chan fleet.Event
	tells    chan tell
	dirty    chan struct{} // something is to be announced
	unkept   chan struct{} // something is to be kept
	toKeep   atomic.Pointer[saved]
	self     atomic.Pointer[fleet.Member]
	standing atomic.Pointer[fleet.Standing]
	past     atomic.Pointer[fleet.Past] // that is passed on
	report   atomic.Pointer[Report]
	until    atomic.Int64  // of the standing, by the monotonic clock
	stood    atomic.Uint64 // counts the standings
	lost     atomic.Uint64
	syncing  atomic.Bool
	leaving  atomic.Bool
	yielded  chan fleet.Member
	start    time.Time
	memory   atomic.Pointer[Memory] // nil: none

	mu    sync.Mutex
	nodes map[string]*memberlist.Node // by life
	drops map[string]uint64           // messages that others dropped, by name, as they told last
	door  *gateway.Door
}

type tell struct {
	to   string // the life of the receiver
	text []byte
}

// meta is what a member tells of itself, as it stands in the engine's data: 512 bytes at most.
type meta struct {
	Version    int    `json:"v"`
	Name       string `json:"n"`
	Life       uint64 `json:"l"`
	Generation uint64 `json:"g,omitempty"`
	Place      int    `json:"p"`
	Term       uint64 `json:"t,omitempty"`
	Pad        string `json:"z,omitempty"` // see padMost
	Leaving    bool   `json:"x,omitempty"` // the engine tells its users only that one is gone, not that it said so
}

// saved is what a member keeps on its disk.
type saved struct {
	Name    string           `json:"name"`
	Life    uint64           `json:"life"`
	Claim   fleet.Claim      `json:"claim"`
	Members []string         `json:"members"` // addresses
	Held    []held           `json:"held"`    // what others claimed ...
	At      int64            `json:"at"`      // ... by this wall clock, in milliseconds since 1970
	Voters  owner.Electorate `json:"voters"`
}

// held is another member's claim, as it was known last: after a loss of power a place is kept for one whose disk is lost, too.
type held struct {
	Name  string      `json:"n"`
	Life  uint64      `json:"l"`
	Claim fleet.Claim `json:"c"`
}

// heldBefore is what the disk tells of others. They count as having left: whether they come back is not known, and until then they are
// no part of a majority.
func (e *Engine) heldBefore() (p fleet.Past) {
	ago := max(0, time.Since(time.UnixMilli(e.saved.At)))
	for _, h := range e.saved.Held {
		p.Absent = append(p.Absent, fleet.Absent{Member: fleet.Member{Name: h.Name, Life: h.Life, Claim: h.Claim}, State: fleet.Left, Ago: ago})
	}
	return p
}

// Report is a member's view of its fleet, for operators.
type Report struct {
	Name     string
	Standing fleet.Standing
	Rows     []fleet.Row
	Now      time.Duration // on the clock of the rows
	Phase    string        // how far service has returned; "": all is let in
	Lost     uint64        // messages to others that found the queue full
	Duties   []owner.Row
	Voters   owner.Electorate  // who votes on duties, as far as this member knows
	Drops    map[string]uint64 // those of other members, by name, as they told with their last whole state
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
	e.cfg.Table.Self = fleet.Member{Name: cfg.Name, Life: e.life, Generation: cfg.Generation, Version: cmp.Or(cfg.version, metaVersion), Claim: fleet.None}
	e.cfg.Table.Last = e.saved.Claim
	var err error
	if e.table, err = fleet.New(e.cfg.Table); err != nil {
		return nil, err
	}
	e.self.Store(&e.cfg.Table.Self)
	s := e.table.Standing()
	e.standing.Store(&s)
	e.past.Store(&fleet.Past{})
	if len(cfg.Owner.Duties) > 0 {
		if e.duties, err = newDuties(e, cfg.Owner); err != nil {
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

// readKeys reads encryption keys of 16, 24 or 32 bytes.
func readKeys(file string) (keys [][]byte, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("the fleet's keys: %w", err)
	}
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
		if err == nil {
			err = memberlist.ValidateKey(key)
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: not a key of 16, 24 or 32 bytes in base64: %w", file, i+1, err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// Memory is what a member knows of the time before a loss of power.
type Memory struct {
	Word  func() recovery.Word // what others are told that start; what they tell goes to the gateway by its Door
	Phase func() string        // how far service has returned, for the report
}

// Remember has the member tell what it knows, from now on.
func (e *Engine) Remember(m Memory) { e.memory.Store(&m) }

// Life is this process's: of two of one name the higher is the later.
func (e *Engine) Life() uint64 { return e.life }

// Reload takes the keys that stand in their file now, and a new generation of the configuration with the members that it expects. To rotate a key, add the new one
// behind the old one everywhere, then put it first, then drop the old one.
func (e *Engine) Reload(generation uint64, expect int) error {
	if e.ring != nil {
		keys, err := readKeys(e.cfg.KeyFile)
		if err != nil {
			return err
		}
		for _, k := range keys {
			if err := e.ring.AddKey(k); err != nil {
				return fmt.Errorf("the fleet's keys: %w", err)
			}
		}
		if err := e.ring.UseKey(keys[0]); err != nil {
			return fmt.Errorf("the fleet's keys: %w", err)
		}
		for _, k := range e.ring.GetKeys() {
			if !slices.ContainsFunc(keys, func(o []byte) bool { return string(o) == string(k) }) {
				if err := e.ring.RemoveKey(k); err != nil {
					return fmt.Errorf("the fleet's keys: %w", err)
				}
			}
		}
	}
	e.events <- fleet.Retune{Generation: generation, Expect: expect}
	return nil
}

// Yielded tells when this member has to end, as a later process has its name.
func (e *Engine) Yielded() <-chan fleet.Member { return e.yielded }

// Report is the table as it stands; nil before there is one.
func (e *Engine) Report() *Report { return e.report.Load() }

// Valid implements gateway.Member: a process that stood still must not go by what it was told before.
func (e *Engine) Valid(n uint64) bool {
	return n == e.stood.Load() && int64(time.Since(e.start)) < e.until.Load()
}

// Serve implements gateway.Member: it takes part until the context ends, and then says goodbye.
func (e *Engine) Serve(ctx context.Context, d *gateway.Door) {
	e.mu.Lock()
	e.door = d
	e.mu.Unlock()
	inner, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { e.send(inner) })
	wg.Go(func() { e.announce(inner) })
	wg.Go(func() { e.save(inner) })
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
	e.handle(fleet.Told{Past: e.before})
	e.handle(fleet.Tick{})
	for {
		select {
		case ev := <-e.events:
			e.handle(ev)
		case ev := <-e.duties.inbox():
			if time.Since(ticked) > e.cfg.Table.Gap { // it stood still: the table has to notice before it votes
				e.handle(fleet.Tick{})
				ticked = time.Now()
			}
			e.duties.handle(ev)
		case <-ticker.C:
			now := time.Now()
			ticked = now
			if jump := now.Round(0).Sub(wall.Round(0)) - now.Sub(wall); max(jump, -jump) > jumpMost {
				e.handle(fleet.Jumped{})
				e.duties.handle(owner.Woke{})
			}
			wall = now
			e.handle(fleet.Tick{})
			e.duties.handle(owner.Tick{Wall: uint64(max(0, now.UnixMilli()))})
			e.tell()
		case <-ctx.Done():
			e.handle(fleet.Leave{})
			return
		}
	}
}

// tell keeps what others may read: the standing's time, the report, and what is passed on.
func (e *Engine) tell() {
	now := time.Since(e.start)
	e.until.Store(int64(now + validFor))
	r := &Report{Name: e.cfg.Name, Standing: e.table.Standing(), Rows: e.table.Rows(), Now: now, Lost: e.lost.Load()}
	if m := e.memory.Load(); m != nil {
		r.Phase = m.Phase()
	}
	e.mu.Lock()
	r.Drops = maps.Clone(e.drops)
	e.mu.Unlock()
	if e.duties != nil {
		r.Duties, r.Voters = e.duties.rows(), e.duties.table.Electorate()
	}
	e.report.Store(r)
	past := e.table.Past()
	e.past.Store(&past)
}

func (e *Engine) handle(ev fleet.Event) {
	if r, ok := ev.(fleet.Retune); ok && r.Expect > 0 {
		e.cfg.Table.Expect = r.Expect
	}
	for _, a := range e.table.Handle(time.Since(e.start), ev) {
		switch a := a.(type) {
		case fleet.Announce:
			e.self.Store(&a.Self)
			e.speak()
		case fleet.Sync:
			if e.syncing.CompareAndSwap(false, true) {
				go e.sync(a.Few)
			}
		case fleet.Stand:
			e.stand(a.Standing)
		case fleet.Yield:
			select {
			case e.yielded <- a.To:
			default:
			}
		case fleet.Note:
			e.log.Info("fleet: " + a.Text)
		}
	}
}

// stand hands the standing to the gateway.
func (e *Engine) stand(s fleet.Standing) {
	e.standing.Store(&s)
	e.log.Info("fleet: standing", "place", s.Place, "term", s.Term, "alone", s.Alone)
	e.door.Stand(s, e.stood.Add(1))
	e.duties.stand(s)
	e.tell()
	if s.Place >= 0 {
		e.saved.Claim = fleet.Claim{Place: s.Place, Term: s.Term}
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
	e.events <- fleet.Synced{OK: answered.Load() > 0}
}

// Tell implements gateway.Peers.
func (e *Engine) Tell(place int, text string) error { return e.tellPlace(place, 0, text) }

// tellPlace sends a text to whoever is in a place. flag is set in the sender's place, and tells what the text is.
func (e *Engine) tellPlace(place int, flag uint16, text string) error {
	s := e.standing.Load()
	if place < 0 || place >= len(s.Holders) || s.Place < 0 || len(text) > messageMost {
		return fmt.Errorf("a message of %d bytes to place %d can't be sent", len(text), place)
	}
	h := &s.Holders[place]
	if h.Name == "" || h.State != fleet.Alive {
		return fmt.Errorf("nobody is in place %d", place)
	}
	b := binary.BigEndian.AppendUint16(make([]byte, 0, headLen+len(text)), uint16(s.Place)|flag)
	b = append(binary.BigEndian.AppendUint64(b, e.life), text...)
	select {
	case e.tells <- tell{lifeOf(h.Name, h.Life), b}:
		return nil
	default:
		e.lost.Add(1)
		return errors.New("too many messages wait to be sent")
	}
}

// send sends messages: the engine may wait for a lock, which the gateway's loop must not.
func (e *Engine) send(ctx context.Context) {
	for {
		select {
		case t := <-e.tells:
			e.mu.Lock()
			n := e.nodes[t.to]
			e.mu.Unlock()
			if n == nil {
				continue
			}
			if err := e.list.SendBestEffort(n, t.text); err != nil {
				e.log.Debug("a message was not sent", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

func lifeOf(name string, life uint64) string { return strconv.FormatUint(life, 36) + "." + name }

// load reads what was kept. What is torn or another member's is set aside with a line in the log: this member's place is then told by
// the others, who keep it for its name. A file that can't be read now, and may be later, is an error.
func (e *Engine) load() error {
	none := saved{Claim: fleet.None}
	e.saved = none
	if e.cfg.StateFile == "" {
		return nil
	}
	text, err := os.ReadFile(e.cfg.StateFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("the fleet's state in %s: %w", e.cfg.StateFile, err)
	}
	if err = json.Unmarshal(text, &e.saved); err == nil && e.saved.Name != "" && e.saved.Name != e.cfg.Name {
		err = fmt.Errorf("it is the member's %q", e.saved.Name)
	}
	if err != nil {
		e.saved = none
		e.log.Error("fleet: the state is set aside", "file", e.cfg.StateFile, "as", e.cfg.StateFile+badSuffix, "err", err)
		if err := os.Rename(e.cfg.StateFile, e.cfg.StateFile+badSuffix); err != nil {
			return fmt.Errorf("the fleet's state in %s: %w", e.cfg.StateFile, err)
		}
	}
	return nil
}

const badSuffix = ".bad" // behind the name of a file that is set aside

// keep has the place and who is there kept soon, the newest of it: the table must not wait for a disk.
func (e *Engine) keep() {
	if e.cfg.StateFile == "" {
		return
	}
	e.saved.Name, e.saved.Life, e.saved.Members = e.cfg.Name, e.life, nil
	e.mu.Lock()
	for _, n := range e.nodes {
		e.saved.Members = append(e.saved.Members, n.Address())
	}
	e.mu.Unlock()
	slices.Sort(e.saved.Members)
	e.saved.At, e.saved.Held = time.Now().UnixMilli(), nil
	for _, r := range e.table.Rows() {
		if !r.Self && r.State != fleet.Left && r.Claim.Place >= 0 {
			e.saved.Held = append(e.saved.Held, held{r.Name, r.Life, r.Claim})
		}
	}
	next := e.saved
	e.toKeep.Store(&next)
	select {
	case e.unkept <- struct{}{}:
	default:
	}
}

// save writes what is to be kept, whole or not at all, until the context ends and nothing is left.
func (e *Engine) save(ctx context.Context) {
	write := func() {
		if s := e.toKeep.Swap(nil); s != nil {
			if err := writeWhole(e.cfg.StateFile, *s); err != nil {
				e.log.Warn("the fleet's state was not kept", "err", err)
			}
		}
	}
	for {
		select {
		case <-e.unkept:
			write()
		case <-ctx.Done():
			write()
			return
		}
	}
}

func writeWhole(file string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name()) // gone by then, if all went well
	_, err = tmp.Write(text)
	err = errors.Join(err, tmp.Chmod(stateFileMode), tmp.Sync(), tmp.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), file)
}

// delegate is what memberlist calls. It must not wait for the table's goroutine while that waits for memberlist, which it never
// does.
type delegate struct{ e *Engine }

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(limit int) []byte {
	m := d.e.self.Load()
	b, err := json.Marshal(meta{m.Version, m.Name, m.Life, m.Generation, m.Claim.Place, m.Claim.Term, strings.Repeat("-", int(m.Life%padMost)), d.e.leaving.Load()})
	if err != nil || len(b) > limit {
		return nil // a name is checked to be short
	}
	return b
}

// NotifyMsg implements memberlist.Delegate.
func (d delegate) NotifyMsg(b []byte) {
	e := d.e
	e.heard()
	if len(b) <= headLen || len(b) > headLen+messageMost {
		return
	}
	head, life := binary.BigEndian.Uint16(b), binary.BigEndian.Uint64(b[2:])
	place := int(head &^ dutyFlag)
	s := e.standing.Load()
	if place >= len(s.Holders) || s.Holders[place].Life != life || place == s.Place {
		return // of one that has no place here, or not that one
	}
	if head&dutyFlag != 0 {
		e.duties.message(place, b[headLen:])
		return
	}
	text := string(b[headLen:])
	e.mu.Lock()
	door := e.door
	e.mu.Unlock()
	if door != nil {
		door.Message(place, text)
	}
}

// GetBroadcasts implements memberlist.Delegate: all that is spread stands in members' own data.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (d delegate) LocalState(bool) []byte {
	s := state{Past: d.e.past.Load(), From: d.e.cfg.Name, Lost: d.e.lost.Load()}
	if m := d.e.memory.Load(); m != nil {
		var err error
		if s.Word, err = cbor.Marshal(m.Word()); err != nil {
			d.e.log.Error("fleet: what is known can't be told", "err", err)
		}
	}
	b, err := json.Marshal(s)
	if err != nil {
		return nil // numbers and strings always marshal
	}
	return b
}

// state is what goes with an exchange of whole states, as JSON. Members of a version without Word pass over it.
type state struct {
	*fleet.Past
	From string `json:",omitempty"` // who tells it ...
	Lost uint64 `json:",omitempty"` // ... and how many of its messages found its queue full
	Word []byte `json:",omitempty"` // recovery.Word, in CBOR
}

// MergeRemoteState implements memberlist.Delegate.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	s := state{Past: &fleet.Past{}}
	if len(b) == 0 || json.Unmarshal(b, &s) != nil {
		return // of another version: nothing is learned from it
	}
	var w recovery.Word
	if len(s.Word) > 0 && d.e.memory.Load() != nil && cbor.Unmarshal(s.Word, &w) == nil {
		d.e.mu.Lock()
		door := d.e.door
		d.e.mu.Unlock()
		if door != nil {
			door.Word(w)
		}
	}
	d.e.mu.Lock()
	if _, known := d.e.drops[s.From]; s.From != "" && (known || len(d.e.drops) < dropsMost) {
		d.e.drops[s.From] = s.Lost
	}
	d.e.mu.Unlock()
	d.e.events <- fleet.Told{Past: *s.Past}
}

// NotifyJoin implements memberlist.EventDelegate.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.seen(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.seen(n) }

func (d delegate) seen(n *memberlist.Node) {
	if m, leaving, ok := d.member(n); leaving {
		d.e.events <- fleet.Gone{Name: m.Name, Life: m.Life, Left: true}
	} else if ok {
		c := *n
		d.e.mu.Lock()
		d.e.nodes[n.Name] = &c
		d.e.mu.Unlock()
		d.e.events <- fleet.Seen{Member: m}
	}
}

// NotifyLeave implements memberlist.EventDelegate.
func (d delegate) NotifyLeave(n *memberlist.Node) {
	if m, leaving, ok := d.member(n); ok {
		d.e.mu.Lock()
		delete(d.e.nodes, n.Name)
		d.e.mu.Unlock()
		d.e.events <- fleet.Gone{Name: m.Name, Life: m.Life, Left: leaving}
	}
}

// member reads what another member tells of itself; false: it is this one, or can't be read.
func (d delegate) member(n *memberlist.Node) (m fleet.Member, leaving, ok bool) {
	life, name, _ := strings.Cut(n.Name, ".")
	no, err := strconv.ParseUint(life, 36, 64)
	if err != nil || name == "" || no == d.e.life && name == d.e.cfg.Name {
		return m, false, false
	}
	m = fleet.Member{Name: name, Life: no, Addr: n.Address(), Claim: fleet.None}
	t := meta{Place: fleet.None.Place}
	if json.Unmarshal(n.Meta, &t) == nil {
		m.Generation, m.Version = t.Generation, t.Version
		if t.Place >= 0 {
			m.Claim = fleet.Claim{Place: t.Place, Term: t.Term}
		}
	}
	return m, t.Leaving, true
}

// AckPayload implements memberlist.PingDelegate.
func (d delegate) AckPayload() []byte {
	d.e.heard() // a ping has come
	return nil
}

// NotifyPingComplete implements memberlist.PingDelegate.
func (d delegate) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) { d.e.heard() }

// heard tells the table that another member is there. One that waits already says enough.
func (e *Engine) heard() {
	if len(e.events) < eventsMost/2 {
		select {
		case e.events <- fleet.Heard{}:
		default:
		}
	}
}

// logTo passes the engine's log on, without its time.
type logTo struct{ log *slog.Logger }

func (l logTo) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	if strings.HasPrefix(line, "[ERR]") || strings.HasPrefix(line, "[WARN]") {
		l.log.Debug("fleet's engine", "text", line)
	}
	return len(b), nil
}

var _ io.Writer = logTo{}
