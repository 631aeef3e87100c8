package decide

// What a fleet's standing changes: whose part counts, who keeps a customer's bucket, and what a number taken anew begins with.

// standing takes what the fleet has agreed on.
func (g *Gateway) standing(e Standing) {
	if len(e.Peers) != g.cfg.Gateways || e.Rank < 0 || e.Rank >= g.cfg.Gateways {
		return // of another fleet than the one that this gateway is configured for
	}
	if e.Alone != g.alone {
		g.alone = e.Alone
		g.restore()
	}
	if e.Anew || e.Rank != g.cfg.Rank {
		g.cfg.Rank = e.Rank
		g.renew()
	}
	g.away = make([]bool, len(e.Peers))
	for i, p := range e.Peers {
		g.away[i] = p != Present && i != g.cfg.Rank
		if i == g.cfg.Rank || i >= len(g.peers) {
			continue
		}
		switch p {
		case Missing:
			g.peers[i].missing = true
		case Vacant:
			g.peers[i].left, g.peers[i].missing = true, false
		}
	}
}

// storeHas reports that an even slice of the ceiling's store, empty at a start, has so many units.
func (g *Gateway) storeHas(c *customer, units float64) bool {
	return c.store+slackPart*c.plan.CeilingSlack/float64(c.spread) >= units
}

// restore begins the stores of ceilings anew where they are slices of another size from now on. What homes said is over.
func (g *Gateway) restore() {
	if g.mesh {
		return
	}
	for _, c := range g.customers {
		g.leak(c)
		c.store, c.shut = 0, 0
	}
}

// renew begins a number: what the peers said was for another one, and the buckets are as after a start, half full, as another may
// have used this number until now.
func (g *Gateway) renew() {
	g.epoch = g.rng.Intn(64 * 64)
	for i := range g.peers {
		g.peers[i] = peer{left: g.peers[i].left, missing: g.peers[i].missing}
	}
	for _, c := range g.customers {
		c.at, c.settled, c.store, c.spare = g.now, g.now, 0, 0
		c.usedSum, c.askedSum, c.askedTold = 0, 0, 0
		c.part = 1 / float64(c.spread)
		c.level = max(c.level, c.part*startLevel*c.plan.Burst)
		c.lone, c.loneAt = max(c.lone, min(1, loneTimes*c.part)*startLevel*c.plan.Burst), g.now
		c.whole = max(c.whole, startLevel*c.plan.Burst)
		c.homes = [homes]int16{}
		clear(c.told)
		clear(c.queued)
	}
}

// there is the first number from one on at which a gateway is.
func (g *Gateway) there(i int) int {
	if g.away == nil {
		return i
	}
	for n := range len(g.away) {
		if at := (i + n) % len(g.away); !g.away[at] {
			return at
		}
	}
	return i
}

// becomeHome begins a bucket that another home kept until now: half full, with an empty store.
func (g *Gateway) becomeHome(c *customer) {
	if g.away == nil {
		return
	}
	now := [homes]int16{int16(g.home(c.key, 0) + 1), int16(g.home(c.key, 1) + 1)}
	if was := c.homes; was != now {
		if me := int16(g.cfg.Rank + 1); was[0] != me && was[1] != me {
			if c.store = 0; !c.recalled { // what a start recalled is as good as a home's bucket, wherever that was
				c.whole = max(c.whole, startLevel*c.plan.Burst)
			}
		}
		c.homes, c.recalled = now, false
	}
}
