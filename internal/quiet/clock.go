package quiet

import (
	"cmp"
	"slices"
	"time"
)

// Reading is by how much a clock is ahead of this member's, as far as is known: between these.
type Reading struct{ Least, Most time.Duration }

// Told is the reading of a clock that stood at a time when a fact was born that is so old at most, and not younger than none, at this
// member's time.
func Told(wall, now time.Time, age time.Duration) Reading {
	ahead := wall.Sub(now)
	return Reading{ahead, ahead + age}
}

// Agree is by how much the fleet's clock is ahead of this member's: within the narrowest bounds that most readings have in common (Marzullo,
// 1984), this member's own, which is 0, among them. A clock that is off, or lies, is outvoted as long as more than half agree; where no
// more than half do there is no clock, and it reports false.
func Agree(readings []Reading) (r Reading, agree int, ok bool) {
	type edge struct {
		at   time.Duration
		step int
	}
	var edges []edge
	for _, x := range readings {
		edges = append(edges, edge{x.Least, 1}, edge{x.Most, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), b.step-a.step) }) // those that touch agree
	in := 0
	for i, e := range edges {
		if in += e.step; in > agree {
			agree = in
			r = Reading{e.at, edges[i+1].at}
		}
	}
	return r, agree, agree*2 > len(readings)
}
