package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// OffsetRange is by how much a clock is ahead of this member's, as far as is known: between these.
type OffsetRange struct{ Min, Max time.Duration }

// EstimateOffset is the reading of a clock that stood at a time when a fact was born that is so old at most, and not younger than none, at this
// member's time.
func EstimateOffset(wall, now time.Time, age time.Duration) OffsetRange {
	ahead := wall.Sub(now)
	return OffsetRange{ahead, ahead + age}
}

// FleetOffset is by how much the fleet's clock is ahead of this member's, whose own reading is 0: within the bounds that those others have in common
// who agree with most (Marzullo, 1984). A clock that is off, or lies, is outvoted as long as more than half agree, this member's own
// counted; where no more than half do there is no clock, and it reports false.
func FleetOffset(others []OffsetRange) (r OffsetRange, agree int, ok bool) {
	type edge struct {
		at   time.Duration
		step int
	}
	edges := []edge{{0, 1}, {0, -1}}
	for _, x := range others {
		edges = append(edges, edge{x.Min, 1}, edge{x.Max, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), b.step-a.step) }) // those that touch agree
	overlaps := 0
	var at time.Duration // where most agree
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
