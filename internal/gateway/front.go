package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	"sloepick/decide"
	"sloepick/internal/tuning"
)

// Front takes clients in by a protocol of its own. Listen comes first, in the goroutine of the start; Serve takes
// connections, in one of its own, until Door.Closing or the context ends; Close is the last.
type Front interface {
	Listen(ctx context.Context) error
	Serve(ctx context.Context, d *Door)
	Close() error
}

// Conn is a client's connection of any protocol, as the core counts it among the descriptors. Its methods are called by
// the loop.
type Conn interface {
	Quiet() bool         // nothing is owed on it, so that it may be weaned to make room
	Used() time.Duration // when it was last answered, or came
	Wean()               // takes what has come, answers all, and ends
	Close()              // ends at once; what is open on it is abandoned
}

// Asker is a request's place on a front. Ended is called by the loop once, possibly before Ask returns.
type Asker interface{ Ended(e Ending) }

// Kind is how a request ended.
type Kind int

// The kinds of endings.
const (
	Served   Kind = Kind(endServed)
	Refused  Kind = Kind(endRefused)  // it never ran: trying again does no harm
	Failed   Kind = Kind(endFailed)   // nothing is promised
	Rejected Kind = Kind(endRejected) // the request itself can't be taken
)

// Ending is how a request ended for its client.
type Ending struct {
	Kind  Kind
	Value []byte        // of Served: as a node gave it
	After time.Duration // of Refused: when to come again; 0: no advice
	Quota bool          // of Refused: the customer's quota has no room
	Late  bool          // of Failed: time was up
	Taken bool          // of Rejected: a request with its id is open
	Why   string        // of Failed and Rejected
}

// Values are a request's, in no protocol's words.
type Values struct {
	Customer, ID, Class, Plan, Key string
	Patience                       time.Duration // of the client, from Came on
	Units                          float64
	Spread, First                  int // the customer's set; Spread 0: not told
	Again, Write                   bool
	Body                           []byte
	Came                           time.Duration
}

// Ticket is an open request; nil: it has had its ending.
type Ticket struct{ r *request }

// Door is what a front sees of the core. All but Post, Accept, Closing and Log are for the loop's goroutine, in which
// what Post is given runs, and what At and Later are.
type Door struct{ l *loop }

type call func()

func (f call) apply(*loop) { f() }

// Post lets the loop call a function. It waits while the loop's inbox is full.
func (d *Door) Post(f func()) { d.l.in.post(call(f)) }

// Accept takes connections until the listener is closed, only so many ahead of the loop, and lets the loop call take for
// each.
func (d *Door) Accept(ctx context.Context, ln net.Listener, take func(net.Conn)) {
	d.l.accepting(ctx, ln, func(c net.Conn) event {
		return call(func() {
			<-d.l.ahead
			take(c)
		})
	})
}

// Closing is closed when nothing new is taken any more.
func (d *Door) Closing() <-chan struct{} { return d.l.closed }

// Log is the gateway's.
func (d *Door) Log() *slog.Logger { return d.l.log }

// Now is the loop's time.
func (d *Door) Now() time.Duration { return d.l.clock.now() }

// Tuning is what operators set.
func (d *Door) Tuning() *tuning.Tuning { return d.l.tune.Load() }

// At calls a function at a time, unless it is called off.
func (d *Door) At(t time.Duration, do func()) (callOff func()) {
	a := d.l.at(t, do)
	return func() { d.l.unset(a) }
}

// Later calls a function at the end of the loop's turn.
func (d *Door) Later(do func()) { d.l.after = append(d.l.after, do) }

// Admit counts a connection, and reports false if there is no room for it. One that comes while the gateway ends is weaned
// soon.
func (d *Door) Admit(c Conn) bool {
	if !d.l.admit(c) {
		return false
	}
	if d.l.closing {
		d.l.at(d.Now()+d.l.tune.Load().Stop.LastCall, c.Wean)
	}
	return true
}

