package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Scripts are in testdata: "== name" begins one. A line with ">" is what the client sends, one with "!" what this end
// does or that time passes; the lines under it, with "<" for frames that come back and "=" for events, are all that
// must come of it. A script begins with a greeted connection, unless its name ends with "(raw)"; with "(client)" this end is the client.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range strings.Split("\n"+string(text), "\n== ")[1:] {
			name, lines, _ := strings.Cut(part, "\n")
			t.Run(filepath.Base(file)+"/"+name, func(t *testing.T) { runScript(t, name, lines) })
		}
	}
}

func testLimits() Limits {
	return Limits{MaxStreams: 3, MaxBodyBytes: 100, ConnWindow: initialWindow, MaxHeaderListBytes: 1000, MaxHeaderBlockBytes: 2000, MaxUnsentBytes: 300000, Overhead: OverheadBudget{PerSecond: 1, Burst: 20}}
}

// scriptRunner is a client that sends what its script says, broken or not.
type scriptRunner struct {
	t           *testing.T
	c           *Conn
	now         time.Duration
	bytes       bytes.Buffer
	framer      *http2.Framer
	encoder     *hpack.Encoder
	encoded     bytes.Buffer
	decoder     *hpack.Decoder
	replies     source
	replyFramer *http2.Framer
}

func newScriptRunner(t *testing.T, l Limits) *scriptRunner {
	p := &scriptRunner{t: t, c: NewServer(l, time.Hour), now: time.Hour, decoder: hpack.NewDecoder(4096, nil)}
	p.framer = http2.NewFramer(&p.bytes, nil)
	p.framer.AllowIllegalWrites = true
	p.encoder = hpack.NewEncoder(&p.encoded)
	p.replyFramer = http2.NewFramer(nil, &p.replies)
	return p
}

func runScript(t *testing.T, name, lines string) {
	p := newScriptRunner(t, testLimits())
	switch {
	case strings.HasSuffix(name, "(client)"):
		p.c = NewClient(testLimits(), p.now)
		if out := p.c.TakeOutput(); !bytes.HasPrefix(out, []byte(http2.ClientPreface)) {
			t.Fatalf("the connection begins with %q", out)
		}
		p.send([]string{"settings"})
		p.c.Feed(p.now, p.bytes.Bytes())
		p.bytes.Reset()
		p.output(nil)
	case !strings.HasSuffix(name, "(raw)"):
		p.handshake()
	}
	var did string
	var got, want []string
	check := func() {
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("%s\ngot\n  %s\nwant\n  %s", did, strings.Join(got, "\n  "), strings.Join(want, "\n  "))
		}
		want = nil
	}
	for _, line := range strings.Split(lines, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#':
		case line[0] == '>' || line[0] == '!':
			check()
			did = line
			checkInvariants(t, p.c)
			var events []Event
			if line[0] == '>' {
				p.send(strings.Fields(line[1:]))
				events = p.c.Feed(p.now, p.bytes.Bytes())
				p.bytes.Reset()
			} else {
				p.act(strings.Fields(line[1:]))
			}
			got = p.output(events)
		default:
			want = append(want, line)
		}
	}
	check()
}

func (p *scriptRunner) handshake() {
	p.send([]string{"preface"})
	p.send([]string{"settings"})
	p.c.Feed(p.now, p.bytes.Bytes())
	p.bytes.Reset()
	p.output(nil)
}

func parseUint32(s string) uint32 {
	n, err := strconv.ParseUint(s, 0, 32)
	if err != nil {
		panic(err)
	}
	return uint32(n)
}

// errCode reads an error errCode by its name in the RFC.
func errCode(s string) http2.ErrCode {
	for c := http2.ErrCode(0); c < 0xe; c++ {
		if c.String() == s {
			return c
		}
	}
	panic(s)
}

// fields encodes name=value words; "get" and "post" stand for the usual pseudo-header fields.
func (p *scriptRunner) fields(words []string) []byte {
	p.encoded.Reset()
	for _, w := range words {
		switch w {
		case "get", "post":
			p.encodeField(":method", strings.ToUpper(w))
			p.encodeField(":scheme", "http")
			p.encodeField(":path", "/x")
			continue
		}
		at := strings.Index(w[1:], "=") + 1
		p.encodeField(w[:at], strings.ReplaceAll(strings.ReplaceAll(w[at+1:], "_", " "), "~", "\n"))
	}
	return bytes.Clone(p.encoded.Bytes())
}

