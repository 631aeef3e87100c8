package daemonconfig

import (
	"sloepick/internal/operator"
	"sloepick/internal/peerinfo"
)

// peerInfoBlock declares the block commons, for what members know of each other.
func peerInfoBlock() *operator.Block {
	return &operator.Block{
		Name: "commons", Check: checkPeerInfo,
		Doc: "What the members of a fleet know of each other, with its age, which is never understated. It needs the block fleet. Without it members only know which members there are.",
		Keys: []operator.Key{
			{Name: "every", Kind: operator.Duration, Default: "500ms", Min: "50ms", Max: "1m", Applied: operator.AtRestart,
				Doc: "Interval at which this member asks others, and at which it publishes its own state."},
			{Name: "fan", Kind: operator.Count, Default: "2", Min: "1", Max: "16", Applied: operator.AtRestart, Doc: "Members that are asked each time, chosen from those that are reachable."},
			{Name: "keep", Kind: operator.Duration, Default: "10m", Min: "10s", Max: "24h", Applied: operator.AtRestart,
				Doc: "Older information is dropped. Must be at least ten times every."},
		},
	}
}

const minRetentionIntervals = 10 // multiples of the interval

func checkPeerInfo(s *operator.Section) []operator.Problem {
	if s.Present() && s.Duration("keep") < minRetentionIntervals*s.Duration("every") {
		return []operator.Problem{{Key: "keep", Msg: "information would be dropped before it is refreshed; keep must be at least ten times every"}}
	}
	return nil
}

// PeerInfo returns the configuration of the block commons, or nil if there is none.
func PeerInfo(c *operator.Config) *peerinfo.Config {
	s := c.Section("commons")
	if !s.Present() {
		return nil
	}
	k := peerinfo.DefaultConfig()
	k.Interval, k.Fanout, k.Retention = s.Duration("every"), s.Count("fan"), s.Duration("keep")
	return &k
}
