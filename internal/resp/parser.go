package resp

import (
	"bytes"
	"errors"
	"strconv"
	"unicode/utf8"

	"sloepick/internal/gateway"
)

// Limits on received data. Each is checked as soon as the header that announces the length is there, so that invalid
// input is rejected without waiting for the rest of it, and each read of a partial command or reply costs a check of
// a few headers, not a scan of all its bytes. (The RESP library waits for the whole of a huge or negative length, and
// panics on some lengths.)
const (
	maxValueSize   = gateway.MaxPayloadSize
	maxHeaderSize  = 16                   // bytes; "$65536\r\n" has 8
	maxArgs        = 16                   // of a command; the longest command that clients send has five
	maxCommandSize = maxValueSize + 4<<10 // bytes of a complete command
	maxFieldSize   = 4 << 10              // bytes of the usage field, of the load report or of an error line
	maxReplySize   = maxValueSize + 3*maxFieldSize
)

var errFraming = errors.New("protocol error: expected an array of bulk strings within the limits")

// parseHeader parses a type byte and a number, such as "$12\r\n". used is 0 if the header is incomplete.
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

// parseBulk parses a bulk string. used is 0 if it is incomplete. A null bulk string is accepted if minLen is -1; its
// value is nil.
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

// parseCommand parses a command, an array of bulk strings, into args, whose memory it takes from reuse. used is 0 if
// the command is incomplete. The arguments share memory with b.
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

// commandSize returns how many bytes the incomplete command at the start of b needs at least, and so much more that the next
// header fits as well. It is greater than the length of b.
func commandSize(b []byte) int {
	count, pos, _ := parseHeader(b, '*', 0, maxArgs)
	for range count {
		n, start, _ := parseHeader(b[min(pos, len(b)):], '$', 0, maxValueSize)
		if start == 0 {
			break
		}
		pos += start + n + len("\r\n")
	}
	return max(pos, len(b)) + maxHeaderSize
}

var errInvalidReply = errors.New("invalid reply")

// nodeReply is a server's reply to a request.
type nodeReply struct {
	result gateway.AttemptResult // 0: served
	value  []byte                // shares memory with the read buffer
	usage  []byte                // the server's usage field; shares memory with the read buffer
	inSync bool                  // the reply was read up to its end, so the next bytes begin a new one
}

// parseReply parses a server's reply strictly: either an array of the value, the usage field or null, and the load
// report or null, or an error line. used is 0 if the reply is incomplete. If the usage field or the load report is
// invalid, the value is still used, but the connection is out of sync.
func parseReply(b []byte) (reply nodeReply, used int, err error) {
	if len(b) == 0 || b[0] != '-' {
		return parseServedReply(b)
	}
	result, used, err := parseErrorReply(b)
	return nodeReply{result: result, inSync: true}, used, err
}

// parseErrorReply parses an error line such as "-BUSY" or "-ERR failed queue=2".
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

// parseServedReply parses the reply to a served request, an array.
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
	for i := range 2 { // the usage field, then the load report, which is ignored
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
