package daemonconfig

import (
	"hash/fnv"
	"time"

	"sloepick/internal/fleet"
	"sloepick/internal/gossip"
	"sloepick/internal/operator"
)

// fleetBlock declares the block fleet.
func fleetBlock() *operator.Block {
	return &operator.Block{
		Name: "fleet", Check: checkFleet,
		Doc: "The gateway is one member of a fleet, which gives it its number; numbers and peers of the platform's file do not count then. Without the block there is no fleet.",
		Keys: []operator.Key{
			{Name: "address", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "The member's own socket for the fleet, as \"host:port\", by UDP and TCP. Required."},
			{Name: "places", Kind: operator.Count, Default: "16", Min: "1", Max: "4096", Applied: operator.AtRestart,
				Doc: "Numbers that there are to give, the same at all members. Spare ones cost nothing; members without one let nothing in."},
			{Name: "expect", Kind: operator.Count, Default: "1", Min: "1", Max: "4096",
				Doc: "Members that the fleet is meant to have. Numbers are given only where more than half of them, and of those last known, are there."},
			{Name: "hold", Kind: operator.Duration, Default: "3m", Min: "15s", Max: "1h", Applied: operator.AtRestart,
				Doc: "A number is kept for so long for a member that is gone. One that is cut off gives its own up a minute before that, but not before a third of it: shorter ones want a network in which a loss is noticed sooner."},
			{Name: "seeds", Kind: operator.Text, List: true, Optional: true, Applied: operator.AtRestart, Doc: "Addresses of members by which it joins; one of them may be its own."},
			{Name: "keys", Kind: operator.Text, Optional: true, Doc: "A file with keys of 16, 24 or 32 bytes in base64, one a line; the first is used to send, any to read. Read again at each reload. Left out: nothing is encrypted."},
			{Name: "state", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A file in which the member keeps its number and who is there. Left out: nothing is kept."},
			{Name: "status", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A local socket for sloectl fleet status, for this user alone. Left out: none."},
		},
	}
}

func checkFleet(s *operator.Section) (out []operator.Problem) {
	if !s.Present() {
		return nil
	}
	if !s.IsSet("address") {
		return []operator.Problem{{Key: "address", Msg: "a member of a fleet needs an address of its own"}}
	}
	if msg := badAddress(s.Text("address")); msg != "" {
		out = append(out, operator.Problem{Key: "address", Msg: msg})
	}
	for _, seed := range s.Texts("seeds") {
		if msg := badAddress(seed); msg != "" {
			out = append(out, operator.Problem{Key: "seeds", Msg: msg})
		}
	}
	if s.Count("expect") > s.Count("places") {
		out = append(out, operator.Problem{Key: "expect", Msg: "there are more members expected than places"})
	}
	return out
}

// Fleet reads how the gateway takes part in a fleet; nil: it does not.
func Fleet(c *operator.Config) *gossip.Config {
	s := c.Section("fleet")
	if !s.Present() {
		return nil
	}
	f := &gossip.Config{Address: s.Text("address"), Seeds: s.Texts("seeds"), Generation: SourcesHash(c), Fleet: fleet.DefaultConfig(), PeerInfo: PeerInfo(c), Regions: Regions(c)}
	f.Fleet.Slots, f.Fleet.ExpectedMembers, f.Fleet.ReservationPeriod = s.Count("places"), s.Count("expect"), s.Duration("hold")
	f.Fleet.Lease = max(f.Fleet.ReservationPeriod-noticeMost, f.Fleet.ReservationPeriod/3)
	for key, to := range map[string]*string{"keys": &f.KeyFile, "state": &f.StateFile, "status": &f.StatusSocket} {
		if s.IsSet(key) {
			*to = beside(s, key)
		}
	}
	return f
}

const noticeMost = time.Minute // between a loss and all others' knowing it, or its own

// SourcesHash is a number for what stands in an operators' file and its includes.
func SourcesHash(c *operator.Config) uint64 {
	h := fnv.New64a()
	for _, src := range c.Sources {
		h.Write(src.Text)
	}
	return h.Sum64()
}
