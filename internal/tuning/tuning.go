// Package tuning holds the values that operators may set for the gateway's core, with their defaults, their limits and
// the checks across them. It does no I/O; the gateway applies a Tuning at its start and at each reload.
package tuning

import (
	"fmt"
	"time"

	"sloepick/internal/operator"
)

// Tuning is one set of values. It is immutable.
type Tuning struct {
	Clients  Clients
	Nodes    Nodes
	Shutdown Shutdown
}

// Clients are the values for client connections.
type Clients struct {
	ReadTimeout          time.Duration // until a connection's first command, and from the start of any command to its end
	IdleTimeout          time.Duration // between commands while no request is open
	WriteTimeout         time.Duration // a connection whose client reads nothing for this long is closed
	ProtocolErrorTimeout time.Duration // a connection is closed this long after a protocol error, even with open requests
	MaxPipeline          int           // outstanding answers of a connection; beyond them no further command is read
	MaxUnreadBytes       int           // answers that a client has not taken, in bytes, beyond which no further command of it is read
	DescriptorShare      float64       // share of the descriptors
	MemoryShare          float64       // share of the memory limit for all that client connections hold
	AcceptAhead          int           // connections accepted before the event loop has counted them
}

// Nodes are the values for connections to nodes.
type Nodes struct {
	MaxConns            int           // to one node, open or being established
	ReuseDelay          time.Duration // a connection is reused only after this long with nothing unread
	IdleDivisor         int           // an idle connection is closed after the nodes' idle timeout divided by this
	ResponseReadTimeout time.Duration // from the first byte of an answer to its last
	DescriptorShare     float64       // share of the descriptors
}

// Shutdown are the values for the gateway's shutdown.
type Shutdown struct {
	AcceptPeriod    time.Duration // new connections are accepted for this long after SIGTERM
	LateConnTimeout time.Duration // until the command of a connection that arrived while the listener closed; also between the two GOAWAYs of HTTP/2
	DrainTimeout    time.Duration // then all open requests fail; at least the longest client timeout is used
}

// Block returns the declaration of the block gateway. Its defaults also apply without an operators' file.
func Block() *operator.Block {
	return &operator.Block{
		Name: "gateway", Doc: "The gateway's core: connections of clients and to nodes, and its end.",
		Blocks: []*operator.Block{clientsBlock(), nodesBlock(), shutdownBlock()},
		Check:  validate,
	}
}

func clientsBlock() *operator.Block {
	return &operator.Block{
		Name: "clients", Doc: "Connections of clients.",
		Keys: []operator.Key{
			{Name: "first-command", Kind: operator.Duration, Default: "2s", Min: "100ms", Max: "1m", Strictness: operator.HigherIsLooser,
				Doc: "Time to a connection's first command, and to the end of a command that has begun. More lets silent connections hold descriptors for longer."},
			{Name: "idle", Kind: operator.Duration, Default: "5s", Min: "100ms", Max: "1h", Strictness: operator.HigherIsLooser,
				Doc: "Time between commands with nothing open, after which a connection is closed."},
			{Name: "write", Kind: operator.Duration, Default: "2s", Min: "100ms", Max: "1m", Strictness: operator.HigherIsLooser,
				Doc: "A client that takes nothing of its answers for so long is given up."},
			{Name: "fault", Kind: operator.Duration, Default: "1s", Min: "10ms", Max: "1m", Strictness: operator.HigherIsLooser,
				Doc: "A connection that sent what can't be read ends after this, whatever is open on it."},
			{Name: "pipeline", Kind: operator.Count, Default: "64", Min: "1", Max: "1024", Strictness: operator.HigherIsLooser,
				Doc: "Answers owed on one connection; further commands wait to be read."},
			{Name: "unread", Kind: operator.Size, Default: "1MiB", Min: "128KiB", Max: "64MiB", Strictness: operator.HigherIsLooser,
				Doc: "Bytes of answers that wait for a client; beyond them its further commands wait to be read. It is given up only after `write`."},
			{Name: "descriptors", Kind: operator.Share, Default: "50%", Min: "10%", Max: "90%", Strictness: operator.HigherIsLooser,
				Doc: "Share of the descriptors for clients' connections; over it the one quiet for longest is closed."},
			{Name: "held", Kind: operator.Share, Default: "25%", Min: "1%", Max: "50%", Strictness: operator.HigherIsLooser,
				Doc: "Share of the memory limit for all that clients' connections hold together: the connections, commands that are not complete, open commands and answers not taken. When it is held, clients that have stopped writing or reading are given up; where there is none, commands that are not complete wait, new requests are refused, an answer that would have to wait becomes an error, and new connections are closed."},
			{Name: "accept-ahead", Kind: operator.Count, Default: "16", Min: "1", Max: "1024", Applied: operator.AtRestart,
				Doc: "Connections taken before the core has counted them."},
		},
	}
}

