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
	pathRead  = "/v1/ask/" // classes that are safe to repeat
	pathWrite = "/v1/do/"  // the others

	fieldCustomer       = "sloepick-customer" // 16 hex digits
	fieldPlan           = "sloepick-plan"
	fieldID             = "sloepick-id"       // new with every request
	fieldClientTimeout  = "sloepick-patience" // ms that the client waits, from when it sent the request
	fieldUnits          = "sloepick-units"
	fieldGatewaySet     = "sloepick-set"    // spread and first, as "3;1"
	fieldClientRetry    = "sloepick-again"  // "1" marks a client's own repeat
	fieldIdempotencyKey = "idempotency-key" // draft-ietf-httpapi-idempotency-key-header-07

	fieldRan                 = "sloepick-ran"   // of an answer: what is promised of a request that was not served
	fieldRetryAfterMs        = "sloepick-after" // ms after which to come again
	fieldCost                = "sloepick-cost"  // units that the request takes from the quota
	fieldUsage               = "sloepick-use"   // of a node's answer: figures on use, "used=86,units=3"
	ranNever                 = "never"
	ranUnknown               = "unknown"
	fieldRateLimit           = "ratelimit" // draft-ietf-httpapi-ratelimit-headers-10
	fieldRateLimitPolicy     = "ratelimit-policy"
	problemTypePrefix        = "tag:sloepick,2026:" // of problem types (RFC 9457)
	defaultRetryAfter        = time.Second          // to come again after, where the core advises nothing
	quote                    = `"`
	contentTypeOctets        = "application/octet-stream"
	contentTypeProblem       = "application/problem+json"
	statusOK                 = 200
	statusBadRequest         = 400
	statusForbidden          = 403
	statusNotFound           = 404
	statusMethodNotAllowed   = 405
	statusConflict           = 409
	statusTooManyRequests    = 429
	statusBadGateway         = 502
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

// problem is a request that can't be taken, as its client is told (RFC 9457).
type problem struct {
	status int
	kind   string // of its type
	detail string
}

func badRequest(format string, args ...any) *problem {
	return &problem{statusBadRequest, "bad-request", fmt.Sprintf(format, args...)}
}

// parseRequest makes a request's values of what came. Whether they fit the site's settings is for the core to say.
func parseRequest(q *wire.Request, came time.Duration) (*gateway.Request, *problem) {
	v := &gateway.Request{Units: 1, Body: q.Body, ReceivedAt: came}
	path, _, _ := strings.Cut(q.Path, "?")
	class, ask := strings.CutPrefix(path, pathRead)
	if !ask {
		if class, v.Write = strings.CutPrefix(path, pathWrite); !v.Write {
			return nil, &problem{statusNotFound, "not-found", "there is " + pathRead + "CLASS and " + pathWrite + "CLASS"}
		}
	}
	if q.Method != "POST" {
		return nil, &problem{statusMethodNotAllowed, "method", "requests are made by POST"}
	}
	v.Class = class
	seen := map[string]bool{}
	for _, f := range q.Fields {
		take := fieldParsers[f.Name]
		if take == nil {
			continue
		}
		if seen[f.Name] {
			return nil, badRequest("%s comes twice", f.Name)
		}
		seen[f.Name] = true
		if !take(v, f.Value) {
			return nil, badRequest("the value of %s can't be used", f.Name)
		}
	}
	for _, name := range []string{fieldCustomer, fieldPlan, fieldID, fieldClientTimeout} {
		if !seen[name] {
			return nil, badRequest("%s is missing", name)
		}
	}
	if !validListToken(v.Class) || !validListToken(v.Plan) || !validListToken(v.Key) {
		return nil, badRequest("a value holds a comma, a space or what is not printable")
	}
	return v, nil
}

// validListToken reports that a value can stand in the list of names and values that RESP2's nodes are sent.
func validListToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == ',' || s[i] > '~' {
			return false
		}
	}
	return true
}

