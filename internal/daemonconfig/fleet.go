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
		Doc: "The gateway is a member of a fleet, which assigns its number. Numbers and peers in the platform's file are then ignored. Without the block there is no fleet.",
		Keys: []operator.Key{
			{Name: "address", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "The address, \"host:port\", on which this member talks to the fleet by UDP and TCP. Required."},
			{Name: "places", Kind: operator.Count, Default: "16", Min: "1", Max: "4096", Applied: operator.AtRestart,
				Doc: "Numbers that the fleet can assign; must be the same at all members. Spare ones cost nothing; members without a number admit no requests."},
			{Name: "expect", Kind: operator.Count, Default: "1", Min: "1", Max: "4096",
				Doc: "Members that the fleet is expected to have. Numbers are assigned only while more than half of them, and of the members last known, are reachable."},
			{Name: "hold", Kind: operator.Duration, Default: "3m", Min: "15s", Max: "1h", Applied: operator.AtRestart,
				Doc: "How long a number stays reserved for a lost member. An isolated member gives up its own number a minute earlier, but not before a third of this time: values below 90s need a network in which a loss is detected in less than a minute."},
			{Name: "seeds", Kind: operator.Text, List: true, Optional: true, Applied: operator.AtRestart, Doc: "Addresses of members through which it joins the fleet; its own may be among them."},
			{Name: "keys", Kind: operator.Text, Optional: true, Doc: "A file with keys of 16, 24 or 32 bytes in base64, one per line. The first encrypts messages, all can decrypt them. Read again at each reload. Left out: nothing is encrypted."},
			{Name: "state", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A file in which the member stores its number and the known members. Left out: nothing is stored."},
			{Name: "status", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A local socket for sloectl fleet status, accessible only to this user. Left out: none."},
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
	if msg := checkAddress(s.Text("address")); msg != "" {
		out = append(out, operator.Problem{Key: "address", Msg: msg})
	}
	for _, seed := range s.Texts("seeds") {
		if msg := checkAddress(seed); msg != "" {
			out = append(out, operator.Problem{Key: "seeds", Msg: msg})
		}
	}
	if s.Count("expect") > s.Count("places") {
		out = append(out, operator.Problem{Key: "expect", Msg: "there are more members expected than places"})
	}
	return out
}

// Fleet returns the configuration of the block fleet, or nil if there is none.
func Fleet(c *operator.Config) *gossip.Config {
	s := c.Section("fleet")
	if !s.Present() {
		return nil
	}
	f := &gossip.Config{Address: s.Text("address"), Seeds: s.Texts("seeds"), Generation: SourcesHash(c), Fleet: fleet.DefaultConfig(), PeerInfo: PeerInfo(c), Regions: Regions(c)}
	f.Fleet.Slots, f.Fleet.ExpectedMembers, f.Fleet.ReservationPeriod = s.Count("places"), s.Count("expect"), s.Duration("hold")
	f.Fleet.Lease = max(f.Fleet.ReservationPeriod-maxDetectionTime, f.Fleet.ReservationPeriod/3)
	for key, to := range map[string]*string{"keys": &f.KeyFile, "state": &f.StateFile, "status": &f.StatusSocket} {
		if s.IsSet(key) {
			*to = resolvePath(s, key)
		}
	}
	return f
}

const maxDetectionTime = time.Minute // from the loss of a member until all others, or the isolated member itself, detect it

// SourcesHash returns a hash of the text of an operators' file and its includes.
func SourcesHash(c *operator.Config) uint64 {
	h := fnv.New64a()
	for _, src := range c.Sources {
		h.Write(src.Text)
	}
	return h.Sum64()
}
