package wire

import (
	"bytes"
	"testing"
	"time"

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
