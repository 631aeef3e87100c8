package h2

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/testbed"
)

// TestFloods runs each denial-of-service flood over sockets. Its client gets GOAWAY with the right error code, and another client
// is served before and after.
func TestFloods(t *testing.T) {
	const frames = 5000
	block := func(f *http2.Framer, id uint32, ends bool) {
		q := lookup(fmt.Sprint("flood-", id))
		q.Customer = "0000000000000009"
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, EndStream: ends, EndHeaders: true, BlockFragment: testbed.NewH2Encoder().HeaderBlock(q)})
	}
	for name, tc := range map[string]struct {
		flood func(f *http2.Framer, i int)
		begin func(f *http2.Framer)
		code  http2.ErrCode
	}{
		"PING (CVE-2019-9512)":       {flood: func(f *http2.Framer, _ int) { f.WritePing(false, [8]byte{}) }},
		"SETTINGS (CVE-2019-9515)":   {flood: func(f *http2.Framer, _ int) { f.WriteSettings() }},
		"PRIORITY (CVE-2019-9513)":   {flood: func(f *http2.Framer, i int) { f.WritePriority(1, http2.PriorityParam{StreamDep: uint32(3 + 2*(i%50))}) }},
		"empty DATA (CVE-2019-9518)": {begin: func(f *http2.Framer) { block(f, 1, false) }, flood: func(f *http2.Framer, _ int) { f.WriteData(1, false, nil) }},
		"CONTINUATION (CVE-2024-27316)": {begin: func(f *http2.Framer) {
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82}})
		}, flood: func(f *http2.Framer, _ int) { f.WriteContinuation(1, false, []byte{0x40, 1, 'a', 1, 'b'}) }},
		"rapid reset (CVE-2023-44487)": {flood: func(f *http2.Framer, i int) {
			block(f, uint32(1+2*i), true)
			f.WriteRSTStream(uint32(1+2*i), http2.ErrCodeCancel)
		}},
		"made-you-reset (CVE-2025-8671)": {flood: func(f *http2.Framer, i int) {
			block(f, uint32(1+2*i), true)
			f.WriteRawFrame(http2.FrameWindowUpdate, 0, uint32(1+2*i), make([]byte, 4))
		}},
		"malformed requests (CVE-2019-9514)": {flood: func(f *http2.Framer, i int) {
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(1 + 2*i), EndStream: true, EndHeaders: true, BlockFragment: []byte{0x82}})
		}},
		"WINDOW_UPDATE by one (CVE-2019-9517)": {flood: func(f *http2.Framer, _ int) { f.WriteWindowUpdate(0, 1) }},
		"HPACK: a table size above the limit": {flood: func(f *http2.Framer, i int) {
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(1 + 2*i), EndStream: true, EndHeaders: true, BlockFragment: []byte{0x3f, 0xe2, 0x1f, 0x82}})
		}, code: http2.ErrCodeCompression},
		"HPACK amplification: a large field, referenced": {flood: func(f *http2.Framer, i int) {
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(1 + 2*i), EndStream: true, EndHeaders: true, BlockFragment: hpackGrowthBlock(i)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, testPlatform(), nil)
			wellBehaved, abusive := r.dial(nil), r.dial(nil)
			if a := r.roundTrip(wellBehaved, lookup("before")); a.Status != 200 {
				t.Fatalf("got %+v", a)
			}
			goAway := make(chan *http2.GoAwayFrame, 1)
			go func() { // reads concurrently with the writer below
				for f := http2.NewFramer(nil, abusive.Conn); ; {
					x, err := f.ReadFrame()
					if frame, ok := x.(*http2.GoAwayFrame); ok || err != nil {
						goAway <- frame
						return
					}
				}
			}()
			f := http2.NewFramer(abusive.Conn, nil)
			f.AllowIllegalWrites = true
			if tc.begin != nil {
				tc.begin(f)
			}
			for i := range frames {
				tc.flood(f, i) // write errors are expected once the gateway has closed the connection
			}
			if tc.code == 0 {
				tc.code = http2.ErrCodeEnhanceYourCalm
			}
			select {
			case a := <-goAway:
				if a == nil || a.ErrCode != tc.code {
					t.Errorf("the abusive client got %v", a)
				}
			case <-time.After(testTimeout):
				t.Error("the flood is not stopped")
			}
			if a := r.roundTrip(wellBehaved, lookup("after")); a.Status != 200 {
				t.Errorf("the well-behaved client got %+v", a)
			}
		})
	}
}

// hpackGrowthBlock returns a header block that references a large field of the dynamic table 1000 times. The first block adds
// the field to the table.
func hpackGrowthBlock(i int) []byte {
	var b []byte
	if i == 0 {
		b = append(b, 0x40, 1, 'a', 0x7f, 0xa1, 0x1e) // a value of 4,000 bytes: 127 + 0x21 + 0x1e x 128
		b = append(b, bytes.Repeat([]byte("x"), 127+0x21+0x1e*128)...)
	}
	return append(b, bytes.Repeat([]byte{0xbe}, 1000)...) // index 62: the newest entry of the dynamic table
}

// TestStalledResponseIsReset checks that if a client opens no window for a response, its stream alone is reset after
// Clients.Write.
func TestStalledResponseIsReset(t *testing.T) {
	r := newHarness(t, testPlatform(), func(cfg *gateway.Config, _ *FrontendConfig) {
		cfg.Tuning.Clients.WriteTimeout = 100 * time.Millisecond
	})
	c := r.dial(nil, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	stuck := r.send(c, lookup("stuck"))
	if a := r.readResponse(c); a.Stream != stuck || !a.Reset || a.Code != http2.ErrCodeCancel {
		t.Fatalf("got %+v", a)
	}
	if err := c.Framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1000}); err != nil {
		t.Fatal(err)
	}
	if a := r.roundTrip(c, lookup("next")); a.Status != 200 {
		t.Errorf("got %+v", a)
	}
}
