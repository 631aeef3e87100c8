package daemonconfig

import (
	"sloepick/internal/gateway"
	"sloepick/internal/h2"
	"sloepick/internal/operator"
)

// backendBlock declares the block back, for nodes that are reached by HTTP/2.
func backendBlock() *operator.Block {
	return &operator.Block{
		Name: "back", Labeled: true,
		Doc: "Nodes of one kind that speak HTTP/2, with prior knowledge over plain TCP. The block's name is the kind as given by discovery. Nodes of other kinds are reached by RESP2.",
		Keys: []operator.Key{
			{Name: "streams", Kind: operator.Count, Default: "100", Min: "1", Max: "1000", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "Concurrent attempts on a connection, if the node allows as many."},
			{Name: "connections", Kind: operator.Count, Default: "2", Min: "1", Max: "64", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "Connections to a node. An attempt beyond their capacity is not made and does not count as a failure of the node."},
			{Name: "ping", Kind: operator.Duration, Default: "500ms", Min: "50ms", Max: "1m", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "A PING is sent on a connection with open attempts that has received nothing for this long; if nothing arrives for as long again, it is closed."},
			{Name: "idle", Kind: operator.Duration, Default: "5s", Min: "100ms", Max: "1h", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "A connection without open attempts is closed after this time: it should be shorter than the node's own idle time-out."},
		},
	}
}

// Backends returns the backends of the kinds of nodes that are not reached by RESP2.
func Backends(c *operator.Config) map[string]gateway.Backend {
	all := map[string]gateway.Backend{}
	for _, s := range c.Sections("back") {
		all[s.Label] = h2.NewBackend(h2.BackendConfig{MaxStreams: s.Count("streams"), MaxConns: s.Count("connections"),
			PingInterval: s.Duration("ping"), IdleTimeout: s.Duration("idle")})
	}
	return all
}
