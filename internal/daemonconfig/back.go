package daemonconfig

import (
	"sloepick/internal/gateway"
	"sloepick/internal/h2"
	"sloepick/internal/operator"
)

// backBlock declares the block back.
func backBlock() *operator.Block {
	return &operator.Block{
		Name: "back", Labeled: true,
		Doc: "Nodes of a kind that speak HTTP/2, with prior knowledge on plain TCP. The block's name is the kind, as discovery tells it. Nodes of other kinds are reached by RESP2.",
		Keys: []operator.Key{
			{Name: "streams", Kind: operator.Count, Default: "100", Min: "1", Max: "1000", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "Attempts out at once on a connection, where the node allows as many."},
			{Name: "connections", Kind: operator.Count, Default: "2", Min: "1", Max: "64", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "Connections to a node; an attempt over what they take is not made and not held against the node."},
			{Name: "ping", Kind: operator.Duration, Default: "500ms", Min: "50ms", Max: "1m", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "A connection with attempts out on which nothing comes for so long is asked by PING; after as long again it is closed."},
			{Name: "idle", Kind: operator.Duration, Default: "5s", Min: "100ms", Max: "1h", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "A connection with nothing out is closed after so long: before the node closes it."},
		},
	}
}

// Backends reads the kinds of nodes that are not reached by RESP2.
func Backends(c *operator.Config) map[string]gateway.Backend {
	all := map[string]gateway.Backend{}
	for _, s := range c.Sections("back") {
		all[s.Label] = h2.NewBackend(h2.BackendConfig{MaxStreams: s.Count("streams"), MaxConns: s.Count("connections"),
			PingInterval: s.Duration("ping"), IdleTimeout: s.Duration("idle")})
	}
	return all
}
