package gateway

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"sloepick/decide"
	"sloepick/internal/route"
)

// Limits on the values of a request, for all protocols.
const (
	MaxPayloadSize  = 64 << 10    // bytes of a body and of a node's value
	maxIDSize       = 128         // bytes of a request's id
	maxKeySize      = 64          // bytes of an idempotency key
	defaultMaxWait  = time.Minute // if the class has no deadline
	defaultMaxUnits = 1 << 10     // if the settings set no maximum
	maxCustomer     = 1<<33 - 1
)

// Request is a request in protocol-independent form. It must not be changed once it is submitted.
type Request struct {
	Customer, ID, Class, Plan, Key string
	ClientTimeout                  time.Duration // the client waits this long, counted from ReceivedAt
	Units                          float64
	GatewayCount, FirstGateway     int // of the customer; GatewayCount 0: unknown
	ClientRetry, Write             bool
	Body                           []byte
	ReceivedAt                     time.Duration
	Native                         any // the original request, for a backend of the same protocol; nil: none
	NativeSize                     int // bytes that Native holds in addition

	maxWait time.Duration // maximum of ClientTimeout for the class
}

// size is the memory, in bytes, that an open request holds.
func (v *Request) size() int {
	return requestOverhead + len(v.Customer) + len(v.ID) + len(v.Class) + len(v.Plan) + len(v.Key) + len(v.Body) + v.NativeSize
}

// validate checks the values of a request against the settings. A valid request counts as the customer's
// demand, which is shared with peers, and is sent to servers. Values that no ordinary client sends must
// therefore be rejected here: they would distort the customer's share, or count against the server that rejects
// them.
func (v *Request) validate(cfg *Config) error {
	if n, err := strconv.ParseUint(v.Customer, 16, 64); err != nil || len(v.Customer) != 16 || n > maxCustomer {
		return errors.New("the customer is not 16 hex digits, below 2^33")
	}
	k, set := cfg.class(v.Class), &cfg.Settings.Decide
	if k == nil || !cfg.hasPlan(v.Plan) {
		return errors.New("unknown class or plan")
	}
	if (k.Effect == decide.Safe) == v.Write {
		return errors.New("the class goes with the other command")
	}
	if v.maxWait = k.Deadline; v.maxWait <= 0 {
		v.maxWait = defaultMaxWait
	}
	units := set.MaxUnits
	if units == 0 {
		units = defaultMaxUnits
	}
	switch {
	case len(v.ID) == 0 || len(v.ID) > maxIDSize:
		return errors.New("the id is missing or too long")
	case k.Effect == decide.Keyed && v.Key == "":
		return errors.New("k is missing")
	case len(v.Key) > maxKeySize:
		return errors.New("k is too long")
	case len(v.Body) > MaxPayloadSize:
		return fmt.Errorf("the body is over %d bytes", MaxPayloadSize)
	case v.ClientTimeout <= 0 || v.ClientTimeout >= v.maxWait+time.Millisecond: // whole milliseconds, so it may have been rounded up
		return errors.New("d is out of range")
	case v.Units < 1 || v.Units > units:
		return errors.New("units are out of range")
	case v.GatewayCount < 0 || v.GatewayCount > set.Gateways, v.FirstGateway < 0 || v.FirstGateway >= set.Gateways:
		return errors.New("the set is out of range")
	}
	return nil
}

// event is the request as an event for the decision module, without its bounds.
func (r *requestState) event() decide.Request {
	v := r.values
	return decide.Request{ID: r.id, Class: v.Class, Plan: v.Plan, Customer: v.Customer, Units: v.Units,
		GatewayCount: v.GatewayCount, FirstGateway: v.FirstGateway, ClientRetry: v.ClientRetry, Write: v.Write}
}

// ResponseKind is the kind of a response.
type ResponseKind int

// Kinds of responses.
const (
	Served   ResponseKind = iota + 1
	Refused               // safe to retry: not executed, or its class is safe
	Failed                // may have been executed
	Rejected              // the request is invalid
)

// Response is a response in protocol-independent form. The frontend encodes it.
type Response struct {
	Kind          ResponseKind
	Value         []byte        // if Served: the node's value, unchanged
	RetryAfter    time.Duration // if Refused: when to retry; 0: not specified
	QuotaExceeded bool          // if Refused: because the customer's quota is exhausted
	TimedOut      bool          // if Failed: because the deadline has passed
	DuplicateID   bool          // if Rejected: because a request with the same id is open
	Reason        string        // if Failed or Rejected
}

// requestState is a client's request, from its submission until it is answered and has no attempts in progress.
type requestState struct {
	id             string // assigned by the event loop, because ids chosen by clients may repeat
	seq            uint64 // sequence number
	responder      Responder
	values         *Request
	attempts       []*attemptState
	deadline       time.Duration // when it must be answered
	overdueTimer   *timer
	activeAttempts int          // attempts in progress
	routes         *route.Table // the table that contains its route; nil: no route
	route          int
	done           bool
}

// timedOut reports whether a failed request failed for lack of time: its last attempt was in progress or timed
// out.
func (r *requestState) timedOut() bool {
	if len(r.attempts) == 0 {
		return false
	}
	a := r.attempts[len(r.attempts)-1]
	return !a.ended || a.outcome == decide.TimedOut
}

// mayHaveRun reports whether an attempt may have run, or may yet.
func (r *requestState) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attemptState) bool {
		return a.ended && !a.outcome.NeverRan() || !a.ended && a.fullySent
	})
}

// attemptState is one attempt at one server.
type attemptState struct {
	req                 *requestState
	index               int
	server              *upstream // nil: not in this gateway's server list
	startedAt, deadline time.Duration
	writeBy             time.Duration // the last byte must be written by then; 0: no limit
	expiryTimer         *timer
	writeTimer          *timer // fires at writeBy
	handle              Attempt
	connected           bool // it is assigned to a connection
	fullySent           bool // the last byte may have been written
	ended               bool
	outcome             decide.Outcome // valid once it has ended
}
