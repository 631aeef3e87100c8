package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"sloepick/decide"
)

const (
	idMost       = 128         // bytes of a request's id
	keyMost      = 64          // bytes of an idempotency key
	listLen      = 1 << 10     // bytes of its list of names and values
	waitMost     = time.Minute // where its class has no deadline
	unitsMost    = 1 << 10     // where the settings name no most
	customerMost = 1<<33 - 1
	frameRoom    = 64 // bytes that a command's headers take
)

// command is a request as a client sent it.
type command struct {
	args         [][]byte // unchanged; the list at listArg is sent on with another d
	before, tail []byte   // of the list, round the figure of d
	came         time.Duration
	wait         time.Duration  // d
	limit        time.Duration  // of its class: no client waits longer
	req          decide.Request // without id and deadline
	key          string
	seen         map[string]bool // names in the list
}

// The arguments of Q.ASK and Q.DO; a body may stand behind the list.
const (
	customerArg = 1
	idArg       = 2
	listArg     = 3
)

func (c *command) size() int {
	n := 0
	for _, a := range c.args {
		n += len(a)
	}
	return n
}

func (c *command) id() string { return string(c.args[idArg]) }

// frame is the command for a server that has so long to answer.
func (c *command) frame(left time.Duration) []byte {
	b := make([]byte, 0, c.size()+frameRoom)
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
	customer, id, list := args[customerArg], args[idArg], args[listArg]
	if n, err := strconv.ParseUint(string(customer), 16, 64); err != nil || len(customer) != 16 || n > customerMost {
		return nil, errors.New("the customer is not 16 hex digits, below 2^33")
	}
	if len(id) == 0 || len(id) > idMost || len(list) > listLen {
		return nil, errors.New("the id or the list is missing or too long")
	}
	c := &command{args: cloneArgs(args), came: now}
	c.req = decide.Request{Customer: string(customer), Units: 1, Write: name == "Q.DO"}
	if err := c.parseList(); err != nil {
		return nil, err
	}
	if err := c.check(cfg, name); err != nil {
		return nil, err
	}
	return c, nil
}

// check holds a request's values to the settings. What passes is counted as the customer's demand, told to
// peers and sent to servers, so a value that no usual client sends, in a usual customer's name, must end here:
// it would bend that customer's share, or be held against the server that turns it away.
func (c *command) check(cfg *Config, name string) error {
	k, set := cfg.class(c.req.Class), &cfg.Settings.Decide
	if k == nil || !cfg.hasPlan(c.req.Plan) {
		return errors.New("unknown class or plan")
	}
	if (k.Effect == decide.Safe) != (name == "Q.ASK") {
		return errors.New("the class goes with the other command")
	}
	if k.Effect == decide.Keyed && c.key == "" {
		return errors.New("k is missing")
	}
	if c.limit = k.Deadline; c.limit <= 0 {
		c.limit = waitMost
	}
	units := set.MaxUnits
	if units == 0 {
		units = unitsMost
	}
	switch {
	case c.wait <= 0 || c.wait >= c.limit+time.Millisecond: // d is in whole milliseconds, so it may be rounded up
		return errors.New("d is out of range")
	case c.req.Units < 1 || c.req.Units > units:
		return errors.New("units are out of range")
	case c.seen["spread"] && (c.req.Spread < 1 || c.req.Spread > set.Gateways), c.req.First >= set.Gateways:
		return errors.New("the set is out of range")
	}
	return nil
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
	c.seen = map[string]bool{}
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

// set takes a value, each name once.
func (c *command) set(name, value string) (err error) {
	if c.seen[name] {
		return fmt.Errorf("%s comes twice", name)
	}
	c.seen[name] = true
	switch name {
	case "c":
		c.req.Class = value
	case "t":
		c.req.Plan = value
	case "d":
		var ms float64
		ms, err = number(value)
		c.wait = time.Duration(ms * float64(time.Millisecond))
	case "k":
		if c.key = value; len(value) == 0 || len(value) > keyMost {
			err = errRange
		}
	case "r":
		c.req.Again = value == "1"
	case "units":
		c.req.Units, err = number(value)
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

const numberMost = 1 << 20 // of any number in a list: larger ones are beyond all settings

var errRange = errors.New("out of range")

// number reads plain digits, with a point at most: no sign, exponent or word such as 'inf'.
func number(s string) (float64, error) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, errRange
	}
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && v > numberMost {
		err = errRange
	}
	return v, err
}

func whole(s string) (int, error) {
	v, err := strconv.ParseUint(s, 10, 20)
	return int(v), err
}
