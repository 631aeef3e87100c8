package gossip

import (
	"maps"
	"slices"
	"time"

	"sloepick/internal/maintenance"
)

const (
	quietAhead = 8 * 24 * time.Hour // windows are looked for so far ahead: a week, and the day that a calendar leaves out
	offMost    = time.Second        // a member whose clock is further off than this, and the doubt, says so
	wallStep   = time.Millisecond   // in which wall clocks are told
)

// Clock is what the fleet's clock is by what members told of theirs.
type Clock struct {
	OK        bool          // more than half agree; else there is none
	Agree, Of int           // members, this one among them
	Ahead     time.Duration // of this member's clock, in the middle of what is possible
	Doubt     time.Duration // it may be so much more or less
	Off       bool          // this member's own clock is not among those that agree, by more than a second
}

// RegionRow is when a region with a calendar is quiet, by the fleet's clock.
type RegionRow struct {
	Name     string
	Left     time.Duration // for which it is quiet at the least; 0: it may not be
	From, To time.Time     // the window that it is in, or the next one; zero: there is none for a week
}

// calendar keeps the windows that were found: to look for one that is days away takes some ms.
type calendar struct {
	hours   map[string]*maintenance.Calendar
	windows map[string]maintenance.Window
	until   time.Time // windows hold until then ...
}

// Regions has the regions' calendars be these from now on.
func (e *Engine) Regions(hours map[string]*maintenance.Calendar) { e.regions.Store(&hours) }

// clock is the fleet's clock, at a time of this member's wall clock.
func clockOf(rows []NewsRow, self string, at time.Time) Clock {
	var readings []maintenance.OffsetRange
	for _, row := range rows {
		if row.Name != self {
			readings = append(readings, maintenance.EstimateOffset(time.UnixMilli(row.Wall), at, row.Age+wallStep))
		}
	}
	r, agree, ok := maintenance.FleetOffset(readings)
	c := Clock{OK: ok, Agree: agree, Of: len(readings) + 1, Ahead: (r.Min + r.Max) / 2, Doubt: (r.Max - r.Min) / 2}
	c.Off = ok && max(c.Ahead, -c.Ahead) > c.Doubt+offMost
	return c
}

// rows are the regions as of a time of the fleet's clock.
func (c *calendar) rows(hours map[string]*maintenance.Calendar, clock Clock, at time.Time) (rows []RegionRow) {
	if !clock.OK {
		return nil
	}
	at = at.Add(clock.Ahead)
	if same := maps.Equal(c.hours, hours); !same || at.After(c.until) || at.Before(c.until.Add(-time.Hour)) {
		c.hours, c.windows, c.until = hours, map[string]maintenance.Window{}, at.Add(time.Hour)
		for name, h := range hours {
			if w, ok := maintenance.NextWindow(at, quietAhead, h); ok {
				c.windows[name] = w
				if w.To.Before(c.until) {
					c.until = w.To
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(hours)) {
		row := RegionRow{Name: name, Left: maintenance.Remaining(at, clock.Doubt, hours[name])}
		if w, ok := c.windows[name]; ok {
			row.From, row.To = w.From.In(hours[name].Zone), w.To.In(hours[name].Zone)
		}
		rows = append(rows, row)
	}
	return rows
}
