package peermsg

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestCustomerMessageRoundTrip checks that a message is decoded as it was encoded, within its resolution, and that one malformed
// anywhere is rejected as a whole.
func TestCustomerMessageRoundTrip(t *testing.T) {
	m := CustomerMessage{Kind: KindRequest, Key: 1<<36 - 1, RequestNo: 4095, Plan: 3, NumValues: 2, Values: [4]float64{-2, 0.5},
		NumSamples: 1, Samples: [MaxSamples]ServerSample{{Server: 9, Class: 2, RelativeTime: 1.4, Unsuccessful: true}},
		NumReports: 2, Reports: [MaxReports]OverQuotaReport{{Key: 5, AllowedShare: 0.3, At: time.Hour - 2*time.Second},
			{Key: 6, AllowedShare: 1, At: time.Hour}}}
	text := m.Encode(time.Hour)
	got, ok := Parse(time.Hour, text)
	if !ok || got.Kind != KindRequest || got.Key != m.Key || got.RequestNo != m.RequestNo || got.Plan != 3 ||
		got.NumValues != 2 || got.Values != m.Values ||
		got.NumSamples != 1 || got.Samples[0].Server != 9 || got.Samples[0].Class != 2 ||
		!got.Samples[0].Unsuccessful || got.Samples[0].NotOverload ||
		got.NumReports != 2 || got.Reports[0].Key != 5 || math.Abs(got.Reports[0].AllowedShare-0.3) > 0.1 ||
		got.Reports[0].At != time.Hour-2*time.Second {
		t.Errorf("%q: %v, %+v", text, ok, got)
	}
	if len(text) > MaxSize {
		t.Errorf("message of %d bytes, want MaxSize at most", len(text))
	}
	for _, malformed := range []string{"", text + "0", text + "00000", text[:20] + "!!!!!", text[:9], strings.Replace(text, "...", "!", 1)[1:]} {
		if _, ok := Parse(time.Hour, malformed); ok {
			t.Errorf("malformed message %q was accepted", malformed)
		}
	}
}

// TestTotalsRoundTrip checks that totals are decoded as they were encoded, modulo CounterModulus, and that Delta works across
// the wrap in both directions.
func TestTotalsRoundTrip(t *testing.T) {
	m := Totals{Epoch: 4095, Seq: 7}
	for i := range MaxEntries {
		m.Entries = append(m.Entries, Entry{Key: uint64(i), Plan: i, Used: 4090 + float64(i), Requested: float64(i), Open: 60 + i, Level: 1})
	}
	text := m.Encode()
	got, ok := ParseTotals(text, nil)
	if !ok || len(text) > MaxSize || got.Epoch != 4095 || got.Seq != 7 || got.Leaving || len(got.Entries) != MaxEntries {
		t.Fatalf("%d bytes: %v, %+v", len(text), ok, got)
	}
	for i, e := range got.Entries {
		if e.Key != uint64(i) || e.Plan != i || e.Used != float64((4090+i)%CounterModulus) || e.Requested != float64(i) || e.Open != min(63, 60+i) || e.Level != 1 {
			t.Errorf("entry %d: %+v", i, e)
		}
	}
	if up, down := Delta(4090, 3), Delta(3, 4090); up != 9 || down != -9 {
		t.Errorf("differences across the wrap are %v and %v, want 9 and -9", up, down)
	}
	for _, malformed := range []string{"", text[1:], text + "0", "x" + text[1:], text[:len(text)-1] + "!", "Z" + text[1:]} {
		if _, ok := ParseTotals(malformed, nil); ok {
			t.Errorf("malformed message %q was accepted", malformed)
		}
	}
}
