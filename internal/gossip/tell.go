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
func (e *Engine) Send(place int, text string) error { return e.tellPlace(place, 0, text) }

// tellPlace sends a text to whoever is in a place. flag is set in the sender's place, and tells what the text is.
func (e *Engine) tellPlace(place int, flag uint16, text string) error {
	s := e.standing.Load()
	if place < 0 || place >= len(s.Holders) || s.Slot < 0 || len(text) > mostOf(flag) {
		return fmt.Errorf("a message of %d bytes to place %d can't be sent", len(text), place)
	}
	h := &s.Holders[place]
	if h.Name == "" || h.State != fleet.Alive {
		return fmt.Errorf("nobody is in place %d", place)
	}
	b := binary.BigEndian.AppendUint16(make([]byte, 0, headLen+len(text)), uint16(s.Slot)|flag)
	b = append(binary.BigEndian.AppendUint64(b, e.life), text...)
	select {
	case e.tells <- tell{lifeOf(h.Name, h.Incarnation), b}:
		return nil
	default:
		e.lost.Add(1)
		return errors.New("too many messages wait to be sent")
	}
}

// mostOf is how many bytes a message may have.
func mostOf(flag uint16) int {
	if flag&newsFlag != 0 {
		return newsMost
	}
	return messageMost
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
