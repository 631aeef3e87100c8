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

// Cell is a group of nodes that drop each other's repeats of a keyed request for a time.
type Cell struct {
	ID          int
	DedupWindow time.Duration

	mu   sync.Mutex
	seen map[string]time.Time
}

// addKey reports whether a key is new to the cell, and remembers it.
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

// Arrival is a request that came whole to a node.
type Arrival struct {
	Node, ID, Key, Customer, Class string
	Units                          float64
	Work                           time.Duration
	At                             time.Time
}

// Recorder is the nodes' common record: what came to them, and what took effect how often.
type Recorder struct {
	mu       sync.Mutex
	arrivals []Arrival
	effects  map[string]int // by id
	starts   map[string][]time.Time
}

// NewRecorder makes an empty one.
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

// NodeConfig describes a working node.
type NodeConfig struct {
	ID           string
	Cell         *Cell
	Cores        int // requests worked on at once
	QueueSize    int // requests that wait; over it a request is turned away
	WorkByClass  map[string]time.Duration
	ColdCapacity float64 // share of its speed right after a restart
	ColdDuration time.Duration
	Recorder     *Recorder
	H2           bool // it speaks HTTP/2 and nothing else
	MaxStreams   int  // open at once on a connection, by HTTP/2; 0: 100
}

// Node is a booking node that works: it takes its time, drops repeats of keys, turns away what is too much, and stops
// work whose connection has ended.
type Node struct {
	cfg   NodeConfig
	slots chan struct{}
	addr  string

	mu         sync.Mutex
	l          *listener
	waiting    int
	draining   bool
	skipWork   bool
	started    time.Time // zero: long ago
	counts     NodeCounts
	extraDelay func(Arrival) time.Duration
	intercept  func(*H2Stream) bool
	useReport  func(Arrival) string
}

// NodeCounts are a node's own figures.
type NodeCounts struct{ Received, Executed, Rejected, Deduplicated int }

// NewNode starts a node that has been warm for long.
func NewNode(cfg NodeConfig) (*Node, error) {
	n := &Node{cfg: cfg, slots: make(chan struct{}, cfg.Cores)}
	l, err := listen(n.handler())
	if err != nil {
		return nil, err
	}
	n.l, n.addr = l, l.Addr()
	return n, nil
}

// Addr is where it listens, also after a restart.
func (n *Node) Addr() string { return n.addr }

// ID is its name in discovery's list.
func (n *Node) ID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg.ID
}

// SetID gives it another id.
func (n *Node) SetID(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.ID = id
}

// Counts are its figures since it was made.
func (n *Node) Counts() NodeCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// Close ends the node and its connections.
func (n *Node) Close() {
	n.mu.Lock()
	l := n.l
	n.mu.Unlock()
	l.Close()
}

// SetExtraDelay lets requests take longer by what the function tells of them. It is called from many goroutines.
func (n *Node) SetExtraDelay(delay func(Arrival) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraDelay = delay
}

// SkipWork lets it answer at once, whatever the work.
func (n *Node) SkipWork() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.skipWork = true
}

// SetUseReport lets it tell figures on use with each value; "": none. It is called from many goroutines.
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

// Drain lets it turn away what is new.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// Restart ends the process that the node stands for and starts it again at the same address, cold. It returns when
// that was.
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

// speed is the share of its full speed that a node has some time after a start.
func (c *NodeConfig) speed(since time.Duration) float64 {
	if c.ColdDuration <= 0 || since >= c.ColdDuration {
		return 1
	}
	return c.ColdCapacity + (1-c.ColdCapacity)*float64(since)/float64(c.ColdDuration)
}

// handler is how it serves a connection.
func (n *Node) handler() func(net.Conn) {
	if n.cfg.H2 {
		return n.serveH2
	}
	return n.serveRESP
}

func (n *Node) serveRESP(conn net.Conn) {
	commands, disconnected := make(chan [][]byte), make(chan struct{})
	go func() {
		defer close(disconnected)
		rd := redcon.NewReader(conn)
		for {
			cmd, err := rd.ReadCommand()
			if err != nil {
				return
			}
			select {
			case commands <- cmd.Args:
			case <-time.After(time.Minute): // nobody takes it: the other side is at its end
				return
			}
		}
	}()
	for {
		select {
		case args := <-commands:
			if _, err := conn.Write([]byte(n.respond(args, disconnected))); err != nil {
				return
			}
		case <-disconnected:
			return
		}
	}
}

// respond does what a command asks for, however long that takes, or gives it up when its connection has gone.
func (n *Node) respond(args [][]byte, disconnected <-chan struct{}) string {
	a, ok := n.parseCommand(args)
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

// workResult is how a request workResult at a node.
type workResult int

const (
	abandoned workResult = iota // nobody waits for it
	rejected
	completed
)

// execute does what a request asks for.
func (n *Node) execute(a Arrival, cancelled <-chan struct{}) workResult {
	n.cfg.Recorder.recordArrival(a)
	if !n.admit() {
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
	if a.Key != "" && !n.cfg.Cell.addKey(a.Key, a.At) { // a repeat: the answer is known
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

// ReplyValue is what a node answers to a request, so that a client can tell its own.
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

// parseCommand takes a request in the published form: Q.ASK or Q.DO, customer, id, list, and a body.
func (n *Node) parseCommand(args [][]byte) (Arrival, bool) {
	if len(args) < 4 || string(args[0]) != "Q.ASK" && string(args[0]) != "Q.DO" {
		return Arrival{}, false
	}
	a := Arrival{Node: n.ID(), Customer: string(args[1]), ID: string(args[2]), Units: 1, At: time.Now()}
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
	return newListener(ln, serve), nil
}

// Arrivals are the requests that came whole to a node, in their order.
func (r *Recorder) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// StartTimes is when a node's process was started anew, each time.
func (r *Recorder) StartTimes(node string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.starts[node])
}

// EffectCounts are how often each request took effect, by its id.
func (r *Recorder) EffectCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.effects)
}
