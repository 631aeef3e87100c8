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

// The mapping of requests and responses to HTTP, version 1. HTTP/2 field names are in lower case.
const (
	pathRead  = "/v1/ask/" // classes that are safe to repeat
	pathWrite = "/v1/do/"  // all other classes

	fieldCustomer       = "sloepick-customer" // 16 hex digits
	fieldPlan           = "sloepick-plan"
	fieldID             = "sloepick-id"       // unique per request
	fieldClientTimeout  = "sloepick-patience" // ms that the client waits for the response, from when it sent the request
	fieldUnits          = "sloepick-units"
	fieldGatewaySet     = "sloepick-set"    // number of gateways and the first of them, as "3;1"
	fieldClientRetry    = "sloepick-again"  // "1" marks a retry by the client
	fieldIdempotencyKey = "idempotency-key" // draft-ietf-httpapi-idempotency-key-header-07

	fieldRan                 = "sloepick-ran"   // of a response: ranNever or ranUnknown
	fieldRetryAfterMs        = "sloepick-after" // ms after which to retry
	fieldCost                = "sloepick-cost"  // units that the request takes from the quota
	fieldUsage               = "sloepick-use"   // of a node's response: what the request used, as "used=86,units=3"
	ranNever                 = "never"          // a repeat does no harm; the request may have run if its class allows repeats. From a node: it did not run
	ranUnknown               = "unknown"        // the request may have run
	fieldRateLimit           = "ratelimit"      // draft-ietf-httpapi-ratelimit-headers-10
	fieldRateLimitPolicy     = "ratelimit-policy"
	problemTypePrefix        = "tag:sloepick,2026:" // of problem types (RFC 9457); a tag URI (RFC 4151), whose date part is a year
	defaultRetryAfter        = time.Second          // where the core gives none
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

// problem describes why a request was rejected (RFC 9457).
type problem struct {
	status int
	kind   string // last part of the problem type
	detail string
}

func badRequest(format string, args ...any) *problem {
	return &problem{statusBadRequest, "bad-request", fmt.Sprintf(format, args...)}
}

// parseRequest reads a gateway request from an HTTP request. The core checks the values against the settings.
func parseRequest(msg *wire.Request, receivedAt time.Duration) (*gateway.Request, *problem) {
	req := &gateway.Request{Units: 1, Body: msg.Body, ReceivedAt: receivedAt}
	path, _, _ := strings.Cut(msg.Path, "?")
	class, isRead := strings.CutPrefix(path, pathRead)
	if !isRead {
		if class, req.Write = strings.CutPrefix(path, pathWrite); !req.Write {
			return nil, &problem{statusNotFound, "not-found", "there is " + pathRead + "CLASS and " + pathWrite + "CLASS"}
		}
	}
	if msg.Method != "POST" {
		return nil, &problem{statusMethodNotAllowed, "method", "requests are made by POST"}
	}
	req.Class = class
	seen := map[string]bool{}
	for _, f := range msg.Fields {
		parse := fieldParsers[f.Name]
		if parse == nil {
			continue
		}
		if seen[f.Name] {
			return nil, badRequest("%s comes twice", f.Name)
		}
		seen[f.Name] = true
		if !parse(req, f.Value) {
			return nil, badRequest("the value of %s can't be used", f.Name)
		}
	}
	for _, name := range []string{fieldCustomer, fieldPlan, fieldID, fieldClientTimeout} {
		if !seen[name] {
			return nil, badRequest("%s is missing", name)
		}
	}
	if !validListToken(req.Class) || !validListToken(req.Plan) || !validListToken(req.Key) {
		return nil, badRequest("a value holds a comma, a space or what is not printable")
	}
	return req, nil
}

// validListToken reports whether a value has only printable ASCII characters other than space and comma. A comma would start another
// parameter in the comma-separated list that RESP2 nodes receive. This is stricter than RESP2 clients' lists, in which package resp
// accepts spaces and other bytes.
func validListToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == ',' || s[i] > '~' {
			return false
		}
	}
	return true
}

