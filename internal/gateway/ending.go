package gateway

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"
)

// asker is where a request came from: a front's own place for its answer. The loop tells it the request's one ending.
type asker interface{ ended(l *loop, e ending) }

// ending is how a request ended for its client, in no protocol's words. A front makes its bytes of it.
type ending struct {
	kind  endKind
	value []byte        // of what was served: the node's value; of what is ready: the front's own bytes
	after time.Duration // of what was refused: when to come again; 0: no advice
	why   string        // of what failed or was turned away
	quota bool          // of what was refused: the customer's quota has no room
	late  bool          // of what failed: time was up
	taken bool          // of what was turned away: a request with its id is open
}

type endKind int

const (
	endReady    endKind = iota // needs no decision: a PING's answer, say
	endServed                  // the value as a node gave it
	endRefused                 // trying again is harmless
	endFailed                  // nothing is promised
	endRejected                // the request itself can't be taken
)

// appendRESP is an ending as RESP2 has it.
func (e *ending) appendRESP(b []byte) []byte {
	switch e.kind {
	case endReady:
		return append(b, e.value...)
	case endServed:
		return redcon.AppendBulk(b, e.value)
	case endRefused:
		b = append(b, "-BUSY"...)
		if e.after > 0 {
			ms := (e.after + time.Millisecond - 1) / time.Millisecond
			b = strconv.AppendInt(append(b, ' '), int64(ms), 10)
		}
		return append(b, "\r\n"...)
	}
	return redcon.AppendError(b, "ERR "+e.why)
}
