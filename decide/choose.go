package decide

import (
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

// This file decides which server a request goes to.
const (
	crossZone = 1.15        // factor on the estimate of a server in another zone
	missNear  = 0.2         // over the least share of requests missed: as good as the best
	lookAt    = 16          // servers, from a random one on, are looked at for a request
	nearFor   = time.Second // a gateway keeps to as many servers as it has answers in this time ...
	nearLeast = 8           // ... and to so many at least: fewer would feel each other's every request
)

// estimate is the time in seconds that an answer of the server to the request should take.
func (g *Gateway) estimate(s *server, r *request) float64 {
	return r.class.usual(r.units) * g.slowness(s) * (1 + g.load(s)) / (1 + s.outAvg)
}

// nearMost is how many servers this gateway keeps to: the first ones in its own order, which rendezvous
// hashing makes. A gateway among many that spread its few requests over all servers would meet each so rarely
// that it knew none, and open a connection for nearly every request. As each keeps to others, all together
// load all alike, and a change of the list moves only what it touches.
func (g *Gateway) nearMost() int {
	return min(len(g.order), max(nearLeast, int(g.done.Get(g.now)*nearFor.Seconds())))
}

// usable reports whether a request may go to the server by health and by the rules.
func (g *Gateway) usable(s *server, r *request) bool {
	return s.State == Serving && !g.cold(s) && g.mayRepeatAt(r, s)
}

// choose takes the server with the least estimate of the near ones, or of two others where fewer near ones
// are usable; a cold one that is not near gets nothing, as its budget is with those to whom it is near. last
// is the one that failed the request before. Where answers of a server are too rare to know its load, it
// takes the better of two at random, of those that fail the class little more than the best looked at: all
// would else run to the same few servers.
func (g *Gateway) choose(r *request, last *server) (*server, float64) {
	var found [lookAt]*server
	best, n, least, cost := (*server)(nil), 0, 1.0, 0.0
	near := g.nearMost()
	for i, from := 0, g.rng.Intn(max(1, near)); i < len(g.near) && n < lookAt && (i < near || n < 2); i++ {
		s := g.near[i]
		if i < near {
			s = g.near[(from+i)%near]
		} else if s.coldUntil > g.now {
			continue
		}
		if !g.usable(s, r) || (s.downTill > g.now && !g.allDown()) {
			continue
		}
		found[n] = s
		n++
		least = min(least, g.missed(s, r.class))
	}
	most := n
	if g.thin() == 1 {
		most = 2
	}
	for _, s := range found[:n] {
		miss := g.missed(s, r.class)
		if miss > least+missNear || most == 0 {
			continue
		}
		most--
		c := g.estimate(s, r) / max(0.2, 1-miss) * (1 + 0.02*g.rng.Float64())
		if s.Zone != g.cfg.Zone {
			c *= crossZone
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
	return best, g.estimate(best, r)
}

// allDown reports whether every server is left alone: then this gateway is likelier to be at fault than they,
// and none is.
func (g *Gateway) allDown() bool {
	up := func(s *server) bool { return s.State == Serving && s.downTill <= g.now }
	return !slices.ContainsFunc(g.order, up)
}

// luck is a server's place in the order of the gateway of that number: rendezvous hashing (Thaler and Ravishankar,
// 1998), mixed by the finalizer of SplitMix64.
func luck(rank int, id string) uint64 {
	x := peermsg.Key(id) ^ uint64(rank+1)*0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