// fieldParsers parse the header fields of a request into it. They return false for an invalid value.
var fieldParsers = map[string]func(req *gateway.Request, s string) bool{
	fieldCustomer: func(req *gateway.Request, s string) bool { req.Customer = s; return s != "" },
	fieldPlan:     func(req *gateway.Request, s string) bool { req.Plan = s; return s != "" },
	fieldID:       func(req *gateway.Request, s string) bool { req.ID = s; return s != "" },
	fieldClientTimeout: func(req *gateway.Request, s string) bool {
		ms, err := strconv.ParseUint(s, 10, 31) // 31 bits of ms always fit a Duration; the core checks the maximum of the class
		req.ClientTimeout = time.Duration(ms) * time.Millisecond
		return err == nil
	},
	fieldUnits: func(req *gateway.Request, s string) (ok bool) {
		units, err := strconv.ParseFloat(s, 64)
		req.Units = units
		return err == nil && strings.Trim(s, "0123456789.") == ""
	},
	fieldGatewaySet: func(req *gateway.Request, s string) bool {
		countText, firstText, _ := strings.Cut(s, ";")
		count, err := strconv.ParseUint(countText, 10, 20) // 20 bits, as in RESP2, always fit an int; the core compares both with the settings
		first, err2 := strconv.ParseUint(firstText, 10, 20)
		req.GatewayCount, req.FirstGateway = int(count), int(first)
		return err == nil && err2 == nil && count > 0
	},
	fieldClientRetry: func(req *gateway.Request, s string) bool { req.ClientRetry = s == "1"; return s == "0" || s == "1" },
	fieldIdempotencyKey: func(req *gateway.Request, s string) bool {
		if len(s) >= 2 && strings.HasPrefix(s, quote) && strings.HasSuffix(s, quote) { // a structured field string (RFC 9651)
			s = s[1 : len(s)-1]
		}
		req.Key = s
		return s != "" && !strings.ContainsAny(s, `"\`)
	},
}

// response is a response to send.
type response struct {
	status int
	fields []hpack.HeaderField
	body   []byte
}

func (r *response) addField(name, value string) {
	r.fields = append(r.fields, hpack.HeaderField{Name: name, Value: value})
}

// setBody sets the body, its content type and its length.
func (r *response) setBody(body []byte, contentType string) {
	r.body = body
	r.addField("content-type", contentType)
	r.addField("content-length", strconv.Itoa(len(body)))
}

// response returns the response for a rejected request, which says that the request did not run.
func (p *problem) response() *response {
	r := &response{status: p.status}
	body, err := json.Marshal(struct {
		Type   string `json:"type"`
		Status int    `json:"status"`
		Detail string `json:"detail"`
	}{problemTypePrefix + p.kind, p.status, p.detail})
	if err != nil {
		body = nil // strings and a number always marshal
	}
	r.setBody(body, contentTypeProblem)
	r.addField(fieldRan, ranNever)
	if p.status == statusMethodNotAllowed {
		r.addField("allow", "POST")
	}
	return r
}

// newResponse maps a response of the core to HTTP.
func newResponse(res gateway.Response) *response {
	r := &response{}
	switch res.Kind {
	case gateway.Served:
		r.status = statusOK
		r.setBody(res.Value, contentTypeOctets)
	case gateway.Refused:
		if r.status = statusServiceUnavailable; res.QuotaExceeded {
			r.status = statusTooManyRequests
		}
		retryAfter := res.RetryAfter
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		r.addField("retry-after", strconv.FormatInt(int64((retryAfter+time.Second-1)/time.Second), 10))
		r.addField(fieldRetryAfterMs, strconv.FormatInt(int64((retryAfter+time.Millisecond-1)/time.Millisecond), 10))
		r.addField(fieldRan, ranNever)
	case gateway.Failed:
		if r.status = statusBadGateway; res.TimedOut {
			r.status = statusGatewayTimeout
		}
		r.addField(fieldRan, ranUnknown)
	default:
		if res.DuplicateID {
			return (&problem{statusConflict, "id-open", res.Reason}).response()
		}
		reason := res.Reason
		if text := reasonTexts[reason]; text != "" {
			reason = text
		}
		return badRequest("%s", reason).response()
	}
	return r
}

// reasonTexts replaces some of the core's reasons that are in terms of RESP2. Others, as "k is too long", are sent as they are.
var reasonTexts = map[string]string{
	"k is missing":                          fieldIdempotencyKey + " is missing",
	"d is out of range":                     fieldClientTimeout + " is out of range",
	"the class goes with the other command": "the class goes with the other of " + pathRead + " and " + pathWrite,
}

// addQuotaFields adds the customer's remaining allowance and the cost of the request.
func (r *response) addQuotaFields(plan string, units float64, allowance decide.Allowance) {
	name := strconv.Quote(plan)
	r.addField(fieldRateLimitPolicy, fmt.Sprintf("%s;q=%d;w=%d", name, allowance.Limit, ceilSeconds(allowance.Window)))
	r.addField(fieldRateLimit, fmt.Sprintf("%s;r=%d;t=%d", name, allowance.Remaining, ceilSeconds(allowance.ResetIn)))
	r.addField(fieldCost, strconv.FormatFloat(units, 'f', -1, 64))
}

func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
