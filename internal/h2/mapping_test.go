package h2

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2/hpack"

	"sloepick/internal/gateway"
	"sloepick/internal/h2/wire"
)

// FuzzMapping reads whatever path and fields. What is taken has what a request needs, and what is not is told as a problem.
func FuzzMapping(f *testing.F) {
	f.Add("POST", "/v1/ask/slot-lookup", "sloepick-customer: 00000000b4d65521\nsloepick-plan: plus\nsloepick-id: 1\nsloepick-patience: 480\nsloepick-units: 2")
	f.Add("POST", "/v1/do/slot-book?x", "sloepick-customer: 1\nsloepick-plan: p\nsloepick-id: 1\nsloepick-patience: 1\nidempotency-key: \"k\"\nsloepick-set: 3;1\nsloepick-again: 1")
	f.Add("GET", "/", "sloepick-units: 1e3\nidempotency-key: \"\nsloepick-set: ;")
	f.Fuzz(func(t *testing.T, method, path, lines string) {
		q := &wire.Request{Method: method, Path: path}
		seen := map[string]int{}
		for _, line := range strings.Split(lines, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			q.Fields = append(q.Fields, hpack.HeaderField{Name: name, Value: value})
			seen[name]++
		}
		v, p := parseRequest(q, time.Second)
		if (v == nil) == (p == nil) {
			t.Fatalf("values %+v and problem %+v", v, p)
		}
		if p != nil {
			if r := p.response(); r.status < 400 || r.status > 499 || len(r.body) == 0 {
				t.Fatalf("the problem is told as %+v", r)
			}
			return
		}
		if method != "POST" || v.Customer == "" || v.Plan == "" || v.ID == "" || v.ClientTimeout < 0 || v.Units < 0 || seen[fieldID] != 1 {
			t.Fatalf("taken: %+v", v)
		}
		if v.Write != strings.HasPrefix(path, pathWrite) || strings.ContainsAny(v.Key, `"\`) {
			t.Fatalf("taken: %+v", v)
		}
	})
}

// Every ending has its status, its promise and, where it is refused, when to come again.
func TestEndings(t *testing.T) {
	for _, c := range []struct {
		e      gateway.Response
		status int
		ran    string
		after  string
	}{
		{gateway.Response{Kind: gateway.Served, Value: []byte("v")}, 200, "", ""},
		{gateway.Response{Kind: gateway.Refused, RetryAfter: 1500 * time.Microsecond}, 503, "never", "2"},
		{gateway.Response{Kind: gateway.Refused, QuotaExceeded: true, RetryAfter: 2 * time.Second}, 429, "never", "2000"},
		{gateway.Response{Kind: gateway.Refused}, 503, "never", "1000"},
		{gateway.Response{Kind: gateway.Failed}, 502, "unknown", ""},
		{gateway.Response{Kind: gateway.Failed, TimedOut: true}, 504, "unknown", ""},
		{gateway.Response{Kind: gateway.Rejected, Reason: "k is missing"}, 400, "never", ""},
		{gateway.Response{Kind: gateway.Rejected, DuplicateID: true}, 409, "never", ""},
	} {
		r, got := newResponse(c.e), map[string]string{}
		for _, f := range r.fields {
			got[f.Name] = f.Value
		}
		if r.status != c.status || got[fieldRan] != c.ran || got[fieldRetryAfterMs] != c.after || (c.after != "") != (got["retry-after"] != "") {
			t.Errorf("%+v: got %d %v", c.e, r.status, got)
		}
	}
}