// fieldParsers take a request's fieldParsers. They report false for what can't be used.
var fieldParsers = map[string]func(v *gateway.Request, s string) bool{
	fieldCustomer: func(v *gateway.Request, s string) bool { v.Customer = s; return s != "" },
	fieldPlan:     func(v *gateway.Request, s string) bool { v.Plan = s; return s != "" },
	fieldID:       func(v *gateway.Request, s string) bool { v.ID = s; return s != "" },
	fieldClientTimeout: func(v *gateway.Request, s string) bool {
		ms, err := strconv.ParseUint(s, 10, 31)
		v.ClientTimeout = time.Duration(ms) * time.Millisecond
		return err == nil
	},
	fieldUnits: func(v *gateway.Request, s string) (ok bool) {
		units, err := strconv.ParseFloat(s, 64)
		v.Units = units
		return err == nil && strings.Trim(s, "0123456789.") == ""
	},
	fieldGatewaySet: func(v *gateway.Request, s string) bool {
		a, b, _ := strings.Cut(s, ";")
		spread, err := strconv.ParseUint(a, 10, 20)
		first, err2 := strconv.ParseUint(b, 10, 20)
		v.GatewayCount, v.FirstGateway = int(spread), int(first)
		return err == nil && err2 == nil && spread > 0
	},
	fieldClientRetry: func(v *gateway.Request, s string) bool { v.ClientRetry = s == "1"; return s == "0" || s == "1" },
	fieldIdempotencyKey: func(v *gateway.Request, s string) bool {
		if len(s) >= 2 && strings.HasPrefix(s, quote) && strings.HasSuffix(s, quote) { // a structured string (RFC 9651)
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

func (r *response) addField(name, value string) {
	r.fields = append(r.fields, hpack.HeaderField{Name: name, Value: value})
}

// setBody sets the body with its type and length.
func (r *response) setBody(body []byte, kind string) {
	r.body = body
	r.addField("content-type", kind)
	r.addField("content-length", strconv.Itoa(len(body)))
}

// response is a problem as an answer. It never ran.
func (p *problem) response() *response {
	r := &response{status: p.status}
	text, err := json.Marshal(struct {
		Type   string `json:"type"`
		Status int    `json:"status"`
		Detail string `json:"detail"`
	}{problemTypePrefix + p.kind, p.status, p.detail})
	if err != nil {
		text = nil // strings and a number always marshal
	}
	r.setBody(text, contentTypeProblem)
	r.addField(fieldRan, ranNever)
	if p.status == statusMethodNotAllowed {
		r.addField("allow", "POST")
	}
	return r
}

// newResponse is an ending as HTTP has it.
func newResponse(e gateway.Response) *response {
	r := &response{}
	switch e.Kind {
	case gateway.Served:
		r.status = statusOK
		r.setBody(e.Value, contentTypeOctets)
	case gateway.Refused:
		if r.status = statusServiceUnavailable; e.QuotaExceeded {
			r.status = statusTooManyRequests
		}
		after := e.RetryAfter
		if after <= 0 {
			after = defaultRetryAfter
		}
		r.addField("retry-after", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
		r.addField(fieldRetryAfterMs, strconv.FormatInt(int64((after+time.Millisecond-1)/time.Millisecond), 10))
		r.addField(fieldRan, ranNever)
	case gateway.Failed:
		if r.status = statusBadGateway; e.TimedOut {
			r.status = statusGatewayTimeout
		}
		r.addField(fieldRan, ranUnknown)
	default:
		if e.DuplicateID {
			return (&problem{statusConflict, "id-open", e.Reason}).response()
		}
		why := e.Reason
		if here := reasonTexts[why]; here != "" {
			why = here
		}
		return badRequest("%s", why).response()
	}
	return r
}

// reasonTexts are the core's words for what is wrong with a request, where they name a value by RESP2's letter.
var reasonTexts = map[string]string{
	"k is missing":                          fieldIdempotencyKey + " is missing",
	"d is out of range":                     fieldClientTimeout + " is out of range",
	"the class goes with the other command": "the class goes with the other of " + pathRead + " and " + pathWrite,
}

// addQuotaFields tells the room of the customer's bucket and the request's cost.
func (r *response) addQuotaFields(plan string, units float64, room decide.Allowance) {
	name := strconv.Quote(plan)
	r.addField(fieldRateLimitPolicy, fmt.Sprintf("%s;q=%d;w=%d", name, room.Limit, ceilSeconds(room.Window)))
	r.addField(fieldRateLimit, fmt.Sprintf("%s;r=%d;t=%d", name, room.Remaining, ceilSeconds(room.ResetIn)))
	r.addField(fieldCost, strconv.FormatFloat(units, 'f', -1, 64))
}

func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
