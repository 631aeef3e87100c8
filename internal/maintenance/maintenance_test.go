package maintenance

import (
	"strings"
	"testing"
	"time"
	_ "time/tzdata" // the machine may have no zone database

	"sloepick/internal/testbed/seeds"
)

func loadZone(t *testing.T, name string) *time.Location {
	t.Helper()
	z, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

func newCalendar(t *testing.T, where string, spans ...string) *Calendar {
	t.Helper()
	h := &Calendar{Zone: loadZone(t, where), Excluded: map[Date]bool{}, Extra: map[Date][]Span{}}
	for _, text := range spans {
		s, err := ParseSpan(text)
		if err != nil {
			t.Fatal(err)
		}
		h.Weekly = append(h.Weekly, s)
	}
	return h
}

func parseTime(t *testing.T, h *Calendar, text string) time.Time {
	t.Helper()
	layout := "2006-01-02 15:04"
	if strings.HasSuffix(text, "Z") {
		layout = "2006-01-02T15:04Z07:00"
	}
	x, err := time.ParseInLocation(layout, text, h.Zone)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// TestNextWindow covers windows over midnight, on excluded and on extra days, and on days when clocks are set forward
// or back.
func TestNextWindow(t *testing.T) {
	seoul := newCalendar(t, "Asia/Seoul", "mon-fri 22:00-05:00", "sat sun 20:00-24:00")
	for _, day := range []string{"2026-09-24", "2026-02-16"} { // the days before Chuseok and Seollal
		d, err := ParseDate(day)
		if err != nil {
			t.Fatal(err)
		}
		seoul.Excluded[d] = true
	}
	d, s, err := ParseDatedSpan("2026-12-25 10:00-12:00")
	if err != nil {
		t.Fatal(err)
	}
	seoul.Extra[d] = []Span{s}
	berlin := newCalendar(t, "Europe/Berlin", "daily 01:30-02:30")
	york := newCalendar(t, "America/New_York", "daily 01:00-04:00")
	for _, tc := range []struct {
		name       string
		h          *Calendar
		from       string
		begins, to string // in UTC
	}{
		{"an evening window", seoul, "2026-12-02 12:00", "2026-12-02T13:00Z", "2026-12-02T20:00Z"},
		{"inside a window", seoul, "2026-12-03 01:00", "2026-12-02T16:00Z", "2026-12-02T20:00Z"},
		{"between Friday's window, which ends on Saturday, and Saturday's own", seoul, "2026-12-05 05:00", "2026-12-05T11:00Z", "2026-12-05T15:00Z"},
		{"the window before an excluded day ends at midnight", seoul, "2026-09-23 21:00", "2026-09-23T13:00Z", "2026-09-23T15:00Z"},
		{"no window on an excluded day, nor one that begins on it", seoul, "2026-09-24 00:00", "2026-09-25T13:00Z", "2026-09-25T20:00Z"},
		{"an extra date", seoul, "2026-12-25 08:00", "2026-12-25T01:00Z", "2026-12-25T03:00Z"},
		{"clock set forward: half of the window is left out", berlin, "2026-03-29 00:00", "2026-03-29T00:30Z", "2026-03-29T01:00Z"},
		{"clock set back during the window: it occurs twice", berlin, "2026-10-25 00:00", "2026-10-24T23:30Z", "2026-10-25T00:30Z"},
		{"its second occurrence", berlin, "2026-10-25T00:45Z", "2026-10-25T01:00Z", "2026-10-25T01:30Z"},
		{"clock set forward: an hour shorter", york, "2026-03-08 00:00", "2026-03-08T06:00Z", "2026-03-08T08:00Z"},
		{"clock set back: an hour longer", york, "2026-11-01 00:00", "2026-11-01T05:00Z", "2026-11-01T09:00Z"},
	} {
		from := parseTime(t, tc.h, tc.from)
		w, ok := NextWindow(from, 7*24*time.Hour, tc.h)
		if got := w.From.UTC().Format("2006-01-02T15:04Z"); !ok || got != tc.begins || w.To.UTC().Format("2006-01-02T15:04Z") != tc.to {
			t.Errorf("%s, from %v: %v to %v (%v), want %s to %s", tc.name, from, w.From.UTC(), w.To.UTC(), ok, tc.begins, tc.to)
		}
	}
}

// TestWindowsOverAYear goes through a year in five zones, minute by minute: windows do not overlap, they agree with
// Contains at every minute, and Remaining is never too long.
func TestWindowsOverAYear(t *testing.T) {
	seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) {
		rnd := seeds.Rand(seed)
		for _, where := range []string{"Asia/Seoul", "Asia/Muscat", "Europe/Berlin", "America/New_York", "Australia/Lord_Howe"} { // Lord Howe moves its clocks by half an hour
			h := newCalendar(t, where, "mon-thu 22:30-05:15", "fri 23:00-02:00", "sun 01:00-03:00", "sun 02:30-04:00")
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			end, windows, long := now.AddDate(1, 0, 0), 0, 0.0
			for now.Before(end) {
				w, ok := NextWindow(now, 10*24*time.Hour, h)
				if !ok {
					t.Fatalf("%s: no window after %v", where, now)
				}
				for x := now; x.Before(w.To.Add(time.Minute)); x = x.Add(time.Minute) {
					if in := !x.Before(w.From) && x.Before(w.To); h.Contains(x) != in {
						t.Fatalf("%s: Contains is wrong at %v: it returns %v; the window is %v to %v", where, x.In(h.Zone), !in, w.From.In(h.Zone), w.To.In(h.Zone))
					}
				}
				doubt := time.Duration(rnd.IntN(300)) * time.Second
				x := w.From.Add(time.Duration(rnd.Int64N(int64(w.To.Sub(w.From)))))
				if left := Remaining(x, doubt, h); left > max(0, w.To.Sub(x)-doubt) || left > 0 && x.Add(-doubt).Before(w.From) {
					t.Fatalf("%s: at %v, give or take %v, Remaining is %v; the window is %v to %v", where, x, doubt, left, w.From, w.To)
				}
				windows++
				long += w.To.Sub(w.From).Hours()
				now = w.To
			}
			t.Logf("%s: %d windows, %.1f hours", where, windows, long)
			if windows < 300 || windows > 320 {
				t.Errorf("%s: %d windows in a year, want 300 to 320 with six nights a week", where, windows)
			}
		}
	})
}

