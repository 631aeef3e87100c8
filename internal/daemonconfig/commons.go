package daemonconfig

import (
	"sloepick/internal/operator"
	"sloepick/internal/peerinfo"
)

// commonsBlock declares the block commons.
func commonsBlock() *operator.Block {
	return &operator.Block{
		Name: "commons", Check: checkCommons,
		Doc: "What the members of a fleet know of each other, with an age that is never told younger than it is. It needs the block fleet. Without it members know who is there, and no more.",
		Keys: []operator.Key{
			{Name: "every", Kind: operator.Duration, Default: "500ms", Min: "50ms", Max: "1m", Applied: operator.AtRestart,
				Doc: "Time from one question to the next, and from one word of this member to the next."},
			{Name: "fan", Kind: operator.Count, Default: "2", Min: "1", Max: "16", Applied: operator.AtRestart, Doc: "Members that are asked each time, any of those that are there."},
			{Name: "keep", Kind: operator.Duration, Default: "10m", Min: "10s", Max: "24h", Applied: operator.AtRestart,
				Doc: "What is older is forgotten. At least ten times every."},
		},
	}
}

const keepLeast = 10 // times every

func checkCommons(s *operator.Section) []operator.Problem {
	if s.Present() && s.Duration("keep") < keepLeast*s.Duration("every") {
		return []operator.Problem{{Key: "keep", Msg: "what is asked for so seldom would be forgotten before it is known again; want ten times every, or more"}}
	}
	return nil
}

// PeerInfo reads how a member takes part in what all know; nil: it does not.
func PeerInfo(c *operator.Config) *peerinfo.Config {
	s := c.Section("commons")
	if !s.Present() {
		return nil
	}
	k := peerinfo.DefaultConfig()
	k.Interval, k.Fanout, k.Retention = s.Duration("every"), s.Count("fan"), s.Duration("keep")
	return &k
}
