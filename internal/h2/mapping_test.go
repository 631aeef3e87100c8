package h2

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2/hpack"

	"sloepick/internal/gateway"
	"sloepick/internal/h2/wire"
)

// FuzzMapping parses requests with arbitrary paths and fields. An accepted request has all mandatory values; any other gets a
// problem with a 4xx status.
func FuzzMapping(f *testing.F) {
	f.Add("POST", "/v1/ask/slot-lookup", "sloepick-customer: 00000000b4d65521\nsloepick-plan: plus\nsloepick-id: 1\nsloepick-patience: 480\nsloepick-units: 2")
	f.Add("POST", "/v1/do/slot-book?x", "sloepick-customer: 1\nsloepick-plan: p\nsloepick-id: 1\nsloepick-patience: 1\nidempotency-key: \"k\"\nsloepick-set: 3;1\nsloepick-again: 1")
	f.Add("GET", "/", "sloepick-units: 1e3\nidempotency-key: \"\nsloepick-set: ;")
	f.Fuzz(func(t *testing.T, method, path, lines string) {
		msg := &wire.Request{Method: method, Path: path}
		seen := map[string]int{}
		for _, line := range strings.Split(lines, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			msg.Fields = append(msg.Fields, hpack.HeaderField{Name: name, Value: value})
			seen[name]++
		}
		req, prob := parseRequest(msg, time.Second)
		if (req == nil) == (prob == nil) {
			t.Fatalf("request %+v and problem %+v", req, prob)
		}
		if prob != nil {
			if resp := prob.response(); resp.status < 400 || resp.status > 499 || len(resp.body) == 0 {
				t.Fatalf("the problem gets the response %+v", resp)
			}
			return
		}
		if method != "POST" || req.Customer == "" || req.Plan == "" || req.ID == "" || req.ClientTimeout < 0 || req.Units < 0 || seen[fieldID] != 1 {
			t.Fatalf("accepted: %+v", req)
		}
		if req.Write != strings.HasPrefix(path, pathWrite) || strings.ContainsAny(req.Key, `"\`) {
			t.Fatalf("accepted: %+v", req)
		}
	})
}

// TestNewResponse checks for each kind of response the status, whether it says that the request ran and, if it was refused, when
// to retry.
func TestNewResponse(t *testing.T) {
	for _, tc := range []struct {
		res    gateway.Response
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
		r, got := newResponse(tc.res), map[string]string{}
		for _, f := range r.fields {
			got[f.Name] = f.Value
		}
		if r.status != tc.status || got[fieldRan] != tc.ran || got[fieldRetryAfterMs] != tc.after || (tc.after != "") != (got["retry-after"] != "") {
			t.Errorf("%+v: got %d %v", tc.res, r.status, got)
		}
	}
}
