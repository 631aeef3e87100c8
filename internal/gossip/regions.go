package gossip

import (
	"maps"
	"slices"
	"time"

	"sloepick/internal/maintenance"
)

const (
	windowLookahead = 8 * 24 * time.Hour // windows are searched for a week, and for the day that a calendar may exclude
	maxClockOffset  = time.Second        // beyond the uncertainty; a larger one is reported
	wallResolution  = time.Millisecond   // of the wall clocks in records
)

// FleetClock is the estimate of the fleet's clock from the wall clocks that members published.
type FleetClock struct {
	OK              bool          // more than half of the members agree; without that the fleet has no clock
	AgreeingMembers int           `json:"Agree"`
	TotalMembers    int           `json:"Of"`    // including this one
	Offset          time.Duration `json:"Ahead"` // of the fleet's clock from this member's, the middle of the possible range
	Uncertainty     time.Duration `json:"Doubt"` // the offset may be higher or lower by so much
	LocalClockOff   bool          `json:"Off"`   // this member's clock is off by more than maxClockOffset and the uncertainty
}

// RegionStatus is the maintenance window of a region with a calendar, by the fleet's clock.
type RegionStatus struct {
	Name        string
	Remaining   time.Duration `json:"Left"` // the current window lasts at least so long; 0: there may be none now
	WindowStart time.Time     `json:"From"` // of the current window or else the next one; zero: there is none for a week
	WindowEnd   time.Time     `json:"To"`
}

// windowCache keeps the windows that were found, as a search for one that is days away takes some ms.
type windowCache struct {
	calendars  map[string]*maintenance.Calendar
	windows    map[string]maintenance.Window
	validUntil time.Time // a window ends, or an hour has passed
}

// SetRegions replaces the regions' calendars.
func (e *Engine) SetRegions(calendars map[string]*maintenance.Calendar) { e.regions.Store(&calendars) }

// estimateFleetClock estimates the fleet's clock at a time of this member's wall clock.
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

// regionStatuses returns the status of all regions, by name, at a time of this member's wall clock.
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
