package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"winghatch/decide"
)

const (
	idMost   = 128     // bytes of a request's id
	listMax  = 1 << 10 // bytes of its list of names and values
	waitMost = time.Minute
)

// command is a request as a client sent it.
type command struct {
	args         [][]byte // unchanged; the list at listArg is sent on with another d
	before, tail []byte   // of the list, round the figure of d
	came         time.Duration
	wait         time.Duration  // d
	limit        time.Duration  // of its class: no client waits longer
	req          decide.Request // without id and deadline
}

const listArg = 3 // of Q.ASK and Q.DO: after customer and id

func (c *command) size() int {
	n := 0
	for _, a := range c.args {
		n += len(a)
	}
	return n
}

// frame is the command for a server that has so long to answer.
func (c *command) frame(left time.Duration) []byte {
	b := make([]byte, 0, c.size()+64)
	b = redcon.AppendArray(b, len(c.args))
	for i, a := range c.args {
		if i != listArg {
			b = redcon.AppendBulk(b, a)
			continue
		}
		var digits [20]byte
		d := strconv.AppendInt(digits[:0], int64(max(left/time.Millisecond, 1)), 10)
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(c.before)+len(d)+len(c.tail)), 10)
		b = append(b, '\r', '\n')
		b = append(append(append(b, c.before...), d...), c.tail...)
		b = append(b, '\r', '\n')
	}
	return b
}

// parseRequest reads a request that came at the time now. It copies what it keeps.
func parseRequest(cfg *Config, name string, args [][]byte, now time.Duration) (*command, error) {
	if len(args) <= listArg || len(args) > listArg+2 {
		return nil, errors.New("wrong number of arguments")
	}
	customer, id, list := args[1], args[2], args[listArg]
	if len(customer) != 16 {
		return nil, errors.New("the customer is not 16 hex digits")
	}
	if _, err := strconv.ParseUint(string(customer), 16, 64); err != nil {
		return nil, errors.New("the customer is not 16 hex digits")
	}
	if len(id) == 0 || len(id) > idMost || len(list) > listMax {
		return nil, errors.New("the id or the list is missing or too long")
	}
	c := &command{args: cloneArgs(args), came: now}
	c.req = decide.Request{Customer: string(customer), Units: 1, Write: name == "Q.DO"}
	if err := c.parseList(); err != nil {
		return nil, err
	}
	k := cfg.class(c.req.Class)
	if k == nil || !cfg.hasPlan(c.req.Plan) {
		return nil, errors.New("unknown class or plan")
	}
	if (k.Effect == decide.Safe) != (name == "Q.ASK") {
		return nil, errors.New("the class goes with the other command")
	}
	if c.limit = k.Deadline; c.limit <= 0 {
		c.limit = waitMost
	}
	return c, nil
}

func cloneArgs(args [][]byte) [][]byte {
	n := 0
	for _, a := range args {
		n += len(a)
	}
	mem, out := make([]byte, 0, n), make([][]byte, len(args))
	for i, a := range args {
		from := len(mem)
		mem = append(mem, a...)
		out[i] = mem[from:len(mem):len(mem)]
	}
	return out
}

// parseList reads names and values. Unknown names go on unread.
func (c *command) parseList() error {
	list := c.args[listArg]
	for at := 0; at < len(list); {
		end := len(list)
		if i := bytes.IndexByte(list[at:], ','); i >= 0 {
			end = at + i
		}
		name, value, ok := bytes.Cut(list[at:end], []byte("="))
		if !ok {
			return errors.New("the list holds no name and value")
		}
		if string(name) == "d" {
			if c.before != nil {
				return errors.New("d comes twice")
			}
			c.before, c.tail = list[:end-len(value)], list[end:]
		}
		if err := c.set(string(name), string(value)); err != nil {
			return err
		}
		at = end + 1
	}
	if c.before == nil {
		return errors.New("d is missing")
	}
	return nil
}

func (c *command) set(name, value string) (err error) {
	switch name {
	case "c":
		c.req.Class = value
	case "t":
		c.req.Plan = value
	case "d":
		var ms float64
		ms, err = number(value, float64(waitMost/time.Millisecond))
		c.wait = time.Duration(ms * float64(time.Millisecond))
	case "r":
		c.req.Again = value == "1"
	case "units":
		c.req.Units, err = number(value, 1<<20)
	case "spread":
		c.req.Spread, err = whole(value)
	case "first":
		c.req.First, err = whole(value)
	}
	if err != nil {
		return fmt.Errorf("the value of %s can't be used", name)
	}
	return nil
}

var errRange = errors.New("out of range")

func number(s string, most float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || v < 0 || v > most) {
		err = errRange
	}
	return v, err
}

func whole(s string) (int, error) {
	v, err := strconv.Atoi(s)
	if err == nil && (v < 0 || v > 1<<20) {
		err = errRange
	}
	return v, err
}
