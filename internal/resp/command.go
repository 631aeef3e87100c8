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
	maxListSize      = 1 << 10 // bytes; maximum size of a request's list of names and values
	encodingOverhead = 64      // bytes; estimated size of a command's headers, to allocate its buffer
)

// command is a request in its RESP2 form.
type command struct {
	gateway.Request
	args                   [][]byte // as received; the list at listArg is forwarded with a new value of d
	listPrefix, listSuffix []byte   // the parts of the list before and after the value of d
}

// Names of the commands and indexes of their arguments. The body is optional.
const (
	askName     = "Q.ASK"
	doName      = "Q.DO"
	customerArg = 1
	idArg       = 2
	listArg     = 3
	bodyArg     = 4
)

// encode returns the encoded command for a server. d, the time that the server has to answer, is set to remaining.
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

// commandFor returns the command for a request. A request that arrived by RESP2 keeps the arguments that its client
// sent.
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

// parseRequest parses a request that was received at a time. It copies the data that it keeps. The core validates
// the values against the settings.
func parseRequest(name string, args [][]byte, receivedAt time.Duration) (*command, error) {
	if len(args) <= listArg || len(args) > bodyArg+1 {
		return nil, errors.New("wrong number of arguments")
	}
	if len(args[idArg]) == 0 || len(args[listArg]) > maxListSize {
		return nil, errors.New("the id or the list is missing or too long")
	}
	c := &command{args: cloneArgs(args)}
	c.Request = gateway.Request{Customer: string(args[customerArg]), ID: string(args[idArg]), Units: 1, Write: name == doName, ReceivedAt: receivedAt,
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

// parseList parses the list of names and values. Unknown names are ignored here and forwarded.
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

// setParam sets the field for a name of the list. It reports false if the value is invalid.
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
