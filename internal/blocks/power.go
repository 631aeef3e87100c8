package blocks

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
			{Name: "keep", Kind: operator.Text, Optional: true, Takes: operator.AtRestart,
				Doc: "A file for what outlives the process: customers' buckets, what was answered, other members' last lives. Left out: nothing is written, others are asked all the same."},
			{Name: "every", Kind: operator.Duration, Default: "250ms", Least: "20ms", Most: "10s", Takes: operator.AtRestart,
				Doc: "Time from one writing to the next, if anything changed. What is passed on in twice this time before a loss may be passed on again."},
			{Name: "customers", Kind: operator.Count, Default: "16384", Least: "1", Most: "1048576", Takes: operator.AtRestart,
				Doc: "Customers that are kept; where there are more, those with the emptiest buckets are not."},
		},
	}
}

// Power is how the gateway comes back after a loss of power.
type Power struct {
	File      string // "": nothing is written
	Every     time.Duration
	Customers int
}

// PowerOf reads the block; nil: there is none.
func PowerOf(c *operator.Config) *Power {
	s := c.One("power")
	if !s.Present() {
		return nil
	}
	p := &Power{Every: s.Duration("every"), Customers: s.Count("customers")}
	if s.Has("keep") {
		p.File = beside(s, "keep")
	}
	return p
}
