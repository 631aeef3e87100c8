package gossip

import (
	"maps"
	"slices"
	"time"

	"sloepick/internal/maintenance"
)

const (
	windowLookahead = 8 * 24 * time.Hour // windows are looked for so far ahead: a week, and the day that a calendar leaves out
	maxClockOffset  = time.Second        // a member whose clock is further off than this, and the doubt, says so
	wallResolution  = time.Millisecond   // in which wall clocks are told
)

// FleetClock is what the fleet's clock is by what members told of theirs.
type FleetClock struct {
	OK              bool          // more than half agree; else there is none
	AgreeingMembers int           `json:"Agree"`
	TotalMembers    int           `json:"Of"`    // members, this one among them
	Offset          time.Duration `json:"Ahead"` // of this member's clock, in the middle of what is possible
	Uncertainty     time.Duration `json:"Doubt"` // it may be so much more or less
	LocalClockOff   bool          `json:"Off"`   // this member's own clock is not among those that agree, by more than a second
}

// RegionStatus is when a region with a calendar is quiet, by the fleet's clock.
type RegionStatus struct {
	Name        string
	Remaining   time.Duration `json:"Left"` // for which it is quiet at the least; 0: it may not be
	WindowStart time.Time     `json:"From"` // the window that it is in, or the next one; zero: there is none for a week
	WindowEnd   time.Time     `json:"To"`
}

// windowCache keeps the windows that were found: to look for one that is days away takes some ms.
type windowCache struct {
	calendars  map[string]*maintenance.Calendar
	windows    map[string]maintenance.Window
	validUntil time.Time // windows hold until then ...
}

// SetRegions has the regions' calendars be these from now on.
func (e *Engine) SetRegions(calendars map[string]*maintenance.Calendar) { e.regions.Store(&calendars) }

// clock is the fleet's clock, at a time of this member's wall clock.
func estimateFleetClock(rows []PeerInfoRow, self string, at time.Time) FleetClock {
	var readings []maintenance.OffsetRange
	for _, row := range rows {
		if row.Name != self {
			readings = append(readings, maintenance.EstimateOffset(time.UnixMilli(row.WallMillis), at, row.Age+wallResolution))
		}
	}
	r, agree, ok := maintenance.FleetOffset(readings)
	c := FleetClock{OK: ok, AgreeingMembers: agree, TotalMembers: len(readings) + 1, Offset: (r.Min + r.Max) / 2, Uncertainty: (r.Max - r.Min) / 2}
	c.LocalClockOff = ok && max(c.Offset, -c.Offset) > c.Uncertainty+maxClockOffset
	return c
}

// regionStatuses are the regions as of a time of the fleet's clock.
func (c *windowCache) regionStatuses(calendars map[string]*maintenance.Calendar, clock FleetClock, at time.Time) (rows []RegionStatus) {
	if !clock.OK {
		return nil
	}
	at = at.Add(clock.Offset)
	if same := maps.Equal(c.calendars, calendars); !same || at.After(c.validUntil) || at.Before(c.validUntil.Add(-time.Hour)) {
		c.calendars, c.windows, c.validUntil = calendars, map[string]maintenance.Window{}, at.Add(time.Hour)
		for name, calendar := range calendars {
			if w, ok := maintenance.NextWindow(at, windowLookahead, calendar); ok {
				c.windows[name] = w
				if w.To.Before(c.validUntil) {
					c.validUntil = w.To
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(calendars)) {
		row := RegionStatus{Name: name, Remaining: maintenance.Remaining(at, clock.Uncertainty, calendars[name])}
		if w, ok := c.windows[name]; ok {
			row.WindowStart, row.WindowEnd = w.From.In(calendars[name].Zone), w.To.In(calendars[name].Zone)
		}
		rows = append(rows, row)
	}
	return rows
}
