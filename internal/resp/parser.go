// Package resp is RESP2's front and back: clients and nodes that speak it, on the gateway's core. One goroutine a connection
// reads; everything else happens in the core's loop.
package resp

import (
	"bytes"
	"errors"
	"strconv"
	"unicode/utf8"

	"sloepick/internal/gateway"
)

// Bounds on what peers send. Each is checked on the header that tells it, so that what can't become a command
// or an answer ends at once, however much of it is yet to come, and what is partly there costs a look at a few
// headers with each read, not a pass over its bytes. (The RESP library waits for all of a huge or negative
// length, and panics on some.)
const (
	maxValueSize   = gateway.MaxPayloadSize
	maxHeaderSize  = 16                   // bytes of a header, "$65536\r\n" and some
	maxArgs        = 16                   // of a command: the longest that clients use has five
	maxCommandSize = maxValueSize + 4<<10 // bytes of a whole command
	maxFieldSize   = 4 << 10              // bytes of a figure, of a load report and of an error line
	maxReplySize   = maxValueSize + 3*maxFieldSize
)

var errFraming = errors.New("protocol error: expected an array of bulk strings within the limits")

// parseHeader reads a kind and a number, such as "$12\r\n". used is 0 while more of it must come.
func parseHeader(b []byte, kind byte, minValue, maxValue int) (n, used int, err error) {
	if len(b) == 0 {
		return 0, 0, nil
	}
	end := bytes.IndexByte(b[:min(len(b), maxHeaderSize)], '\n')
	if b[0] != kind || (end < 0 && len(b) >= maxHeaderSize) || (end > 0 && b[end-1] != '\r') {
		return 0, 0, errFraming
	}
	if end < 0 {
		return 0, 0, nil
	}
	n, err = strconv.Atoi(string(b[1 : end-1]))
	if err != nil || n < minValue || n > maxValue || b[1] == '+' {
		return 0, 0, errFraming
	}
	return n, end + 1, nil
}

// parseBulk reads a parseBulk string. used is 0 while more of it must come. A null one, allowed where least is -1, has
// no value.
func parseBulk(b []byte, minLen, maxLen int) (value []byte, used int, err error) {
	n, start, err := parseHeader(b, '$', minLen, maxLen)
	if err != nil || start == 0 || n < 0 {
		return nil, start, err
	}
	end := start + n
	if len(b) > end && b[end] != '\r' || len(b) > end+1 && b[end+1] != '\n' {
		return nil, 0, errFraming
	}
	if len(b) < end+2 {
		return nil, 0, nil
	}
	return b[start:end], end + 2, nil
}

// parseCommand reads a command; used is 0 while more of it must come. The arguments share memory with b.
func parseCommand(b []byte, reuse [][]byte) (used int, args [][]byte, err error) {
	args = reuse[:0]
	count, pos, err := parseHeader(b, '*', 0, maxArgs)
	if err != nil || pos == 0 {
		return 0, args, err
	}
	for range count {
		arg, n, err := parseBulk(b[pos:], 0, min(maxValueSize, maxCommandSize-pos))
		if err != nil || n == 0 {
			return 0, args, err
		}
		args, pos = append(args, arg), pos+n
	}
	return pos, args, nil
}

var errInvalidReply = errors.New("not an answer")

// nodeReply is what a server said to a request.
type nodeReply struct {
	result gateway.AttemptResult // 0: served
	value  []byte                // shares memory with what was read
	usage  []byte                // on use, likewise
	inSync bool                  // the whole of it was read, so the next answer can be told from it
}

// parseReply reads a server's answer, exactly: an array of the value, the figures on use or null, and the load
// report or null; or an error line. used is 0 while more must come. Figures or a report that can't be read
// leave the connection out of step, but do the value no harm.
func parseReply(b []byte) (reply nodeReply, used int, err error) {
	if len(b) == 0 || b[0] != '-' {
		return parseServedReply(b)
	}
	result, used, err := parseErrorReply(b)
	return nodeReply{result: result, inSync: true}, used, err
}

// parseErrorReply reads a line such as "-BUSY" or "-ERR failed queue=2".
func parseErrorReply(b []byte) (result gateway.AttemptResult, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxFieldSize)], '\n')
	if end < 0 && len(b) < maxFieldSize {
		return 0, 0, nil
	}
	if end < 2 || b[end-1] != '\r' || !utf8.Valid(b[:end]) {
		return 0, 0, errInvalidReply
	}
	code, _, _ := bytes.Cut(b[1:end-1], []byte(" "))
	if len(code) == 0 || bytes.ContainsFunc(code, func(r rune) bool { return r < 'A' || r > 'Z' }) {
		return 0, 0, errInvalidReply
	}
	if string(code) == "BUSY" {
		return gateway.RefusedByNode, end + 1, nil
	}
	return gateway.BadResponse, end + 1, nil
}

func parseServedReply(b []byte) (reply nodeReply, used int, err error) {
	_, start, err := parseHeader(b, '*', 3, 3)
	if err != nil || start == 0 {
		return reply, 0, err
	}
	value, n, err := parseBulk(b[start:], 0, maxValueSize)
	if err != nil || n == 0 {
		return reply, 0, err
	}
	pos := start + n
	reply = nodeReply{value: value, inSync: true}
	for i := range 2 { // figures on use, and the load report, by which nothing is decided
		field, n, err := parseBulk(b[pos:], -1, maxFieldSize)
		if err != nil {
			reply.inSync = false
			return reply, len(b), nil
		}
		if n == 0 {
			return reply, 0, nil
		}
		if i == 0 {
			reply.usage = field
		}
		pos += n
	}
	return reply, pos, nil
}
