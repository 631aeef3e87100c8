package wire

import (
	"bytes"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// exchange passes the output of both ends to each other until neither has more, and returns the events of each.
func exchange(client, server *Conn) (atClient, atServer []Event) {
	for quiet := false; !quiet; {
		quiet = true
		for b := client.TakeOutput(); len(b) > 0; b = client.TakeOutput() {
			atServer = append(atServer, server.Feed(time.Hour, bytes.Clone(b))...)
			quiet = false
		}
		for b := server.TakeOutput(); len(b) > 0; b = server.TakeOutput() {
			atClient = append(atClient, client.Feed(time.Hour, bytes.Clone(b))...)
			quiet = false
		}
	}
	return atClient, atServer
}

// Guards against responses that are sent in turns, a frame of each, waiting for each other: if the window were returned
// only for whole responses, some responses together could use it up while none of them is whole.
func TestInterleavedResponsesAreReceived(t *testing.T) {
	const n = 20
	limits := DefaultLimits()
	client, server := NewClient(limits, time.Hour), NewServer(limits, time.Hour)
	for range n {
		if _, ok := client.SendRequest([]hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/"}}, nil); !ok {
			t.Fatal("no stream is available")
		}
	}
	_, requests := exchange(client, server)
	for _, e := range requests {
		server.Respond(e.Stream, 200, nil, make([]byte, limits.MaxBodyBytes))
	}
	whole := 0
	responses, _ := exchange(client, server)
	for _, e := range responses {
		if e.Kind == ResponseReceived && len(e.Response.Body) == limits.MaxBodyBytes {
			whole++
		}
	}
	if whole != n {
		t.Errorf("%d of %d responses were received; the window is %d", whole, n, client.recvWindow)
	}
}

// Guards against a client being taken for one that floods because it acknowledges at once, by two WINDOW_UPDATEs for each
// DATA frame, what it was sent in a long burst.
func TestWindowUpdatesForManyDataFrames(t *testing.T) {
	const responses = 90
	limits := DefaultLimits()
	client, server := NewClient(limits, time.Hour), NewServer(limits, time.Hour)
	var updates bytes.Buffer
	framer := http2.NewFramer(&updates, nil)
	updates.Write(client.TakeOutput())
	if err := framer.WriteWindowUpdate(0, 64<<20); err != nil {
		t.Fatal(err)
	}
	server.Feed(time.Hour, updates.Bytes())
	for range responses {
		client.SendRequest([]hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/"}}, nil)
	}
	for _, e := range server.Feed(time.Hour, client.TakeOutput()) {
		server.Respond(e.Stream, 200, nil, make([]byte, 60<<10))
	}
	var output bytes.Buffer
	for b := server.TakeOutput(); len(b) > 0; b = server.TakeOutput() {
		output.Write(b)
	}
	updates.Reset()
	for frames := http2.NewFramer(nil, &output); ; {
		f, err := frames.ReadFrame()
		if err != nil {
			break
		}
		if data, ok := f.(*http2.DataFrame); ok {
			framer.WriteWindowUpdate(0, data.Length) // into memory: it cannot fail
			framer.WriteWindowUpdate(data.StreamID, data.Length)
		}
	}
	if updates.Len() < responses*2*13 {
		t.Fatalf("only %d bytes of updates", updates.Len())
	}
	for _, e := range server.Feed(time.Hour, updates.Bytes()) {
		t.Errorf("the server reports %+v", e)
	}
	for range 5000 {
		framer.WriteWindowUpdate(0, 1)
	}
	if server.Feed(time.Hour, updates.Bytes()); !server.Failed() {
		t.Error("a flood of WINDOW_UPDATEs is not stopped")
	}
}
