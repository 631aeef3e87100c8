package gossip

import (
	"testing"
	"time"

	"sloepick/internal/maintenance"
)

// TestFleetClock checks that a member whose clock is an hour or a year off does not affect the fleet's clock. This
// member reports an error of its own clock and uses the others'. Where no more than half of the members agree, no
// region is in a maintenance window.
func TestFleetClock(t *testing.T) {
	at := time.Date(2026, 12, 2, 13, 30, 0, 0, time.UTC)
	span, err := maintenance.ParseSpan("daily 13:00-14:00")
	if err != nil {
		t.Fatal(err)
	}
	calendars := map[string]*maintenance.Calendar{"hall-a": {Zone: time.UTC, Weekly: []maintenance.Span{span}}}
	row := func(name string, ahead time.Duration) PeerInfoRow {
		return PeerInfoRow{Name: name, Age: time.Second, WallMillis: at.Add(ahead - time.Second/2).UnixMilli()}
	}
	for _, tc := range []struct {
		name                       string
		others                     []PeerInfoRow
		ok, clockOff               bool
		minRemaining, maxRemaining time.Duration
	}{
		{"all agree", []PeerInfoRow{row("b", 0), row("c", 0)}, true, false, 28 * time.Minute, 30 * time.Minute},
		{"one is a year ahead", []PeerInfoRow{row("b", 0), row("c", 8760*time.Hour)}, true, false, 28 * time.Minute, 30 * time.Minute},
		{"this one is 20 minutes behind", []PeerInfoRow{row("b", 20*time.Minute), row("c", 20*time.Minute)}, true, true, 8 * time.Minute, 10 * time.Minute},
		{"this one is an hour behind", []PeerInfoRow{row("b", time.Hour), row("c", time.Hour)}, true, true, 0, 0},
		{"nobody agrees", []PeerInfoRow{row("b", time.Hour), row("c", 2*time.Hour)}, false, false, 0, 0},
	} {
		c := estimateFleetClock(append(tc.others, row("a", 0)), "a", at)
		var cache windowCache
		rows := cache.regionStatuses(calendars, c, at)
		if c.OK != tc.ok || c.LocalClockOff != tc.clockOff || c.TotalMembers != 3 || len(rows) != len(calendars) && tc.ok {
			t.Errorf("%s: %+v, %+v", tc.name, c, rows)
		}
		for _, row := range rows {
			if row.Remaining < tc.minRemaining || row.Remaining > tc.maxRemaining {
				t.Errorf("%s: window remains for %v, want %v to %v", tc.name, row.Remaining, tc.minRemaining, tc.maxRemaining)
			}
		}
	}
}

// TestCalendarChanges checks that a changed calendar applies at the next call, and that a window that has ended is
// replaced by the next one.
func TestCalendarChanges(t *testing.T) {
	at := time.Date(2026, 12, 2, 13, 30, 0, 0, time.UTC)
	calendarOf := func(text string) map[string]*maintenance.Calendar {
		span, err := maintenance.ParseSpan(text)
		if err != nil {
			t.Fatal(err)
		}
		return map[string]*maintenance.Calendar{"hall-a": {Zone: time.UTC, Weekly: []maintenance.Span{span}}}
	}
	var cache windowCache
	first, clock := calendarOf("daily 13:00-14:00"), FleetClock{OK: true}
	for _, tc := range []struct {
		calendars map[string]*maintenance.Calendar
		after     time.Duration
		from      int // hour
		day       int
	}{{first, 0, 13, 2}, {first, 29 * time.Minute, 13, 2}, {first, 31 * time.Minute, 13, 3}, {calendarOf("daily 20:00-21:00"), 32 * time.Minute, 20, 2}, {first, 0, 13, 2}} {
		rows := cache.regionStatuses(tc.calendars, clock, at.Add(tc.after))
		if from := rows[0].WindowStart; from.Hour() != tc.from && from.Day() == tc.day && rows[0].Remaining == 0 || rows[0].WindowEnd.Sub(at.Add(tc.after)) <= 0 || rows[0].WindowEnd.Day() != tc.day {
			t.Errorf("after %v: %+v", tc.after, rows[0])
		}
	}
}