func (p *scriptRunner) encodeField(name, value string) {
	if n, times, ok := strings.Cut(value, "*"); ok {
		value = strings.Repeat(n, int(parseUint32(times)))
	}
	if err := p.encoder.WriteField(hpack.HeaderField{Name: name, Value: value}); err != nil {
		panic(err)
	}
}

// removeWord takes a word out of a list, if it is there.
func removeWord(words []string, word string) ([]string, bool) {
	for i, w := range words {
		if w == word {
			return append(append([]string{}, words[:i]...), words[i+1:]...), true
		}
	}
	return words, false
}

func (p *scriptRunner) send(w []string) {
	f := p.framer
	rest := w[1:]
	rest, end := removeWord(rest, "end")
	rest, open := removeWord(rest, "open") // the block goes on
	switch w[0] {
	case "preface":
		p.bytes.WriteString(http2.ClientPreface)
	case "text":
		p.bytes.WriteString(strings.Join(rest, " "))
	case "frame": // type flags stream hex
		payload, err := hex.DecodeString(strings.Join(rest[3:], ""))
		if err != nil {
			panic(err)
		}
		f.WriteRawFrame(http2.FrameType(parseUint32(rest[0])), http2.Flags(parseUint32(rest[1])), parseUint32(rest[2]), payload)
	case "long": // a frame of a type with a payload of so many bytes
		f.WriteRawFrame(http2.FrameType(parseUint32(rest[0])), 0, parseUint32(rest[1]), make([]byte, parseUint32(rest[2])))
	case "settings":
		var all []http2.Setting
		for _, kv := range rest {
			k, v, _ := strings.Cut(kv, "=")
			all = append(all, http2.Setting{ID: http2.SettingID(parseUint32(k)), Val: parseUint32(v)})
		}
		f.WriteSettings(all...)
	case "settings-ack":
		f.WriteSettingsAck()
	case "headers":
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: parseUint32(rest[0]), EndStream: end, EndHeaders: !open, BlockFragment: p.fields(rest[1:])})
	case "depends": // headers of a stream that depends on another
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: parseUint32(rest[0]), EndStream: end, EndHeaders: true, BlockFragment: p.fields(rest[2:]),
			Priority: http2.PriorityParam{StreamDep: parseUint32(rest[1]), Weight: 1}})
	case "continuation":
		f.WriteContinuation(parseUint32(rest[0]), !open, p.fields(rest[1:]))
	case "data":
		f.WriteData(parseUint32(rest[0]), end, bytes.Repeat([]byte("x"), int(parseUint32(rest[1]))))
	case "padded":
		f.WriteDataPadded(parseUint32(rest[0]), end, bytes.Repeat([]byte("x"), int(parseUint32(rest[1]))), make([]byte, parseUint32(rest[2])))
	case "rst":
		f.WriteRSTStream(parseUint32(rest[0]), errCode(rest[1]))
	case "ping":
		f.WritePing(false, [8]byte{1})
	case "pong":
		f.WritePing(true, [8]byte{1})
	case "goaway":
		f.WriteGoAway(parseUint32(rest[0]), errCode(rest[1]), nil)
	case "window":
		f.WriteWindowUpdate(parseUint32(rest[0]), parseUint32(rest[1]))
	case "priority":
		f.WritePriority(parseUint32(rest[0]), http2.PriorityParam{StreamDep: parseUint32(rest[1])})
	case "times": // the same so often
		for range parseUint32(w[1]) {
			p.send(w[2:])
		}
	default:
		p.t.Fatalf("unknown word %q", w[0])
	}
}

