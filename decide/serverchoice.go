package decide

import (
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

// This file decides which server a request goes to.
const (
	crossZoneFactor = 1.15        // factor on the estimate of a server in another zone
	missTolerance   = 0.2         // over the least share of requests missed: as good as the best
	maxCandidates   = 16          // servers, from a random one on, are looked at for a request
	subsetWindow    = time.Second // a gateway keeps to as many servers as it has answers in this time ...
	minSubsetSize   = 8           // ... and to so many at least: fewer would feel each other's every request
)

// estimatedTime is the time in seconds that an answer of the server to the request should take.
func (g *Gateway) estimatedTime(s *server, r *request) float64 {
	return r.class.expectedTime(r.units) * g.slowness(s) * (1 + g.currentLoad(s)) / (1 + s.meanLoad)
}

// subsetSize is how many servers this gateway keeps to: the first ones in its own order, which rendezvous
// hashing makes. A gateway among many that spread its few requests over all servers would meet each so rarely
// that it knew none, and open a connection for nearly every request. As each keeps to others, all together
// load all alike, and a change of the list moves only what it touches.
func (g *Gateway) subsetSize() int {
	return min(len(g.serversByID), max(minSubsetSize, int(g.answeredWork.Get(g.now)*subsetWindow.Seconds())))
}

// usable reports whether a request may go to the server by health and by the rules.
func (g *Gateway) usable(s *server, r *request) bool {
	return s.State == Serving && !g.coldBudgetExhausted(s) && g.mayRunOn(r, s)
}

// chooseServer takes the server with the least estimate of the near ones, or of two others where fewer near ones
// are usable; a cold one that is not near gets nothing, as its budget is with those to whom it is near. last
// is the one that failed the request before. Where answers of a server are too rare to know its load, it
// takes the better of two at random, of those that fail the class little more than the best looked at: all
// would else run to the same few servers.
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

// allAvoided reports whether every server is left alone: then this gateway is likelier to be at fault than they,
// and none is.
func (g *Gateway) allAvoided() bool {
	up := func(s *server) bool { return s.State == Serving && s.avoidUntil <= g.now }
	return !slices.ContainsFunc(g.serversByID, up)
}

// rendezvousHash is a server's place in the order of the gateway of that number: rendezvous hashing (Thaler and Ravishankar,
// 1998), mixed by the finalizer of SplitMix64.
func rendezvousHash(rank int, id string) uint64 {
	x := peermsg.Key(id) ^ uint64(rank+1)*0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
