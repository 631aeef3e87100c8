package resp

import (
	"strings"
	"testing"

	"sloepick/internal/gateway"
)

// Replies have one format, and everything else must be rejected as early as possible. When any array that began with
// a string was accepted, invalid replies were served to clients, or waited for until the request's deadline.
func TestParseReply(t *testing.T) {
	const rest = "$-1\r\n$-1\r\n"
	for in, want := range map[string]nodeReply{
		"*3\r\n$1\r\nv\r\n" + rest:                   {0, []byte("v"), nil, true},
		"*3\r\n$0\r\n\r\n" + rest:                    {0, []byte(""), nil, true},
		"*3\r\n$1\r\nv\r\n$2\r\n51\r\n$3\r\n?!?\r\n": {0, []byte("v"), []byte("51"), true},
		"*3\r\n$1\r\nv\r\n:5\r\n$-1\r\n":             {0, []byte("v"), nil, false},
		"*3\r\n$1\r\nv\r\n$-1\r\n$3000000000\r\n":    {0, []byte("v"), nil, false},
		"-ERR failed inflight=7,queue=2\r\n":         {gateway.BadResponse, nil, nil, true},
		"-BUSY\r\n":                                  {gateway.RefusedByNode, nil, nil, true},
		"-BUSY draining\r\n":                         {gateway.RefusedByNode, nil, nil, true},
		"-BUSYBODY\r\n":                              {gateway.BadResponse, nil, nil, true},
	} {
		for n := range len(in) {
			if _, used, err := parseReply([]byte(in[:n])); want.inSync && (used != 0 || err != nil) {
				t.Errorf("%q: used %d, %v, want it to be incomplete", in[:n], used, err)
			}
		}
		reply, used, err := parseReply([]byte(in))
		if used != len(in) || reply.result != want.result || string(reply.value) != string(want.value) || string(reply.usage) != string(want.usage) || reply.inSync != want.inSync || err != nil {
			t.Errorf("%q: got %+v, %d bytes, %v", in, reply, used, err)
		}
	}
	for _, in := range []string{
		"hello", "+OK\r\n", ":1\r\n", "$1\r\nv\r\n", "*1\r\n$1\r\nv\r\n", "*0\r\n", "*-1\r\n", "*4\r\n", "*1000000000\r\n",
		"*3\r\n$-1\r\n", "*3\r\n:5\r\n", "*3\r\n$3000000000\r\n", "*3\r\n$-9\r\n", "*3\r\n$9223372036854775807\r\n",
		"*3\r\n$2\r\nval", "*3\r\n$65537\r\n", "*3\n", "*111111111111111111", "-\r\n", "-oops\r\n", "-ERR\n", "-ER\xff\r\n",
		"-ERR " + strings.Repeat("x", maxFieldSize),
	} {
		if _, _, err := parseReply([]byte(in)); err == nil {
			t.Errorf("%q is not rejected as a reply", in)
		}
	}
}

// Input that can't become a valid command must be rejected at its first invalid bytes, not after 68 KB; an incomplete
// command must be waited for.
func TestParseCommand(t *testing.T) {
	for _, in := range []string{
		"PING\r\n", "*-1\r\n", "*x\r\n", "*+1\r\n", "*17\r\n", "*1000000000\r\n", "*1\n", "*1\r\n:", "*1\r\n$-1\r\n", "*1\r\n$-9999\r\n",
		"*1\r\n$60000000\r\n", "*1\r\n$9223372036854775807\r\n", "*1\r\n$2\r\nabc", "*1" + strings.Repeat("1", maxHeaderSize),
		"*2\r\n$60000\r\n" + strings.Repeat("x", 60000) + "\r\n$10000\r\n",
	} {
		if _, _, err := parseCommand([]byte(in), nil); err == nil {
			t.Errorf("%.40q is not rejected as a command", in)
		}
	}
	const in = "*2\r\n$4\r\nPING\r\n$0\r\n\r\n"
	for n := range len(in) {
		if used, _, err := parseCommand([]byte(in[:n]), nil); used != 0 || err != nil {
			t.Errorf("%q: used %d, %v, want it to be incomplete", in[:n], used, err)
		}
	}
	if used, args, err := parseCommand([]byte(in+"*"), nil); used != len(in) || len(args) != 2 || string(args[0]) != "PING" || err != nil {
		t.Errorf("got %d bytes, %q, %v", used, args, err)
	}
}

func FuzzParseReply(f *testing.F) {
	f.Add([]byte("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"))
	f.Add([]byte("-ERR failed\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		reply, used, err := parseReply(b)
		if used > len(b) || used < 0 || (err != nil && used != 0) || (used > 0 && (reply.result == 0) != (reply.value != nil)) {
			t.Errorf("%q: %+v, %d bytes, %v", b, reply, used, err)
		}
	})
}

func FuzzParseCommand(f *testing.F) {
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"))
	f.Add([]byte("*1\r\n$-9\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		if used, _, err := parseCommand(b, nil); used > len(b) || used < 0 || (err != nil && used != 0) {
			t.Errorf("%q: %d bytes, %v", b, used, err)
		}
	})
}
