package gossip

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"sloepick/internal/fleet"
	"sloepick/internal/recovery"
)

// This file is what memberlist calls, and what members tell of themselves.

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

// delegate is what memberlist calls. It must not wait for the table's goroutine while that waits for memberlist, which it never
// does.
type delegate struct{ e *Engine }

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(limit int) []byte {
	m := d.e.self.Load()
	b, err := json.Marshal(meta{m.Version, m.Name, m.Incarnation, m.Generation, m.Claim.Slot, m.Claim.Term, strings.Repeat("-", int(m.Incarnation%padMost)), d.e.leaving.Load()})
	if err != nil || len(b) > limit {
		return nil // a name is checked to be short
	}
	return b
}

// NotifyMsg implements memberlist.Delegate.
func (d delegate) NotifyMsg(b []byte) {
	e := d.e
	e.heard()
	if len(b) <= headLen {
		return
	}
	head, life := binary.BigEndian.Uint16(b), binary.BigEndian.Uint64(b[2:])
	if len(b) > headLen+mostOf(head) {
		return
	}
	place := int(head &^ (dutyFlag | newsFlag))
	s := e.standing.Load()
	if place >= len(s.Holders) || s.Holders[place].Incarnation != life || place == s.Slot {
		return // of one that has no place here, or not that one
	}
	if head&newsFlag != 0 {
		e.news.message(place, b[headLen:])
		return
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
		door.DeliverMessage(place, text)
	}
}

// GetBroadcasts implements memberlist.Delegate: all that is spread stands in members' own data.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (d delegate) LocalState(bool) []byte {
	s := state{SharedState: d.e.past.Load(), From: d.e.cfg.Name, Lost: d.e.lost.Load()}
	if m := d.e.memory.Load(); m != nil {
		var err error
		if s.Word, err = cbor.Marshal(m.Snapshot()); err != nil {
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
	*fleet.SharedState
	From string `json:",omitempty"` // who tells it ...
	Lost uint64 `json:",omitempty"` // ... and how many of its messages found its queue full
	Word []byte `json:",omitempty"` // recovery.Word, in CBOR
}

// MergeRemoteState implements memberlist.Delegate.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	s := state{SharedState: &fleet.SharedState{}}
	if len(b) == 0 || json.Unmarshal(b, &s) != nil {
		return // of another version: nothing is learned from it
	}
	var w recovery.PeerSnapshot
	if len(s.Word) > 0 && d.e.memory.Load() != nil && cbor.Unmarshal(s.Word, &w) == nil {
		d.e.mu.Lock()
		door := d.e.door
		d.e.mu.Unlock()
		if door != nil {
			door.DeliverRecoverySnapshot(w)
		}
	}
	d.e.mu.Lock()
	if _, known := d.e.drops[s.From]; s.From != "" && (known || len(d.e.drops) < dropsMost) {
		d.e.drops[s.From] = s.Lost
	}
	d.e.mu.Unlock()
	d.e.events <- fleet.RemoteState{SharedState: *s.SharedState}
}

// NotifyJoin implements memberlist.EventDelegate.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.seen(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.seen(n) }

func (d delegate) seen(n *memberlist.Node) {
	if m, leaving, ok := d.member(n); leaving {
		d.e.news.left(m)
		d.e.events <- fleet.MemberGone{Name: m.Name, Incarnation: m.Incarnation, Left: true}
	} else if ok {
		c := *n
		d.e.mu.Lock()
		d.e.nodes[n.Name] = &c
		d.e.mu.Unlock()
		d.e.events <- fleet.MemberAlive{Member: m}
	}
}

// NotifyLeave implements memberlist.EventDelegate.
func (d delegate) NotifyLeave(n *memberlist.Node) {
	if m, leaving, ok := d.member(n); ok {
		d.e.mu.Lock()
		delete(d.e.nodes, n.Name)
		d.e.mu.Unlock()
		d.e.events <- fleet.MemberGone{Name: m.Name, Incarnation: m.Incarnation, Left: leaving}
	}
}

// member reads what another member tells of itself; false: it is this one, or can't be read.
func (d delegate) member(n *memberlist.Node) (m fleet.Member, leaving, ok bool) {
	life, name, _ := strings.Cut(n.Name, ".")
	no, err := strconv.ParseUint(life, 36, 64)
	if err != nil || name == "" || no == d.e.life && name == d.e.cfg.Name {
		return m, false, false
	}
	m = fleet.Member{Name: name, Incarnation: no, Addr: n.Address(), Claim: fleet.NoClaim}
	t := meta{Place: fleet.NoClaim.Slot}
	if json.Unmarshal(n.Meta, &t) == nil {
		m.Generation, m.Version = t.Generation, t.Version
		if t.Place >= 0 {
			m.Claim = fleet.Claim{Slot: t.Place, Term: t.Term}
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
		case e.events <- fleet.MemberContact{}:
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
