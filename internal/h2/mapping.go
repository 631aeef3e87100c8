package h2

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2/hpack"

	"sloepick/decide"
	"sloepick/internal/gateway"
	"sloepick/internal/h2/wire"
)

// The mapping, version 1. Names are in lower case, as HTTP/2 has them.
const (
	pathAsk = "/v1/ask/" // classes that are safe to repeat
	pathDo  = "/v1/do/"  // the others

	fieldCustomer = "sloepick-customer" // 16 hex digits
	fieldPlan     = "sloepick-plan"
	fieldID       = "sloepick-id"       // new with every request
	fieldPatience = "sloepick-patience" // ms that the client waits, from when it sent the request
	fieldUnits    = "sloepick-units"
	fieldSet      = "sloepick-set"    // spread and first, as "3;1"
	fieldAgain    = "sloepick-again"  // "1" marks a client's own repeat
	fieldKey      = "idempotency-key" // draft-ietf-httpapi-idempotency-key-header-07

	fieldRan       = "sloepick-ran"   // of an answer: what is promised of a request that was not served
	fieldAfter     = "sloepick-after" // ms after which to come again
	fieldCost      = "sloepick-cost"  // units that the request takes from the quota
	fieldUse       = "sloepick-use"   // of a node's answer: figures on use, "used=86,units=3"
	ranNever       = "never"
	ranUnknown     = "unknown"
	fieldLimit     = "ratelimit" // draft-ietf-httpapi-ratelimit-headers-10
	fieldPolicy    = "ratelimit-policy"
	problemPrefix  = "tag:sloepick,2026:" // of problem types (RFC 9457)
	noAdvice       = time.Second          // to come again after, where the core advises nothing
	keyQuotes      = `"`
	typeOctets     = "application/octet-stream"
	typeProblem    = "application/problem+json"
	statusOK       = 200
	statusBad      = 400
	statusForeign  = 403
	statusNoPath   = 404
	statusNoMethod = 405
	statusTaken    = 409
	statusOver     = 429
	statusBroken   = 502
	statusBusy     = 503
	statusLate     = 504
)

// problem is a request that can't be taken, as its client is told (RFC 9457).
type problem struct {
	status int
	name   string // of its type
	detail string
}

func bad(format string, args ...any) *problem {
	return &problem{statusBad, "bad-request", fmt.Sprintf(format, args...)}
}

// read makes a request's values of what came. Whether they fit the site's settings is for the core to say.
func read(q *wire.Request, came time.Duration) (*gateway.Request, *problem) {
	v := &gateway.Request{Units: 1, Body: q.Body, ReceivedAt: came}
	path, _, _ := strings.Cut(q.Path, "?")
	class, ask := strings.CutPrefix(path, pathAsk)
	if !ask {
		if class, v.Write = strings.CutPrefix(path, pathDo); !v.Write {
			return nil, &problem{statusNoPath, "not-found", "there is " + pathAsk + "CLASS and " + pathDo + "CLASS"}
		}
	}
	if q.Method != "POST" {
		return nil, &problem{statusNoMethod, "method", "requests are made by POST"}
	}
	v.Class = class
	seen := map[string]bool{}
	for _, f := range q.Fields {
		take := fields[f.Name]
		if take == nil {
			continue
		}
		if seen[f.Name] {
			return nil, bad("%s comes twice", f.Name)
		}
		seen[f.Name] = true
		if !take(v, f.Value) {
			return nil, bad("the value of %s can't be used", f.Name)
		}
	}
	for _, name := range []string{fieldCustomer, fieldPlan, fieldID, fieldPatience} {
		if !seen[name] {
			return nil, bad("%s is missing", name)
		}
	}
	if !listWord(v.Class) || !listWord(v.Plan) || !listWord(v.Key) {
		return nil, bad("a value holds a comma, a space or what is not printable")
	}
	return v, nil
}

// listWord reports that a value can stand in the list of names and values that RESP2's nodes are sent.
func listWord(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == ',' || s[i] > '~' {
			return false
		}
	}
	return true
}

