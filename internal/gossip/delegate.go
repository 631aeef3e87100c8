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

// This file holds memberlist's callbacks and the metadata and state that members exchange by them.

// nodeMeta is what a member announces about itself in memberlist's metadata, of at most 512 bytes.
type nodeMeta struct {
	Version     int    `json:"v"`
	Name        string `json:"n"`
	Incarnation uint64 `json:"l"`
	Generation  uint64 `json:"g,omitempty"`
	Slot        int    `json:"p"`
	Term        uint64 `json:"t,omitempty"`
	Padding     string `json:"z,omitempty"` // see paddingModulus
	Leaving     bool   `json:"x,omitempty"` // memberlist reports only that a node is gone, not whether it left by itself
}

// delegate receives memberlist's callbacks. They may block until the event loop takes an event; the event loop never
// waits for memberlist.
type delegate struct{ e *Engine }

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(limit int) []byte {
	self := d.e.self.Load()
	b, err := json.Marshal(nodeMeta{self.Version, self.Name, self.Incarnation, self.Generation, self.Claim.Slot, self.Claim.Term, strings.Repeat("-", int(self.Incarnation%paddingModulus)), d.e.leaving.Load()})
	if err != nil || len(b) > limit {
		return nil // does not happen: the name's length is limited
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
	slotAndFlags, incarnation := binary.BigEndian.Uint16(b), binary.BigEndian.Uint64(b[2:])
	if len(b) > headerBytes+maxPayloadBytes(slotAndFlags) {
		return
	}
	slot := int(slotAndFlags &^ (dutyFlag | peerInfoFlag))
	s := e.assignment.Load()
	if slot >= len(s.Holders) || s.Holders[slot].Incarnation != incarnation || slot == s.Slot {
		return // the sender has no slot here, or another one
	}
	if slotAndFlags&peerInfoFlag != 0 {
		e.peerInfo.receive(slot, b[headerBytes:])
		return
	}
	if slotAndFlags&dutyFlag != 0 {
		e.duties.receive(slot, b[headerBytes:])
		return
	}
	payload := string(b[headerBytes:])
	e.mu.Lock()
	core := e.core
	e.mu.Unlock()
	if core != nil {
		core.DeliverMessage(slot, payload)
	}
}

// GetBroadcasts implements memberlist.Delegate. There are none besides the members' own metadata.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (d delegate) LocalState(bool) []byte {
	state := exchangedState{SharedState: d.e.sharedState.Load(), Sender: d.e.cfg.Name, DroppedMessages: d.e.droppedMessages.Load()}
	if m := d.e.recoverySource.Load(); m != nil {
		var err error
		if state.RecoverySnapshot, err = cbor.Marshal(m.Snapshot()); err != nil {
			d.e.log.Error("fleet: failed to encode the recovery snapshot", "err", err)
		}
	}
	b, err := json.Marshal(state)
	if err != nil {
		return nil // numbers and strings always marshal
	}
	return b
}

// exchangedState is sent as JSON in a full state exchange. Versions without RecoverySnapshot ignore it.
type exchangedState struct {
	*fleet.SharedState
	Sender           string `json:"From,omitempty"` // the sender's name ...
	DroppedMessages  uint64 `json:"Lost,omitempty"` // ... and how many of its messages were dropped because its queue was full
	RecoverySnapshot []byte `json:"Word,omitempty"` // recovery.Word, in CBOR
}

// MergeRemoteState implements memberlist.Delegate.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	state := exchangedState{SharedState: &fleet.SharedState{}}
	if len(b) == 0 || json.Unmarshal(b, &state) != nil {
		return // of another version, and ignored
	}
	var snapshot recovery.PeerSnapshot
	if len(state.RecoverySnapshot) > 0 && d.e.recoverySource.Load() != nil && cbor.Unmarshal(state.RecoverySnapshot, &snapshot) == nil {
		d.e.mu.Lock()
		core := d.e.core
		d.e.mu.Unlock()
		if core != nil {
			core.DeliverRecoverySnapshot(snapshot)
		}
	}
	d.e.mu.Lock()
	if _, known := d.e.peerDrops[state.Sender]; state.Sender != "" && (known || len(d.e.peerDrops) < maxPeerDrops) {
		d.e.peerDrops[state.Sender] = state.DroppedMessages
	}
	d.e.mu.Unlock()
	d.e.events <- fleet.RemoteState{SharedState: *state.SharedState}
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
		node := *n
		d.e.mu.Lock()
		d.e.nodes[n.Name] = &node
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

// parseNode reads another member's metadata. ok is false if the node is this member or its name can't be parsed.
func (d delegate) parseNode(n *memberlist.Node) (m fleet.Member, leaving, ok bool) {
	prefix, name, _ := strings.Cut(n.Name, ".")
	incarnation, err := strconv.ParseUint(prefix, 36, 64)
	if err != nil || name == "" || incarnation == d.e.incarnation && name == d.e.cfg.Name {
		return m, false, false
	}
	m = fleet.Member{Name: name, Incarnation: incarnation, Addr: n.Address(), Claim: fleet.NoClaim}
	meta := nodeMeta{Slot: fleet.NoClaim.Slot}
	if json.Unmarshal(n.Meta, &meta) == nil {
		m.Generation, m.Version = meta.Generation, meta.Version
		if meta.Slot >= 0 {
			m.Claim = fleet.Claim{Slot: meta.Slot, Term: meta.Term}
		}
	}
	return m, meta.Leaving, true
}

// AckPayload implements memberlist.PingDelegate.
func (d delegate) AckPayload() []byte {
	d.e.reportContact() // a ping arrived
	return nil
}

// NotifyPingComplete implements memberlist.PingDelegate.
func (d delegate) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) { d.e.reportContact() }

// reportContact tells the table that another member was reached, unless many events are waiting already.
func (e *Engine) reportContact() {
	if len(e.events) < maxPendingEvents/2 {
		select {
		case e.events <- fleet.MemberContact{}:
		default:
		}
	}
}

// logWriter passes errors and warnings of memberlist to the log, without their times.
type logWriter struct{ log *slog.Logger }

func (l logWriter) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	if strings.HasPrefix(line, "[ERR]") || strings.HasPrefix(line, "[WARN]") {
		l.log.Debug("message from memberlist", "text", line)
	}
	return len(b), nil
}

var _ io.Writer = logWriter{}
