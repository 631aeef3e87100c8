package daemonconfig

import (
	"time"

	"sloepick/internal/operator"
)

// powerBlock declares the block power.
func powerBlock() *operator.Block {
	return &operator.Block{
		Name: "power",
		Doc:  "How the gateway recovers from a loss of power: what it stores, and how it resumes service. Without the block it starts without state and admits all requests.",
		Keys: []operator.Key{
			{Name: "keep", Kind: operator.Text, Optional: true, Applied: operator.AtRestart,
				Doc: "A file for state that outlives the process: customers' buckets, answered requests, the last known incarnations of other members. Left out: nothing is written, but other members are still asked."},
			{Name: "every", Kind: operator.Duration, Default: "250ms", Min: "20ms", Max: "10s", Applied: operator.AtRestart,
				Doc: "Interval between writes, if anything changed. Requests passed on within twice this time before a loss may be passed on again."},
			{Name: "customers", Kind: operator.Count, Default: "16384", Min: "1", Max: "1048576", Applied: operator.AtRestart,
				Doc: "Customers that are stored; if there are more, those with the emptiest buckets are left out."},
		},
	}
}

// PowerConfig configures how the gateway recovers from a loss of power.
type PowerConfig struct {
	SnapshotFile     string // "": nothing is written
	SnapshotInterval time.Duration
	MaxCustomers     int
}

// Power returns the configuration of the block power, or nil if there is none.
func Power(c *operator.Config) *PowerConfig {
	s := c.Section("power")
	if !s.Present() {
		return nil
	}
	p := &PowerConfig{SnapshotInterval: s.Duration("every"), MaxCustomers: s.Count("customers")}
	if s.IsSet("keep") {
		p.SnapshotFile = resolvePath(s, "keep")
	}
	return p
}
