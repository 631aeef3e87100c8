package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"sloepick/internal/fleet"
)

// This file is messages from place to place.

// Send implements gateway.Peers.
func (e *Engine) Send(slot int, payload string) error { return e.sendToSlot(slot, 0, payload) }

// sendToSlot sends a text to whoever is in a place. flag is set in the sender's place, and tells what the text is.
func (e *Engine) sendToSlot(slot int, flag uint16, payload string) error {
	s := e.assignment.Load()
	if slot < 0 || slot >= len(s.Holders) || s.Slot < 0 || len(payload) > maxPayloadBytes(flag) {
		return fmt.Errorf("a message of %d bytes to place %d can't be sent", len(payload), slot)
	}
	holder := &s.Holders[slot]
	if holder.Name == "" || holder.State != fleet.Alive {
		return fmt.Errorf("nobody is in place %d", slot)
	}
	b := binary.BigEndian.AppendUint16(make([]byte, 0, headerBytes+len(payload)), uint16(s.Slot)|flag)
	b = append(binary.BigEndian.AppendUint64(b, e.incarnation), payload...)
	select {
	case e.outbound <- outboundMessage{nodeName(holder.Name, holder.Incarnation), b}:
		return nil
	default:
		e.droppedMessages.Add(1)
		return errors.New("too many messages wait to be sent")
	}
}

// maxPayloadBytes is how many bytes a message may have.
func maxPayloadBytes(flag uint16) int {
	if flag&peerInfoFlag != 0 {
		return maxPeerInfoBytes
	}
	return maxMessageBytes
}

// sendLoop sends messages: the engine may wait for a lock, which the gateway's loop must not.
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
				e.log.Debug("a message was not sent", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

func nodeName(name string, incarnation uint64) string {
	return strconv.FormatUint(incarnation, 36) + "." + name
}