// Gone forgets a connection that was closed.
func (d *Door) Gone(c Conn) { delete(d.l.clients, c) }

type frontAsker struct{ Asker }

func (f frontAsker) ended(_ *loop, e ending) {
	f.Ended(Ending{Kind: Kind(e.kind), Value: e.value, After: e.after, Quota: e.quota, Late: e.late, Taken: e.taken, Why: e.why})
}

// Ask takes a request into the core.
func (d *Door) Ask(from Asker, v *Values) *Ticket {
	cmd, err := v.command(&d.l.cfg)
	if err != nil {
		from.Ended(Ending{Kind: Rejected, Why: err.Error()})
		return nil
	}
	if r := d.l.accept(frontAsker{from}, cmd); r != nil {
		return &Ticket{r}
	}
	return nil
}

// Abandon ends a request whose client has gone away.
func (d *Door) Abandon(t *Ticket) { d.l.abandon(t.r) }

// Room is what the customer's bucket has room for now.
func (d *Door) Room(customer, plan string) (decide.Room, bool) {
	return d.l.core.RoomOf(d.Now(), customer, plan)
}

// listWord reports that a value can stand in the list of a command.
func listWord(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == ',' || s[i] > '~' {
			return false
		}
	}
	return true
}

// command is the request as RESP2's nodes take it, held to the same rules as one that came by RESP2.
func (v *Values) command(cfg *Config) (*command, error) {
	name := "Q.ASK"
	if v.Write {
		name = "Q.DO"
	}
	if !listWord(v.Class) || !listWord(v.Plan) || !listWord(v.Key) {
		return nil, errors.New("a value holds a comma, a space or what is not printable")
	}
	if len(v.Body) > valueMost {
		return nil, fmt.Errorf("the body is over %d bytes", valueMost)
	}
	b := append(append(append(append([]byte("c="), v.Class...), ",t="...), v.Plan...), ",d="...)
	b = strconv.AppendInt(b, v.Patience.Milliseconds(), 10)
	if v.Key != "" {
		b = append(append(b, ",k="...), v.Key...)
	}
	if v.Again {
		b = append(b, ",r=1"...)
	}
	b = strconv.AppendFloat(append(b, ",units="...), v.Units, 'f', -1, 64)
	if v.Spread > 0 {
		b = strconv.AppendInt(append(b, ",spread="...), int64(v.Spread), 10)
		b = strconv.AppendInt(append(b, ",first="...), int64(v.First), 10)
	}
	args := [][]byte{[]byte(name), []byte(v.Customer), []byte(v.ID), b}
	if len(v.Body) > 0 {
		args = append(args, v.Body)
	}
	return parseRequest(cfg, name, args, v.Came)
}

// Outlet writes to a connection without making the loop wait, as far as the kernel takes bytes at once.
type Outlet struct {
	o   outlet
	raw bool // the kernel takes bytes as they are; else all goes by Finish
}

// NewOutlet makes one. A connection that is not the kernel's own, such as a TLS one, only has Finish.
func NewOutlet(c net.Conn) *Outlet {
	if o, err := newOutlet(c); err == nil {
		return &Outlet{o, true}
	}
	return &Outlet{outlet{conn: c}, false}
}

// Try writes what is taken at once.
func (o *Outlet) Try(b []byte) (int, error) {
	if !o.raw {
		return 0, nil
	}
	return o.o.try(b)
}

// Quiet reports that nothing of the peer's waits in the kernel. Where that can't be seen, it reports false.
func (o *Outlet) Quiet() bool { return o.raw && o.o.quiet() }

// Busy reports that Finish has not ended.
func (o *Outlet) Busy() bool { return o.o.busy }

// Finish writes the rest from a goroutine, within a time, and then lets the loop call done.
func (o *Outlet) Finish(rest []byte, within time.Duration, d *Door, done func(error)) {
	o.o.finish(rest, within, d.l.in.post, func(err error) event {
		return call(func() {
			o.o.busy = false
			done(err)
		})
	})
}
