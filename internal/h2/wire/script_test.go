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

// TestScripts runs the scripts in testdata. "== name" begins a script. A line with ">" is what the peer sends, one with "!" is
// a call on the tested Conn or the passing of time. The lines below it, "<" for frames that the Conn writes and "=" for events,
// are the complete expected result. The Conn is a server, or a client if the name ends with "(client)". Preface and SETTINGS
// are already exchanged, unless the name ends with "(raw)".
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
	return Limits{MaxStreams: 3, MaxBodyBytes: 100, ConnWindow: initialWindow, MaxHeaderListBytes: 1000, MaxHeaderBlockBytes: 2000,
		MaxUnsentBytes: 300000, Overhead: OverheadBudget{PerSecond: 1, Burst: 20}}
}

// scriptRunner is the peer of the tested Conn. It sends what its script says, valid or not.
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

func newScriptRunner(t *testing.T, limits Limits) *scriptRunner {
	p := &scriptRunner{t: t, c: NewServer(limits, time.Hour), now: time.Hour, decoder: hpack.NewDecoder(4096, nil)}
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
	var step string
	var got, want []string
	check := func() {
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("%s\ngot\n  %s\nwant\n  %s", step, strings.Join(got, "\n  "), strings.Join(want, "\n  "))
		}
		want = nil
	}
	for _, line := range strings.Split(lines, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#':
		case line[0] == '>' || line[0] == '!':
			check()
			step = line
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

// errCode returns the error code with the given name in RFC 9113.
func errCode(s string) http2.ErrCode {
	for c := http2.ErrCode(0); c < 0xe; c++ {
		if c.String() == s {
			return c
		}
	}
	panic(s)
}

// fields encodes name=value words; "get" and "post" stand for the usual pseudo-header fields. In values, "_" is a space, "~" a
// line break, and "x*9" stands for nine times x.
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
	if unit, times, ok := strings.Cut(value, "*"); ok {
		value = strings.Repeat(unit, int(parseUint32(times)))
	}
	if err := p.encoder.WriteField(hpack.HeaderField{Name: name, Value: value}); err != nil {
		panic(err)
	}
}

// removeWord removes the first occurrence of a word from a list and reports whether there was one.
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
	rest, unfinished := removeWord(rest, "open") // the header block continues
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
	case "long": // type stream bytes: a payload of zeros
		f.WriteRawFrame(http2.FrameType(parseUint32(rest[0])), 0, parseUint32(rest[1]), make([]byte, parseUint32(rest[2])))
	case "settings":
		var settings []http2.Setting
		for _, kv := range rest {
			k, v, _ := strings.Cut(kv, "=")
			settings = append(settings, http2.Setting{ID: http2.SettingID(parseUint32(k)), Val: parseUint32(v)})
		}
		f.WriteSettings(settings...)
	case "settings-ack":
		f.WriteSettingsAck()
	case "headers":
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: parseUint32(rest[0]), EndStream: end, EndHeaders: !unfinished, BlockFragment: p.fields(rest[1:])})
	case "depends": // stream dependency fields: HEADERS with a priority
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: parseUint32(rest[0]), EndStream: end, EndHeaders: true, BlockFragment: p.fields(rest[2:]),
			Priority: http2.PriorityParam{StreamDep: parseUint32(rest[1]), Weight: 1}})
	case "continuation":
		f.WriteContinuation(parseUint32(rest[0]), !unfinished, p.fields(rest[1:]))
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
	case "repeat": // count command
		for range parseUint32(w[1]) {
			p.send(w[2:])
		}
	default:
		p.t.Fatalf("unknown word %q", w[0])
	}
}

func (p *scriptRunner) act(w []string) {
	switch w[0] {
	case "respond": // stream status body-bytes
		body := bytes.Repeat([]byte("y"), int(parseUint32(w[3])))
		p.c.Respond(parseUint32(w[1]), int(parseUint32(w[2])), []hpack.HeaderField{{Name: "a", Value: "b"}}, body)
	case "send-request": // body bytes
		if _, ok := p.c.SendRequest([]hpack.HeaderField{{Name: ":method", Value: "POST"}}, bytes.Repeat([]byte("y"), int(parseUint32(w[1])))); !ok {
			p.t.Fatal("the request was not accepted")
		}
	case "available": // streams
		if got := p.c.AvailableStreams(); got != int(parseUint32(w[1])) {
			p.t.Fatalf("%d streams are available, want %s", got, w[1])
		}
	case "unsent": // stream bytes
		if got := p.c.UnsentBytes(parseUint32(w[1])); got != int(parseUint32(w[2])) {
			p.t.Fatalf("%d bytes are unsent, want %s", got, w[2])
		}
	case "ping":
		p.c.Ping()
	case "reset":
		p.c.ResetStream(parseUint32(w[1]), errCode(w[2]))
	case "advance": // seconds
		p.now += time.Duration(parseUint32(w[1])) * time.Second
	case "reset-stalled": // seconds
		p.c.Advance(p.now)
		p.c.ResetStalled(time.Duration(parseUint32(w[1])) * time.Second)
	case "shutdown":
		p.c.Shutdown()
	case "refuse-new":
		p.c.RefuseNewStreams()
	default:
		p.t.Fatalf("unknown word %q", w[0])
	}
}

// output describes the result of a step: first the frames that the Conn wrote, then the events.
func (p *scriptRunner) output(events []Event) (lines []string) {
	for b := p.c.TakeOutput(); len(b) > 0; b = p.c.TakeOutput() {
		p.replies.b = append(p.replies.b, b...)
	}
	for len(p.replies.b) > 0 {
		f, err := p.replyFramer.ReadFrame()
		if err != nil {
			p.t.Fatalf("the output can't be parsed: %v", err)
		}
		lines = append(lines, "< "+p.describe(f))
	}
	for _, e := range events {
		lines = append(lines, "= "+describe(e))
	}
	return lines
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
		s := fmt.Sprintf("request %d %s %s", e.Stream, e.Request.Method, e.Request.Path)
		for _, f := range e.Request.Fields {
			s += " " + f.Name + "=" + f.Value
		}
		return fmt.Sprintf("%s body=%d", s, len(e.Request.Body))
	case RequestTooLarge:
		return fmt.Sprintf("too-large %d %d", e.Stream, e.Status)
	case ResponseReceived:
		s := fmt.Sprintf("response %d %d", e.Stream, e.Response.Status)
		for _, f := range e.Response.Fields {
			s += " " + f.Name + "=" + f.Value
		}
		return fmt.Sprintf("%s body=%d", s, len(e.Response.Body))
	case RequestRefused:
		return fmt.Sprintf("refused %d %s", e.Stream, e.Code)
	case StreamAborted:
		if e.Local {
			return fmt.Sprintf("aborted %d %s local", e.Stream, e.Code)
		}
		return fmt.Sprintf("aborted %d %s", e.Stream, e.Code)
	case GoAwayReceived:
		return fmt.Sprintf("goaway-received %s", e.Code)
	}
	return fmt.Sprintf("failed %s", e.Code)
}