// fields take a request's fields. They report false for what can't be used.
var fields = map[string]func(v *gateway.Request, s string) bool{
	fieldCustomer: func(v *gateway.Request, s string) bool { v.Customer = s; return s != "" },
	fieldPlan:     func(v *gateway.Request, s string) bool { v.Plan = s; return s != "" },
	fieldID:       func(v *gateway.Request, s string) bool { v.ID = s; return s != "" },
	fieldPatience: func(v *gateway.Request, s string) bool {
		ms, err := strconv.ParseUint(s, 10, 31)
		v.ClientTimeout = time.Duration(ms) * time.Millisecond
		return err == nil
	},
	fieldUnits: func(v *gateway.Request, s string) (ok bool) {
		units, err := strconv.ParseFloat(s, 64)
		v.Units = units
		return err == nil && strings.Trim(s, "0123456789.") == ""
	},
	fieldSet: func(v *gateway.Request, s string) bool {
		a, b, _ := strings.Cut(s, ";")
		spread, err := strconv.ParseUint(a, 10, 20)
		first, err2 := strconv.ParseUint(b, 10, 20)
		v.GatewayCount, v.FirstGateway = int(spread), int(first)
		return err == nil && err2 == nil && spread > 0
	},
	fieldAgain: func(v *gateway.Request, s string) bool { v.ClientRetry = s == "1"; return s == "0" || s == "1" },
	fieldKey: func(v *gateway.Request, s string) bool {
		if len(s) >= 2 && strings.HasPrefix(s, keyQuotes) && strings.HasSuffix(s, keyQuotes) { // a structured string (RFC 9651)
			s = s[1 : len(s)-1]
		}
		v.Key = s
		return s != "" && !strings.ContainsAny(s, `"\`)
	},
}

// response is an answer as it goes out.
type response struct {
	status int
	fields []hpack.HeaderField
	body   []byte
}

func (r *response) set(name, value string) {
	r.fields = append(r.fields, hpack.HeaderField{Name: name, Value: value})
}

// typed sets the body with its type and length.
func (r *response) typed(body []byte, kind string) {
	r.body = body
	r.set("content-type", kind)
	r.set("content-length", strconv.Itoa(len(body)))
}

// tell is a problem as an answer. It never ran.
func (p *problem) tell() *response {
	r := &response{status: p.status}
	text, err := json.Marshal(struct {
		Type   string `json:"type"`
		Status int    `json:"status"`
		Detail string `json:"detail"`
	}{problemPrefix + p.name, p.status, p.detail})
	if err != nil {
		text = nil // strings and a number always marshal
	}
	r.typed(text, typeProblem)
	r.set(fieldRan, ranNever)
	if p.status == statusNoMethod {
		r.set("allow", "POST")
	}
	return r
}

// respond is an ending as HTTP has it.
func respond(e gateway.Response) *response {
	r := &response{}
	switch e.Kind {
	case gateway.Served:
		r.status = statusOK
		r.typed(e.Value, typeOctets)
	case gateway.Refused:
		if r.status = statusBusy; e.QuotaExceeded {
			r.status = statusOver
		}
		after := e.RetryAfter
		if after <= 0 {
			after = noAdvice
		}
		r.set("retry-after", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
		r.set(fieldAfter, strconv.FormatInt(int64((after+time.Millisecond-1)/time.Millisecond), 10))
		r.set(fieldRan, ranNever)
	case gateway.Failed:
		if r.status = statusBroken; e.TimedOut {
			r.status = statusLate
		}
		r.set(fieldRan, ranUnknown)
	default:
		if e.DuplicateID {
			return (&problem{statusTaken, "id-open", e.Reason}).tell()
		}
		why := e.Reason
		if here := spelled[why]; here != "" {
			why = here
		}
		return bad("%s", why).tell()
	}
	return r
}

// spelled are the core's words for what is wrong with a request, where they name a value by RESP2's letter.
var spelled = map[string]string{
	"k is missing":                          fieldKey + " is missing",
	"d is out of range":                     fieldPatience + " is out of range",
	"the class goes with the other command": "the class goes with the other of " + pathAsk + " and " + pathDo,
}

// limits tells the room of the customer's bucket and the request's cost.
func (r *response) limits(plan string, units float64, room decide.Allowance) {
	name := strconv.Quote(plan)
	r.set(fieldPolicy, fmt.Sprintf("%s;q=%d;w=%d", name, room.Limit, wholeSeconds(room.Window)))
	r.set(fieldLimit, fmt.Sprintf("%s;r=%d;t=%d", name, room.Remaining, wholeSeconds(room.ResetIn)))
	r.set(fieldCost, strconv.FormatFloat(units, 'f', -1, 64))
}

func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
