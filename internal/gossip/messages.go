package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"sloepick/internal/fleet"
)

// This file sends messages to slots.

// Send implements gateway.Peers.
func (e *Engine) Send(slot int, payload string) error { return e.sendToSlot(slot, 0, payload) }

// sendToSlot queues a message to the member in a slot. The flag is set in the sender's slot, and says which kind of
// message it is.
func (e *Engine) sendToSlot(slot int, flag uint16, payload string) error {
	s := e.assignment.Load()
	if slot < 0 || slot >= len(s.Holders) || s.Slot < 0 || len(payload) > maxPayloadBytes(flag) {
		return fmt.Errorf("can't send a message of %d bytes to slot %d", len(payload), slot)
	}
	holder := &s.Holders[slot]
	if holder.Name == "" || holder.State != fleet.Alive {
		return fmt.Errorf("no member is alive in slot %d", slot)
	}
	b := binary.BigEndian.AppendUint16(make([]byte, 0, headerBytes+len(payload)), uint16(s.Slot)|flag)
	b = append(binary.BigEndian.AppendUint64(b, e.incarnation), payload...)
	select {
	case e.outbound <- outboundMessage{nodeName(holder.Name, holder.Incarnation), b}:
		return nil
	default:
		e.droppedMessages.Add(1)
		return errors.New("too many messages are waiting to be sent")
	}
}

// maxPayloadBytes returns the size limit of messages with a flag.
func maxPayloadBytes(flag uint16) int {
	if flag&peerInfoFlag != 0 {
		return maxPeerInfoBytes
	}
	return maxMessageBytes
}

// sendLoop sends the queued messages. memberlist may wait for a lock, and the gateway's loop must not.
func (e *Engine) sendLoop(ctx context.Context) {
	for {
		select {
		case t := <-e.outbound:
			e.mu.Lock()
			n := e.nodes[t.to]
			e.mu.Unlock()
			if n == nil {
				continue
			}
			if err := e.memberlist.SendBestEffort(n, t.data); err != nil {
				e.log.Debug("failed to send a message", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

func nodeName(name string, incarnation uint64) string {
	return strconv.FormatUint(incarnation, 36) + "." + name
}