func nodesBlock() *operator.Block {
	return &operator.Block{
		Name: "nodes", Doc: "Connections to nodes.",
		Keys: []operator.Key{
			{Name: "connections", Kind: operator.Count, Default: "64", Min: "1", Max: "1024", Strictness: operator.HigherIsLooser,
				Doc: "Connections to one node, open or being made; an attempt over it is not made and not held against the node."},
			{Name: "rest", Kind: operator.Duration, Default: "10ms", Min: "10ms", Max: "1s",
				Doc: "A connection is used again only after it has stood for so long with nothing unread: a late second answer must not pass for the next one's."},
			{Name: "idle-part", Kind: operator.Count, Default: "3", Min: "2", Max: "100",
				Doc: "An idle connection is retired after one part in so many of the nodes' own idle limit, so that no request is written to one that is being closed."},
			{Name: "answer", Kind: operator.Duration, Default: "250ms", Min: "10ms", Max: "1m", Strictness: operator.HigherIsLooser,
				Doc: "Time from the first byte of a node's answer to its last."},
			{Name: "descriptors", Kind: operator.Share, Default: "50%", Min: "10%", Max: "90%", Strictness: operator.HigherIsLooser,
				Doc: "Share of the descriptors for connections to nodes."},
		},
	}
}

func shutdownBlock() *operator.Block {
	return &operator.Block{
		Name: "stop", Doc: "The end of the gateway, at SIGTERM.",
		Keys: []operator.Key{
			{Name: "accept", Kind: operator.Duration, Default: "500ms", Min: "0s", Max: "1m",
				Doc: "New connections are taken for so long: fronts go on sending them for a while."},
			{Name: "last-call", Kind: operator.Duration, Default: "200ms", Min: "10ms", Max: "1m",
				Doc: "A connection that came in as the listener closed has so long to its command."},
			{Name: "longest", Kind: operator.Duration, Default: "10s", Min: "1s", Max: "10m",
				Doc: "What is owed after that is failed. It is never less than the longest wait of a client."},
		},
	}
}

func validate(s *operator.Section) (out []operator.Problem) {
	a, b := s.Section("clients").Share("descriptors"), s.Section("nodes").Share("descriptors")
	if a+b > 1 {
		key := "nodes.descriptors"
		if b == 0.5 {
			key = "clients.descriptors"
		}
		out = append(out, operator.Problem{Key: key,
			Msg: fmt.Sprintf("the shares of descriptors of clients (%.4g%%) and nodes (%.4g%%) come to more than 100%%", 100*a, 100*b)})
	}
	stop := s.Section("stop")
	if need := stop.Duration("accept") + stop.Duration("last-call"); stop.Duration("longest") <= need {
		out = append(out, operator.Problem{Key: "stop.longest",
			Msg: fmt.Sprintf("longest (%v) must be more than accept and last-call together (%v)", stop.Duration("longest"), need)})
	}
	return out
}

// FromConfig returns the values of a validated configuration.
func FromConfig(c *operator.Config) Tuning {
	g := c.Section("gateway")
	clients, nodes, stop := g.Section("clients"), g.Section("nodes"), g.Section("stop")
	return Tuning{
		Clients: Clients{ReadTimeout: clients.Duration("first-command"), IdleTimeout: clients.Duration("idle"),
			WriteTimeout: clients.Duration("write"), ProtocolErrorTimeout: clients.Duration("fault"), MaxPipeline: clients.Count("pipeline"),
			MaxUnreadBytes: int(clients.Size("unread")), DescriptorShare: clients.Share("descriptors"), MemoryShare: clients.Share("held"),
			AcceptAhead: clients.Count("accept-ahead")},
		Nodes: Nodes{MaxConns: nodes.Count("connections"), ReuseDelay: nodes.Duration("rest"), IdleDivisor: nodes.Count("idle-part"),
			ResponseReadTimeout: nodes.Duration("answer"), DescriptorShare: nodes.Share("descriptors")},
		Shutdown: Shutdown{AcceptPeriod: stop.Duration("accept"), LateConnTimeout: stop.Duration("last-call"), DrainTimeout: stop.Duration("longest")},
	}
}

// Default returns the values that apply without an operators' file.
func Default() Tuning {
	s, err := operator.NewSchema(Block())
	if err != nil {
		panic(err) // Block is invalid, which the package's test detects
	}
	return FromConfig(s.Defaults())
}
