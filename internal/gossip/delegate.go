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

// nodeMeta is what a member tells of itself, as it stands in the engine's data: 512 bytes at most.
type nodeMeta struct {
	Version     int    `json:"v"`
	Name        string `json:"n"`
	Incarnation uint64 `json:"l"`
	Generation  uint64 `json:"g,omitempty"`
	Slot        int    `json:"p"`
	Term        uint64 `json:"t,omitempty"`
	Padding     string `json:"z,omitempty"` // see padMost
	Leaving     bool   `json:"x,omitempty"` // the engine tells its users only that one is gone, not that it said so
}

// delegate is what memberlist calls. It must not wait for the table's goroutine while that waits for memberlist, which it never
// does.
type delegate struct{ e *Engine }

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(limit int) []byte {
	m := d.e.self.Load()
	b, err := json.Marshal(nodeMeta{m.Version, m.Name, m.Incarnation, m.Generation, m.Claim.Slot, m.Claim.Term, strings.Repeat("-", int(m.Incarnation%paddingModulus)), d.e.leaving.Load()})
	if err != nil || len(b) > limit {
		return nil // a name is checked to be short
	}
	return b
}

// NotifyMsg implements memberlist.Delegate.
func (d delegate) NotifyMsg(b []byte) {
	e := d.e
	e.reportContact()
	if len(b) <= headerBytes {
		return
	}
	head, life := binary.BigEndian.Uint16(b), binary.BigEndian.Uint64(b[2:])
	if len(b) > headerBytes+maxPayloadBytes(head) {
		return
	}
	place := int(head &^ (dutyFlag | peerInfoFlag))
	s := e.assignment.Load()
	if place >= len(s.Holders) || s.Holders[place].Incarnation != life || place == s.Slot {
		return // of one that has no place here, or not that one
	}
	if head&peerInfoFlag != 0 {
		e.peerInfo.receive(place, b[headerBytes:])
		return
	}
	if head&dutyFlag != 0 {
		e.duties.receive(place, b[headerBytes:])
		return
	}
	text := string(b[headerBytes:])
	e.mu.Lock()
	door := e.core
	e.mu.Unlock()
	if door != nil {
		door.DeliverMessage(place, text)
	}
}

// GetBroadcasts implements memberlist.Delegate: all that is spread stands in members' own data.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (d delegate) LocalState(bool) []byte {
	s := exchangedState{SharedState: d.e.sharedState.Load(), Sender: d.e.cfg.Name, DroppedMessages: d.e.droppedMessages.Load()}
	if m := d.e.recoverySource.Load(); m != nil {
		var err error
		if s.RecoverySnapshot, err = cbor.Marshal(m.Snapshot()); err != nil {
			d.e.log.Error("fleet: what is known can't be told", "err", err)
		}
	}
	b, err := json.Marshal(s)
	if err != nil {
		return nil // numbers and strings always marshal
	}
	return b
}

// exchangedState is what goes with an exchange of whole states, as JSON. Members of a version without Word pass over it.
type exchangedState struct {
	*fleet.SharedState
	Sender           string `json:"From,omitempty"` // who tells it ...
	DroppedMessages  uint64 `json:"Lost,omitempty"` // ... and how many of its messages found its queue full
	RecoverySnapshot []byte `json:"Word,omitempty"` // recovery.Word, in CBOR
}

// MergeRemoteState implements memberlist.Delegate.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	s := exchangedState{SharedState: &fleet.SharedState{}}
	if len(b) == 0 || json.Unmarshal(b, &s) != nil {
		return // of another version: nothing is learned from it
	}
	var w recovery.Word
	if len(s.RecoverySnapshot) > 0 && d.e.recoverySource.Load() != nil && cbor.Unmarshal(s.RecoverySnapshot, &w) == nil {
		d.e.mu.Lock()
		door := d.e.core
		d.e.mu.Unlock()
		if door != nil {
			door.DeliverRecoverySnapshot(w)
		}
	}
	d.e.mu.Lock()
	if _, known := d.e.peerDrops[s.Sender]; s.Sender != "" && (known || len(d.e.peerDrops) < maxPeerDrops) {
		d.e.peerDrops[s.Sender] = s.DroppedMessages
	}
	d.e.mu.Unlock()
	d.e.events <- fleet.RemoteState{SharedState: *s.SharedState}
}

// NotifyJoin implements memberlist.EventDelegate.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.nodeUpdated(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.nodeUpdated(n) }

func (d delegate) nodeUpdated(n *memberlist.Node) {
	if m, leaving, ok := d.parseNode(n); leaving {
		d.e.peerInfo.memberLeft(m)
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
	if m, leaving, ok := d.parseNode(n); ok {
		d.e.mu.Lock()
		delete(d.e.nodes, n.Name)
		d.e.mu.Unlock()
		d.e.events <- fleet.MemberGone{Name: m.Name, Incarnation: m.Incarnation, Left: leaving}
	}
}

// parseNode reads what another parseNode tells of itself; false: it is this one, or can't be read.
func (d delegate) parseNode(n *memberlist.Node) (m fleet.Member, leaving, ok bool) {
	life, name, _ := strings.Cut(n.Name, ".")
	no, err := strconv.ParseUint(life, 36, 64)
	if err != nil || name == "" || no == d.e.incarnation && name == d.e.cfg.Name {
		return m, false, false
	}
	m = fleet.Member{Name: name, Incarnation: no, Addr: n.Address(), Claim: fleet.NoClaim}
	t := nodeMeta{Slot: fleet.NoClaim.Slot}
	if json.Unmarshal(n.Meta, &t) == nil {
		m.Generation, m.Version = t.Generation, t.Version
		if t.Slot >= 0 {
			m.Claim = fleet.Claim{Slot: t.Slot, Term: t.Term}
		}
	}
	return m, t.Leaving, true
}

// AckPayload implements memberlist.PingDelegate.
func (d delegate) AckPayload() []byte {
	d.e.reportContact() // a ping has come
	return nil
}

// NotifyPingComplete implements memberlist.PingDelegate.
func (d delegate) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) { d.e.reportContact() }

// reportContact tells the table that another member is there. One that waits already says enough.
func (e *Engine) reportContact() {
	if len(e.events) < maxPendingEvents/2 {
		select {
		case e.events <- fleet.MemberContact{}:
		default:
		}
	}
}

// logWriter passes the engine's log on, without its time.
type logWriter struct{ log *slog.Logger }

func (l logWriter) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	if strings.HasPrefix(line, "[ERR]") || strings.HasPrefix(line, "[WARN]") {
		l.log.Debug("fleet's engine", "text", line)
	}
	return len(b), nil
}

var _ io.Writer = logWriter{}
