package decide

import (
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

// This file chooses the server that a request goes to.
const (
	crossZoneFactor = 1.15        // factor on the estimate of a server in another zone
	missTolerance   = 0.2         // servers within this of the lowest miss rate count as equally good
	maxCandidates   = 16          // servers considered for a request, from a random one on
	subsetWindow    = time.Second // a gateway uses as many servers as it gets answers in this time ...
	minSubsetSize   = 8           // ... and at least this many: with fewer, single requests would affect each other
)

// estimatedTime returns the time in seconds that the server should take to answer the request.
func (g *Gateway) estimatedTime(s *server, r *request) float64 {
	return r.class.expectedTime(r.units) * g.slowness(s) * (1 + g.currentLoad(s)) / (1 + s.meanLoad)
}

// subsetSize returns how many servers this gateway uses: the first ones in its own order, which rendezvous hashing
// gives. If many gateways spread their few requests over all servers, each would use a server so rarely that it knew
// none, and open a connection for nearly every request. As the subsets differ, all gateways together load the servers
// evenly, and a change of the list of servers affects only the subsets that contain the changed ones.
func (g *Gateway) subsetSize() int {
	return min(len(g.serversByID), max(minSubsetSize, int(g.answeredWork.Get(g.now)*subsetWindow.Seconds())))
}

// usable reports whether a request may go to the server by the server's state and by the rules.
func (g *Gateway) usable(s *server, r *request) bool {
	return s.State == Serving && !g.coldBudgetExhausted(s) && g.mayRunOn(r, s)
}

// chooseServer returns the server with the lowest estimate of the subset, or beyond it until two are usable, and the
// estimate. A cold server outside the subset gets nothing, as its budget is with the gateways that have it in theirs.
// last is the server of the attempt before, which gets a penalty. Where answers are too rare to know a server's load,
// the better of two random ones is taken, of those whose miss rate is close to the lowest: otherwise all gateways
// would choose the same few servers.
func (g *Gateway) chooseServer(r *request, last *server) (*server, float64) {
	var candidates [maxCandidates]*server
	best, n, minMiss, cost := (*server)(nil), 0, 1.0, 0.0
	subset := g.subsetSize()
	for i, offset := 0, g.rng.Intn(max(1, subset)); i < len(g.serversByHash) && n < maxCandidates && (i < subset || n < 2); i++ {
		s := g.serversByHash[i]
		if i < subset {
			s = g.serversByHash[(offset+i)%subset]
		} else if s.coldUntil > g.now {
			continue
		}
		if !g.usable(s, r) || (s.avoidUntil > g.now && !g.allAvoided()) {
			continue
		}
		candidates[n] = s
		n++
		minMiss = min(minMiss, g.missRate(s, r.class))
	}
	remaining := n
	if g.sparseness() == 1 {
		remaining = 2
	}
	for _, s := range candidates[:n] {
		miss := g.missRate(s, r.class)
		if miss > minMiss+missTolerance || remaining == 0 {
			continue
		}
		remaining--
		c := g.estimatedTime(s, r) / max(0.2, 1-miss) * (1 + 0.02*g.rng.Float64())
		if s.Zone != g.cfg.Zone {
			c *= crossZoneFactor
		}
		if s == last {
			c *= 3
		}
		if best == nil || c < cost {
			best, cost = s, c
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, g.estimatedTime(best, r)
}

// allAvoided reports whether every server is being avoided. The fault is then more likely at this gateway, and none
// is avoided.
func (g *Gateway) allAvoided() bool {
	up := func(s *server) bool { return s.State == Serving && s.avoidUntil <= g.now }
	return !slices.ContainsFunc(g.serversByID, up)
}

// rendezvousHash is a server's position in the order of the gateway of that rank: rendezvous hashing (Thaler and
// Ravishankar, 1998), mixed by the finalizer of SplitMix64.
func rendezvousHash(rank int, id string) uint64 {
	x := peermsg.Key(id) ^ uint64(rank+1)*0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
