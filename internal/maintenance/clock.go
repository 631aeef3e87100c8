package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// OffsetRange is the range in which the offset of another clock lies: how far it is ahead of this member's clock.
type OffsetRange struct{ Min, Max time.Duration }

// EstimateOffset returns the offset of a clock that showed wall when it made a record of at most the given age. now
// is this member's time.
func EstimateOffset(wall, now time.Time, age time.Duration) OffsetRange {
	ahead := wall.Sub(now)
	return OffsetRange{ahead, ahead + age}
}

// FleetOffset returns how far the fleet's clock is ahead of this member's clock: the range that the largest set of
// agreeing members has in common (Marzullo, 1984). This member's own clock counts as a range of 0. A wrong clock is
// outvoted as long as more than half of all clocks agree; if no more than half do, the fleet has no clock, and ok is
// false.
func FleetOffset(others []OffsetRange) (r OffsetRange, agree int, ok bool) {
	type edge struct {
		at   time.Duration
		step int
	}
	edges := []edge{{0, 1}, {0, -1}}
	for _, x := range others {
		edges = append(edges, edge{x.Min, 1}, edge{x.Max, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), b.step-a.step) }) // at one point, starts sort before ends: ranges that touch overlap
	overlaps := 0
	var at time.Duration // the first point in the largest number of ranges
	for _, e := range edges {
		if overlaps += e.step; overlaps > agree {
			agree, at = overlaps, e.at
		}
	}
	empty := true
	for _, x := range others {
		if x.Min <= at && at <= x.Max {
			if empty {
				r, empty = x, false
			}
			r = OffsetRange{max(r.Min, x.Min), min(r.Max, x.Max)}
		}
	}
	return r, agree, agree*2 > len(others)+1
}
