package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"sloepick/internal/gateway"
)

const (
	listLen   = 1 << 10 // bytes of a request's list of names and values
	frameRoom = 64      // bytes that a command's headers take
)

// command is a request as RESP2 has it.
type command struct {
	gateway.Request
	args         [][]byte // unchanged; the list at listArg is sent on with another d
	before, tail []byte   // of the list, round the figure of d
}

// The commands' names, and the places of their arguments; a body may stand behind the list.
const (
	askName     = "Q.ASK"
	doName      = "Q.DO"
	customerArg = 1
	idArg       = 2
	listArg     = 3
	bodyArg     = 4
)

// frame is the command for a server that has so long to answer.
func (c *command) frame(left time.Duration) []byte {
	n := frameRoom
	for _, a := range c.args {
		n += len(a)
	}
	b := make([]byte, 0, n)
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

// commandOf is a request as nodes take it: as its client sent it, where that was by RESP2.
func commandOf(v *gateway.Request) *command {
	if c, ok := v.Native.(*command); ok {
		return c
	}
	name := askName
	if v.Write {
		name = doName
	}
	c := &command{before: append(append(append(append([]byte("c="), v.Class...), ",t="...), v.Plan...), ",d="...)}
	if v.Key != "" {
		c.tail = append(append(c.tail, ",k="...), v.Key...)
	}
	if v.ClientRetry {
		c.tail = append(c.tail, ",r=1"...)
	}
	c.tail = strconv.AppendFloat(append(c.tail, ",units="...), v.Units, 'f', -1, 64)
	if v.GatewayCount > 0 {
		c.tail = strconv.AppendInt(append(c.tail, ",spread="...), int64(v.GatewayCount), 10)
		c.tail = strconv.AppendInt(append(c.tail, ",first="...), int64(v.FirstGateway), 10)
	}
	c.args = [][]byte{[]byte(name), []byte(v.Customer), []byte(v.ID), nil}
	if len(v.Body) > 0 {
		c.args = append(c.args, v.Body)
	}
	return c
}

// parseRequest reads a request that came at the time now. It copies what it keeps. Whether its values fit the site's settings is
// for the core to say.
func parseRequest(name string, args [][]byte, now time.Duration) (*command, error) {
	if len(args) <= listArg || len(args) > bodyArg+1 {
		return nil, errors.New("wrong number of arguments")
	}
	if len(args[idArg]) == 0 || len(args[listArg]) > listLen {
		return nil, errors.New("the id or the list is missing or too long")
	}
	c := &command{args: cloneArgs(args)}
	c.Request = gateway.Request{Customer: string(args[customerArg]), ID: string(args[idArg]), Units: 1, Write: name == doName, ReceivedAt: now,
		Native: c, NativeSize: len(args[listArg])}
	if len(args) > bodyArg {
		c.Body = c.args[bodyArg]
	}
	if err := c.parseList(); err != nil {
		return nil, err
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
	seen := make(map[string]bool)
	for at := 0; at < len(list); {
		end := len(list)
		if i := bytes.IndexByte(list[at:], ','); i >= 0 {
			end = at + i
		}
		name, value, ok := bytes.Cut(list[at:end], []byte("="))
		if !ok {
			return errors.New("the list holds no name and value")
		}
		if seen[string(name)] {
			return fmt.Errorf("%s comes twice", name)
		}
		seen[string(name)] = true
		if string(name) == "d" {
			c.before, c.tail = list[:end-len(value)], list[end:]
		}
		if !c.set(string(name), string(value)) {
			return fmt.Errorf("the value of %s can't be used", name)
		}
		at = end + 1
	}
	if c.before == nil {
		return errors.New("d is missing")
	}
	return nil
}

// set takes a value. It reports false for one that can't be used.
func (c *command) set(name, value string) bool {
	var err error
	switch name {
	case "c":
		c.Class = value
	case "t":
		c.Plan = value
	case "d":
		var ms float64
		ms, err = gateway.ParseNumber(value)
		c.ClientTimeout = time.Duration(ms * float64(time.Millisecond))
	case "k":
		c.Key = value
		return value != ""
	case "r":
		c.ClientRetry = value == "1"
	case "units":
		c.Units, err = gateway.ParseNumber(value)
	case "spread":
		c.GatewayCount, err = whole(value)
		return err == nil && c.GatewayCount > 0
	case "first":
		c.FirstGateway, err = whole(value)
	}
	return err == nil
}

func whole(s string) (int, error) {
	v, err := strconv.ParseUint(s, 10, 20)
	return int(v), err
}
