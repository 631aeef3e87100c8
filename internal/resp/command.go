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
	maxListSize      = 1 << 10 // bytes of a request's list of names and values
	encodingOverhead = 64      // bytes that a command's headers take
)

// command is a request as RESP2 has it.
type command struct {
	gateway.Request
	args                   [][]byte // unchanged; the list at listArg is sent on with another d
	listPrefix, listSuffix []byte   // of the list, round the figure of d
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

// encode is the command for a server that has so long to answer.
func (c *command) encode(remaining time.Duration) []byte {
	n := encodingOverhead
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
		timeout := strconv.AppendInt(digits[:0], int64(max(remaining/time.Millisecond, 1)), 10)
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(c.listPrefix)+len(timeout)+len(c.listSuffix)), 10)
		b = append(b, '\r', '\n')
		b = append(append(append(b, c.listPrefix...), timeout...), c.listSuffix...)
		b = append(b, '\r', '\n')
	}
	return b
}

// commandFor is a request as nodes take it: as its client sent it, where that was by RESP2.
func commandFor(req *gateway.Request) *command {
	if c, ok := req.Native.(*command); ok {
		return c
	}
	name := askName
	if req.Write {
		name = doName
	}
	c := &command{listPrefix: append(append(append(append([]byte("c="), req.Class...), ",t="...), req.Plan...), ",d="...)}
	if req.Key != "" {
		c.listSuffix = append(append(c.listSuffix, ",k="...), req.Key...)
	}
	if req.ClientRetry {
		c.listSuffix = append(c.listSuffix, ",r=1"...)
	}
	c.listSuffix = strconv.AppendFloat(append(c.listSuffix, ",units="...), req.Units, 'f', -1, 64)
	if req.GatewayCount > 0 {
		c.listSuffix = strconv.AppendInt(append(c.listSuffix, ",spread="...), int64(req.GatewayCount), 10)
		c.listSuffix = strconv.AppendInt(append(c.listSuffix, ",first="...), int64(req.FirstGateway), 10)
	}
	c.args = [][]byte{[]byte(name), []byte(req.Customer), []byte(req.ID), nil}
	if len(req.Body) > 0 {
		c.args = append(c.args, req.Body)
	}
	return c
}

// parseRequest reads a request that came at the time now. It copies what it keeps. Whether its values fit the site's settings is
// for the core to say.
func parseRequest(name string, args [][]byte, now time.Duration) (*command, error) {
	if len(args) <= listArg || len(args) > bodyArg+1 {
		return nil, errors.New("wrong number of arguments")
	}
	if len(args[idArg]) == 0 || len(args[listArg]) > maxListSize {
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
		start := len(mem)
		mem = append(mem, a...)
		out[i] = mem[start:len(mem):len(mem)]
	}
	return out
}

// parseList reads names and values. Unknown names go on unread.
func (c *command) parseList() error {
	list := c.args[listArg]
	seen := make(map[string]bool)
	for pos := 0; pos < len(list); {
		end := len(list)
		if i := bytes.IndexByte(list[pos:], ','); i >= 0 {
			end = pos + i
		}
		name, value, ok := bytes.Cut(list[pos:end], []byte("="))
		if !ok {
			return errors.New("the list holds no name and value")
		}
		if seen[string(name)] {
			return fmt.Errorf("%s comes twice", name)
		}
		seen[string(name)] = true
		if string(name) == "d" {
			c.listPrefix, c.listSuffix = list[:end-len(value)], list[end:]
		}
		if !c.setParam(string(name), string(value)) {
			return fmt.Errorf("the value of %s can't be used", name)
		}
		pos = end + 1
	}
	if c.listPrefix == nil {
		return errors.New("d is missing")
	}
	return nil
}

// setParam takes a value. It reports false for one that can't be used.
func (c *command) setParam(name, value string) bool {
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
		c.GatewayCount, err = parseCount(value)
		return err == nil && c.GatewayCount > 0
	case "first":
		c.FirstGateway, err = parseCount(value)
	}
	return err == nil
}

func parseCount(s string) (int, error) {
	v, err := strconv.ParseUint(s, 10, 20)
	return int(v), err
}
