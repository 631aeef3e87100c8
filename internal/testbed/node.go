package testbed

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Cell is a group of nodes that deduplicate keyed requests among themselves within a window.
type Cell struct {
	ID          int
	DedupWindow time.Duration

	mu   sync.Mutex
	seen map[string]time.Time
}

// addKey records a key and reports whether it is new to the cell.
func (c *Cell) addKey(key string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[string]time.Time{}
	}
	if at, ok := c.seen[key]; ok && now.Sub(at) < c.DedupWindow {
		return false
	}
	c.seen[key] = now
	return true
}

// Arrival is a complete request that a node received.
type Arrival struct {
	Node, ID, Key, Customer, Class string
	Units                          float64
	Work                           time.Duration
	At                             time.Time // when the kernel received it
}

// Recorder records for all nodes which requests arrived, and how often each took effect.
type Recorder struct {
	mu       sync.Mutex
	arrivals []Arrival
	effects  map[string]int // by request id
	starts   map[string][]time.Time
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{effects: map[string]int{}, starts: map[string][]time.Time{}}
}

func (r *Recorder) recordArrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *Recorder) recordEffect(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effects[id]++
}

// NodeConfig configures a Node.
type NodeConfig struct {
	ID           string
	Cell         *Cell
	Cores        int // concurrent requests
	QueueSize    int // requests that may wait; further ones are rejected
	WorkByClass  map[string]time.Duration
	ColdCapacity float64 // share of the full speed right after a restart
	ColdDuration time.Duration
	Recorder     *Recorder
	H2           bool // serve HTTP/2 instead of RESP2
	MaxStreams   int  // HTTP/2 streams per connection; 0: 100
}

// Node is a simulated server: it takes the configured time per request, deduplicates keyed requests, rejects
// requests beyond its capacity, and abandons a request when its connection closes.
type Node struct {
	cfg   NodeConfig
	slots chan struct{}
	addr  string

	mu         sync.Mutex
	l          *listener
	waiting    int
	draining   bool
	skipWork   bool
	started    time.Time // zero: long ago, so the node is warm
	counts     NodeCounts
	extraDelay func(Arrival) time.Duration
	lateReject func(Arrival) time.Duration
	intercept  func(*H2Stream) bool
	useReport  func(Arrival) string
}

// NodeCounts are a node's counters.
type NodeCounts struct{ Received, Executed, Rejected, Deduplicated int }

// NewNode starts a warm node.
func NewNode(cfg NodeConfig) (*Node, error) {
	n := &Node{cfg: cfg, slots: make(chan struct{}, cfg.Cores)}
	l, err := listen(n.handler())
	if err != nil {
		return nil, err
	}
	n.l, n.addr = l, l.Addr()
	return n, nil
}

// Addr returns the listen address, which a restart keeps.
func (n *Node) Addr() string { return n.addr }

// ID returns the node's id in the list of servers.
func (n *Node) ID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg.ID
}

// SetID changes the node's id.
func (n *Node) SetID(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.ID = id
}

// Counts returns the counters since the node was created.
func (n *Node) Counts() NodeCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// Close stops the node and closes its connections.
func (n *Node) Close() {
	n.mu.Lock()
	l := n.l
	n.mu.Unlock()
	l.Close()
}

// SetExtraDelay makes each request take longer by what delay returns for it. delay is called from many goroutines.
func (n *Node) SetExtraDelay(delay func(Arrival) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraDelay = delay
}

// SetLateRejection makes the node reject the requests for which delay returns more than 0 after that time, without working on them.
// delay is called from many goroutines.
func (n *Node) SetLateRejection(delay func(Arrival) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lateReject = delay
}

// rejectLate waits until the request is to be rejected. It reports false if it is not to be rejected.
func (n *Node) rejectLate(a Arrival, cancelled <-chan struct{}) (rejected bool) {
	n.mu.Lock()
	lateReject := n.lateReject
	n.mu.Unlock()
	if lateReject == nil {
		return false
	}
	delay := lateReject(a)
	if delay <= 0 {
		return false
	}
	select {
	case <-time.After(delay):
	case <-cancelled:
	}
	return true
}

// SkipWork makes the node answer without delay, whatever the class.
func (n *Node) SkipWork() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.skipWork = true
}

// SetUseReport makes the node add to each reply the use that report returns for it; "" omits it. report is called
// from many goroutines.
func (n *Node) SetUseReport(report func(Arrival) string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.useReport = report
}

func (n *Node) reportUse(a Arrival) string {
	n.mu.Lock()
	report := n.useReport
	n.mu.Unlock()
	if report == nil {
		return ""
	}
	return report(a)
}

