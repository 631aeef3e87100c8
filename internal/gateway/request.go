package gateway

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"sloepick/decide"
	"sloepick/internal/route"
)

// Bounds on a request's values, whatever protocol they come by.
const (
	MaxPayloadSize  = 64 << 10    // bytes of a body, and of a node's value
	maxIDSize       = 128         // bytes of a request's id
	maxKeySize      = 64          // bytes of an idempotency key
	defaultMaxWait  = time.Minute // where its class has no deadline
	defaultMaxUnits = 1 << 10     // where the settings name no most
	maxCustomer     = 1<<33 - 1
)

// Request are a request's, in no protocol's words. Once the core has them they are not changed.
type Request struct {
	Customer, ID, Class, Plan, Key string
	ClientTimeout                  time.Duration // of the client, from Came on
	Units                          float64
	GatewayCount, FirstGateway     int // the customer's set; Spread 0: not told
	ClientRetry, Write             bool
	Body                           []byte
	ReceivedAt                     time.Duration
	Native                         any // the request as its own protocol has it, for a back of that protocol; nil: no more than this
	NativeSize                     int // bytes that Native holds beyond this

	maxWait time.Duration // of its class: no client waits longer
}

// size is how many bytes it holds while it is open.
func (v *Request) size() int {
	return len(v.Customer) + len(v.ID) + len(v.Class) + len(v.Plan) + len(v.Key) + len(v.Body) + v.NativeSize
}

// validate holds a request's values to the settings. What passes is counted as the customer's demand, told to
// peers and sent to servers, so a value that no usual client sends, in a usual customer's name, must end here:
// it would bend that customer's share, or be held against the server that turns it away.
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
	case v.ClientTimeout <= 0 || v.ClientTimeout >= v.maxWait+time.Millisecond: // whole milliseconds, so it may be rounded up
		return errors.New("d is out of range")
	case v.Units < 1 || v.Units > units:
		return errors.New("units are out of range")
	case v.GatewayCount < 0 || v.GatewayCount > set.Gateways, v.FirstGateway < 0 || v.FirstGateway >= set.Gateways:
		return errors.New("the set is out of range")
	}
	return nil
}

// event is the request as the module is told of it, but for its bounds.
func (r *requestState) event() decide.Request {
	v := r.values
	return decide.Request{ID: r.id, Class: v.Class, Plan: v.Plan, Customer: v.Customer, Units: v.Units,
		GatewayCount: v.GatewayCount, FirstGateway: v.FirstGateway, ClientRetry: v.ClientRetry, Write: v.Write}
}

// ResponseKind is how a request ended.
type ResponseKind int

// The kinds of endings.
const (
	Served   ResponseKind = iota + 1
	Refused               // it never ran: trying again does no harm
	Failed                // nothing is promised
	Rejected              // the request itself can't be taken
)

// Response is how a request ended for its client, in no protocol's words. A front makes its bytes of it.
type Response struct {
	Kind          ResponseKind
	Value         []byte        // of Served: as a node gave it
	RetryAfter    time.Duration // of Refused: when to come again; 0: no advice
	QuotaExceeded bool          // of Refused: the customer's quota has no room
	TimedOut      bool          // of Failed: time was up
	DuplicateID   bool          // of Rejected: a request with its id is open
	Reason        string        // of Failed and Rejected
}

// requestState is a client's requestState until its final answer is given and nothing of it is out.
type requestState struct {
	id             string // the module's; a client's own ids may come twice
	seq            uint64 // counts them
	responder      Responder
	values         *Request
	attempts       []*attemptState
	overdueTimer   *timer
	activeAttempts int          // attempts that have not ended
	routes         *route.Table // the table that its route stands in; nil: it has none
	route          int
	done           bool
}

// timedOut reports whether a request that failed did so for want of time: its last attempt was still out, or timed out.
func (r *requestState) timedOut() bool {
	if len(r.attempts) == 0 {
		return false
	}
	a := r.attempts[len(r.attempts)-1]
	return !a.ended || a.outcome == decide.TimedOut
}

// attemptState is one try at one server.
type attemptState struct {
	req                 *requestState
	index               int
	server              *upstream // nil: unknown to this gateway
	startedAt, deadline time.Duration
	writeBy             time.Duration // the last byte must be written by then; 0: there is no such time
	expiryTimer         *timer
	writeTimer          *timer // at writeBy
	handle              Attempt
	connected           bool // its transport has put it on a connection
	fullySent           bool // the last byte may have been written
	ended               bool
	outcome             decide.Outcome // once it is over
}