// TestWindowsOfSeveralRegions: two regions share a window only while both are in one, and have none if their hours
// never overlap.
func TestWindowsOfSeveralRegions(t *testing.T) {
	seoul, berlin := newCalendar(t, "Asia/Seoul", "daily 02:00-09:00"), newCalendar(t, "Europe/Berlin", "daily 00:00-06:00")
	from := parseTime(t, seoul, "2026-12-02 00:00")
	w, ok := NextWindow(from, 48*time.Hour, seoul, berlin)
	if !ok || w.From.UTC().Hour() != 23 || w.To.Sub(w.From) != time.Hour { // 8:00 in Seoul, midnight in Berlin
		t.Errorf("%v to %v, %v", w.From.UTC(), w.To.UTC(), ok)
	}
	if w, ok := NextWindow(from, 30*24*time.Hour, seoul, newCalendar(t, "Europe/Berlin", "daily 01:00-06:00")); ok {
		t.Errorf("unexpected shared window from %v to %v", w.From, w.To)
	}
}

// TestParse checks that errors for invalid spans, dates and times say what is wrong.
func TestParse(t *testing.T) {
	for text, want := range map[string]string{"": "invalid span", "22:00-05:00": "invalid span", "mon 22-05": "invalid time range", "mon 25:00-05:00": "invalid time range", "mon 24:00-05:00": "invalid time range",
		"mon 05:00-05:00": "invalid time range", "moon 22:00-05:00": "invalid days", "mon-someday 22:00-05:00": "invalid days", "mon 22:60-05:00": "invalid time range", "mon +1:00-05:00": "invalid time range"} {
		if _, err := ParseSpan(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	for _, text := range []string{"2026-13-01", "2026-02-30", "tomorrow"} {
		if _, err := ParseDate(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
	if s, err := ParseSpan("sat-mon 00:00-24:00"); err != nil || s.Days != [7]bool{0: true, 1: true, 6: true} || s.To != minutesPerDay {
		t.Errorf("%+v, %v", s, err)
	}
}

// TestFleetOffset: the fleet's clock is where most members agree. A clock that is an hour or a year off changes
// nothing, even if it is this member's own. If no more than half agree, there is no fleet clock.
func TestFleetOffset(t *testing.T) {
	ms := func(least, most int) OffsetRange {
		return OffsetRange{time.Duration(least) * time.Millisecond, time.Duration(most) * time.Millisecond}
	}
	for _, tc := range []struct {
		name   string
		others []OffsetRange
		want   OffsetRange
		n      int
		ok     bool
	}{
		{"alone", nil, OffsetRange{}, 1, true},
		{"all members agree", []OffsetRange{ms(-20, 30), ms(-5, 80)}, ms(-5, 30), 3, true},
		{"one clock a year off", []OffsetRange{ms(-20, 30), {365 * 24 * time.Hour, 366 * 24 * time.Hour}}, ms(-20, 30), 2, true},
		{"own clock an hour off", []OffsetRange{ms(3600000, 3600500), ms(3600200, 3600900), ms(3599000, 3600300)}, ms(3600200, 3600300), 3, true},
		{"two against two", []OffsetRange{ms(-5, 5), ms(9000, 9010), ms(9005, 9020)}, ms(-5, 5), 2, false},
		{"ranges that touch", []OffsetRange{ms(0, 10)}, ms(0, 10), 2, true},
		{"one other clock, far off", []OffsetRange{ms(500, 510)}, OffsetRange{}, 1, false},
	} {
		if r, n, ok := FleetOffset(tc.others); r != tc.want || n != tc.n || ok != tc.ok {
			t.Errorf("%s: %v, %d, %v; want %v, %d, %v", tc.name, r, n, ok, tc.want, tc.n, tc.ok)
		}
	}
	now := time.Unix(1000, 0)
	if r := EstimateOffset(now.Add(-2*time.Second), now, 3*time.Second); r != (OffsetRange{-2 * time.Second, time.Second}) {
		t.Errorf("a clock 2 s behind, read up to 3 s ago: %v", r)
	}
}
