package daemonconfig

import (
	"time"

	"sloepick/internal/operator"
)

// powerBlock declares the block power.
func powerBlock() *operator.Block {
	return &operator.Block{
		Name: "power",
		Doc:  "How the gateway comes back after a loss of power: what it keeps, and the pace of its service. Without the block it begins with nothing known and lets all in.",
		Keys: []operator.Key{
			{Name: "keep", Kind: operator.Text, Optional: true, Applied: operator.AtRestart,
				Doc: "A file for what outlives the process: customers' buckets, what was answered, other members' last lives. Left out: nothing is written, others are asked all the same."},
			{Name: "every", Kind: operator.Duration, Default: "250ms", Min: "20ms", Max: "10s", Applied: operator.AtRestart,
				Doc: "Time from one writing to the next, if anything changed. What is passed on in twice this time before a loss may be passed on again."},
			{Name: "customers", Kind: operator.Count, Default: "16384", Min: "1", Max: "1048576", Applied: operator.AtRestart,
				Doc: "Customers that are kept; where there are more, those with the emptiest buckets are not."},
		},
	}
}

// PowerConfig is how the gateway comes back after a loss of power.
type PowerConfig struct {
	SnapshotFile     string // "": nothing is written
	SnapshotInterval time.Duration
	MaxCustomers     int
}

// Power reads the block; nil: there is none.
func Power(c *operator.Config) *PowerConfig {
	s := c.Section("power")
	if !s.Present() {
		return nil
	}
	p := &PowerConfig{SnapshotInterval: s.Duration("every"), MaxCustomers: s.Count("customers")}
	if s.IsSet("keep") {
		p.SnapshotFile = beside(s, "keep")
	}
	return p
}