// Drain makes the node reject new requests.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// Restart simulates a restart of the node's process: it closes all connections and listens again at the same
// address, cold. It returns the start time.
func (n *Node) Restart() (time.Time, error) {
	n.Close()
	l, err := listenAt(n.addr, n.handler())
	if err != nil {
		return time.Time{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.l, n.draining, n.started = l, false, time.Now()
	r := n.cfg.Recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[n.cfg.ID] = append(r.starts[n.cfg.ID], n.started)
	return n.started, nil
}

// speed returns the share of its full speed that a node has at a time since its start.
func (c *NodeConfig) speed(since time.Duration) float64 {
	if c.ColdDuration <= 0 || since >= c.ColdDuration {
		return 1
	}
	return c.ColdCapacity + (1-c.ColdCapacity)*float64(since)/float64(c.ColdDuration)
}

// handler returns the function that serves a connection.
func (n *Node) handler() func(net.Conn) {
	if n.cfg.H2 {
		return n.serveH2
	}
	return n.serveRESP
}

// nodeCommand is a command that a node received by RESP2.
type nodeCommand struct {
	args       [][]byte
	receivedAt time.Time
}

func (n *Node) serveRESP(conn net.Conn) {
	commands, disconnected := make(chan nodeCommand), make(chan struct{})
	go func() {
		defer close(disconnected)
		timed := newTimedConn(conn)
		rd := redcon.NewReader(timed)
		for {
			cmd, err := rd.ReadCommand()
			if err != nil {
				return
			}
			select {
			case commands <- nodeCommand{args: cmd.Args, receivedAt: timed.ReceivedAt()}:
			case <-time.After(time.Minute): // the serving loop has ended
				return
			}
		}
	}()
	for {
		select {
		case command := <-commands:
			if _, err := conn.Write([]byte(n.respond(command, disconnected))); err != nil {
				return
			}
		case <-disconnected:
			return
		}
	}
}

// respond executes a command and returns the reply, or "" if the connection has closed meanwhile.
func (n *Node) respond(command nodeCommand, disconnected <-chan struct{}) string {
	a, ok := n.parseCommand(command)
	if !ok {
		return "-SYNTAX\r\n"
	}
	switch n.execute(a, disconnected) {
	case rejected:
		return "-BUSY\r\n"
	case completed:
		return FormatReplyWithUse(ReplyValue(a.ID), n.reportUse(a))
	}
	return ""
}

// workResult is how a request ended at a node.
type workResult int

const (
	abandoned workResult = iota // the client is gone
	rejected
	completed
)

// execute does the work of a request.
func (n *Node) execute(a Arrival, cancelled <-chan struct{}) workResult {
	n.cfg.Recorder.recordArrival(a)
	if n.rejectLate(a, cancelled) || !n.admit() {
		return rejected
	}
	defer n.release()
	select {
	case n.slots <- struct{}{}:
		defer func() { <-n.slots }()
	case <-cancelled:
		return abandoned
	}
	n.mu.Lock()
	started, extraDelay, skipWork := n.started, n.extraDelay, n.skipWork
	n.mu.Unlock()
	duration := time.Duration(float64(a.Work) / n.cfg.speed(time.Since(started)))
	if skipWork {
		duration = 0
	}
	if extraDelay != nil {
		duration += extraDelay(a)
	}
	if a.Key != "" && !n.cfg.Cell.addKey(a.Key, a.At) { // a duplicate: the reply is known
		n.updateCounts(func(c *NodeCounts) { c.Deduplicated++ })
		duration = 0
	} else {
		n.cfg.Recorder.recordEffect(a.ID)
		n.updateCounts(func(c *NodeCounts) { c.Executed++ })
	}
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-cancelled:
		return abandoned
	}
	return completed
}

// ReplyValue returns the value of the reply to a request, which contains the id so that clients can check it.
func ReplyValue(id string) string { return "slots of " + id }

func (n *Node) updateCounts(f func(*NodeCounts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(&n.counts)
}

func (n *Node) admit() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts.Received++
	if n.draining || n.waiting >= n.cfg.Cores+n.cfg.QueueSize {
		n.counts.Rejected++
		return false
	}
	n.waiting++
	return true
}

func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting--
}

// parseCommand parses a request in its published form: Q.ASK or Q.DO, customer, id, parameters, and an optional
// body.
func (n *Node) parseCommand(command nodeCommand) (Arrival, bool) {
	args := command.args
	if len(args) < 4 || string(args[0]) != "Q.ASK" && string(args[0]) != "Q.DO" {
		return Arrival{}, false
	}
	a := Arrival{Node: n.ID(), Customer: string(args[1]), ID: string(args[2]), Units: 1, At: command.receivedAt}
	for _, pair := range strings.Split(string(args[3]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			a.Class = value
		case "k":
			a.Key = value
		case "units":
			v, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return a, false
			}
			a.Units = v
		}
	}
	a.Work = n.cfg.WorkByClass[a.Class]
	return a, a.Work > 0
}

func listenAt(addr string, serve func(net.Conn)) (*listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	if err := setReceiveTimestamps(ln.(*net.TCPListener)); err != nil {
		ln.Close()
		return nil, fmt.Errorf("turning on receive timestamps: %w", err)
	}
	return newListener(ln, serve), nil
}

// Arrivals returns the complete requests that nodes received, in order of arrival.
func (r *Recorder) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// StartTimes returns the times at which a node was restarted.
func (r *Recorder) StartTimes(node string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.starts[node])
}

// EffectCounts returns how often each request took effect, by its id.
func (r *Recorder) EffectCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.effects)
}
