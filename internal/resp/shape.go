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
	valueMost   = gateway.MaxPayloadSize
	headerMost  = 16                // bytes of a header, "$65536\r\n" and some
	argsMost    = 16                // of a command: the longest that clients use has five
	commandMost = valueMost + 4<<10 // bytes of a whole command
	fieldMost   = 4 << 10           // bytes of a figure, of a load report and of an error line
	answerMost  = valueMost + 3*fieldMost
)

var errFraming = errors.New("protocol error: expected an array of bulk strings within the limits")

// header reads a kind and a number, such as "$12\r\n". used is 0 while more of it must come.
func header(b []byte, kind byte, least, most int) (n, used int, err error) {
	if len(b) == 0 {
		return 0, 0, nil
	}
	end := bytes.IndexByte(b[:min(len(b), headerMost)], '\n')
	if b[0] != kind || (end < 0 && len(b) >= headerMost) || (end > 0 && b[end-1] != '\r') {
		return 0, 0, errFraming
	}
	if end < 0 {
		return 0, 0, nil
	}
	n, err = strconv.Atoi(string(b[1 : end-1]))
	if err != nil || n < least || n > most || b[1] == '+' {
		return 0, 0, errFraming
	}
	return n, end + 1, nil
}

// bulk reads a bulk string. used is 0 while more of it must come. A null one, allowed where least is -1, has
// no value.
func bulk(b []byte, least, most int) (value []byte, used int, err error) {
	n, at, err := header(b, '$', least, most)
	if err != nil || at == 0 || n < 0 {
		return nil, at, err
	}
	end := at + n
	if len(b) > end && b[end] != '\r' || len(b) > end+1 && b[end+1] != '\n' {
		return nil, 0, errFraming
	}
	if len(b) < end+2 {
		return nil, 0, nil
	}
	return b[at:end], end + 2, nil
}

// nextCommand reads a command; used is 0 while more of it must come. The arguments share memory with b.
func nextCommand(b []byte, reuse [][]byte) (used int, args [][]byte, err error) {
	args = reuse[:0]
	count, at, err := header(b, '*', 0, argsMost)
	if err != nil || at == 0 {
		return 0, args, err
	}
	for range count {
		arg, n, err := bulk(b[at:], 0, min(valueMost, commandMost-at))
		if err != nil || n == 0 {
			return 0, args, err
		}
		args, at = append(args, arg), at+n
	}
	return at, args, nil
}

var errSpoilt = errors.New("not an answer")

// answer is what a server said to a request.
type answer struct {
	result  gateway.AttemptResult // 0: served
	value   []byte                // shares memory with what was read
	figures []byte                // on use, likewise
	inStep  bool                  // the whole of it was read, so the next answer can be told from it
}

// parseAnswer reads a server's answer, exactly: an array of the value, the figures on use or null, and the load
// report or null; or an error line. used is 0 while more must come. Figures or a report that can't be read
// leave the connection out of step, but do the value no harm.
func parseAnswer(b []byte) (a answer, used int, err error) {
	if len(b) == 0 || b[0] != '-' {
		return servedAnswer(b)
	}
	f, used, err := errorLine(b)
	return answer{result: f, inStep: true}, used, err
}

// errorLine reads a line such as "-BUSY" or "-ERR failed queue=2".
func errorLine(b []byte) (f gateway.AttemptResult, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), fieldMost)], '\n')
	if end < 0 && len(b) < fieldMost {
		return 0, 0, nil
	}
	if end < 2 || b[end-1] != '\r' || !utf8.Valid(b[:end]) {
		return 0, 0, errSpoilt
	}
	word, _, _ := bytes.Cut(b[1:end-1], []byte(" "))
	if len(word) == 0 || bytes.ContainsFunc(word, func(r rune) bool { return r < 'A' || r > 'Z' }) {
		return 0, 0, errSpoilt
	}
	if string(word) == "BUSY" {
		return gateway.RefusedByNode, end + 1, nil
	}
	return gateway.BadResponse, end + 1, nil
}

func servedAnswer(b []byte) (a answer, used int, err error) {
	_, from, err := header(b, '*', 3, 3)
	if err != nil || from == 0 {
		return a, 0, err
	}
	value, n, err := bulk(b[from:], 0, valueMost)
	if err != nil || n == 0 {
		return a, 0, err
	}
	at := from + n
	a = answer{value: value, inStep: true}
	for i := range 2 { // figures on use, and the load report, by which nothing is decided
		got, n, err := bulk(b[at:], -1, fieldMost)
		if err != nil {
			a.inStep = false
			return a, len(b), nil
		}
		if n == 0 {
			return a, 0, nil
		}
		if i == 0 {
			a.figures = got
		}
		at += n
	}
	return a, at, nil
}