func (p *scriptRunner) act(w []string) {
	switch w[0] {
	case "respond": // stream status bytes
		body := bytes.Repeat([]byte("y"), int(parseUint32(w[3])))
		p.c.Respond(parseUint32(w[1]), int(parseUint32(w[2])), []hpack.HeaderField{{Name: "a", Value: "b"}}, body)
	case "ask": // bytes of body
		if _, ok := p.c.SendRequest([]hpack.HeaderField{{Name: ":method", Value: "POST"}}, bytes.Repeat([]byte("y"), int(parseUint32(w[1])))); !ok {
			p.t.Fatal("there is no room")
		}
	case "room": // that there is
		if got := p.c.AvailableStreams(); got != int(parseUint32(w[1])) {
			p.t.Fatalf("there is room for %d, want %s", got, w[1])
		}
	case "unsent": // stream bytes
		if got := p.c.UnsentBytes(parseUint32(w[1])); got != int(parseUint32(w[2])) {
			p.t.Fatalf("%d bytes are unsent, want %s", got, w[2])
		}
	case "ping":
		p.c.Ping()
	case "reset":
		p.c.ResetStream(parseUint32(w[1]), errCode(w[2]))
	case "pass": // seconds
		p.now += time.Duration(parseUint32(w[1])) * time.Second
	case "stalled": // for so many seconds
		p.c.ResetStalled(p.now - time.Duration(parseUint32(w[1]))*time.Second)
	case "shutdown":
		p.c.Shutdown()
	case "refuse":
		p.c.RefuseNewStreams()
	default:
		p.t.Fatalf("unknown word %q", w[0])
	}
}

// output writes what came of a step: frames first, then events.
func (p *scriptRunner) output(events []Event) (all []string) {
	p.replies.b = bytes.Clone(p.c.TakeOutput())
	for len(p.replies.b) > 0 {
		f, err := p.replyFramer.ReadFrame()
		if err != nil {
			p.t.Fatalf("what came back can't be read: %v", err)
		}
		all = append(all, "< "+p.describe(f))
	}
	for _, e := range events {
		all = append(all, "= "+describe(e))
	}
	return all
}

func (p *scriptRunner) describe(f http2.Frame) string {
	end := map[bool]string{true: " end"}
	switch f := f.(type) {
	case *http2.HeadersFrame:
		s := fmt.Sprintf("headers %d%s", f.StreamID, end[f.StreamEnded()])
		fields, err := p.decoder.DecodeFull(f.HeaderBlockFragment())
		if err != nil {
			p.t.Fatal(err)
		}
		for _, h := range fields {
			s += " " + h.Name + "=" + h.Value
		}
		return s
	case *http2.DataFrame:
		return fmt.Sprintf("data %d%s %d", f.StreamID, end[f.StreamEnded()], len(f.Data()))
	case *http2.RSTStreamFrame:
		return fmt.Sprintf("rst %d %s", f.StreamID, f.ErrCode)
	case *http2.GoAwayFrame:
		return fmt.Sprintf("goaway %d %s", f.LastStreamID, f.ErrCode)
	case *http2.WindowUpdateFrame:
		return fmt.Sprintf("window %d %d", f.StreamID, f.Increment)
	case *http2.PingFrame:
		return fmt.Sprintf("ping ack=%v", f.IsAck())
	case *http2.SettingsFrame:
		s := fmt.Sprintf("settings ack=%v", f.IsAck())
		f.ForeachSetting(func(x http2.Setting) error {
			s += fmt.Sprintf(" %d=%d", x.ID, x.Val)
			return nil
		})
		return s
	}
	return f.Header().String()
}

func describe(e Event) string {
	switch e.Kind {
	case RequestReceived:
		s := fmt.Sprintf("asked %d %s %s", e.Stream, e.Request.Method, e.Request.Path)
		for _, f := range e.Request.Fields {
			s += " " + f.Name + "=" + f.Value
		}
		return fmt.Sprintf("%s body=%d", s, len(e.Request.Body))
	case RequestTooLarge:
		return fmt.Sprintf("toobig %d %d", e.Stream, e.Status)
	case ResponseReceived:
		s := fmt.Sprintf("answered %d %d", e.Stream, e.Response.Status)
		for _, f := range e.Response.Fields {
			s += " " + f.Name + "=" + f.Value
		}
		return fmt.Sprintf("%s body=%d", s, len(e.Response.Body))
	case RequestRefused:
		return fmt.Sprintf("refused %d %s", e.Stream, e.Code)
	case StreamAborted:
		if e.Local {
			return fmt.Sprintf("left %d %s mine", e.Stream, e.Code)
		}
		return fmt.Sprintf("left %d %s", e.Stream, e.Code)
	case GoAwayReceived:
		return fmt.Sprintf("away %s", e.Code)
	}
	return fmt.Sprintf("ended %s", e.Code)
}
