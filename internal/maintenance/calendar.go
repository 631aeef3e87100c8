// Package maintenance decides when a region is in a maintenance window, by its calendar and its local time, and
// determines the clock that a fleet agrees on. It must be asked before state is moved between regions. It does no
// I/O: the time is passed in, and time zones are loaded by the caller.
//
// A region is in a window at an instant if its local time lies in one of its spans. So when clocks are set forward, a
// span may be shorter that night or be left out; when they are set back, it may be longer or occur twice. What counts
// is the local time that people in the region see.
package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const minutesPerDay = 24 * 60

// Date is a day in a region's calendar.
type Date struct {
	Year  int
	Month time.Month
	Day   int
}

// Span is a time range on some days of the week, in minutes since midnight. To may be 24:00; if it is not after From,
// it is on the next day.
type Span struct {
	Days     [7]bool // by time.Weekday: the days on which the span begins
	From, To int
}

// Calendar is a region's calendar. No minute of an excluded day is in a window, not even one of a span that began the
// evening before.
type Calendar struct {
	Zone     *time.Location
	Weekly   []Span
	Excluded map[Date]bool
	Extra    map[Date][]Span // spans that begin on single dates; their Days are ignored
}

func dateOf(t time.Time) Date {
	y, m, d := t.Date()
	return Date{y, m, d}
}

// addDays returns the date that many days later, or earlier if days is negative.
func (d Date) addDays(days int) Date {
	return dateOf(time.Date(d.Year, d.Month, d.Day+days, 12, 0, 0, 0, time.UTC))
}

func (d Date) weekday() time.Weekday {
	return time.Date(d.Year, d.Month, d.Day, 12, 0, 0, 0, time.UTC).Weekday()
}

// Contains reports whether the region is in a maintenance window at an instant.
func (c *Calendar) Contains(t time.Time) bool {
	local := t.In(c.Zone)
	today := dateOf(local)
	if c.Excluded[today] {
		return false
	}
	minute := local.Hour()*60 + local.Minute()
	yesterday := today.addDays(-1)
	return c.coversMinute(today, minute) || !c.Excluded[yesterday] && c.coversMinute(yesterday, minute+minutesPerDay)
}

// coversMinute reports whether a span that begins on a day covers a minute counted from that day's midnight.
func (c *Calendar) coversMinute(day Date, minute int) bool {
	covers := func(s Span) bool {
		to := s.To
		if to <= s.From {
			to += minutesPerDay
		}
		return s.From <= minute && minute < to
	}
	weekday := day.weekday()
	for _, s := range c.Weekly {
		if s.Days[weekday] && covers(s) {
			return true
		}
	}
	return slices.ContainsFunc(c.Extra[day], covers)
}

// Window is a time range in which one region, or several at once, are in maintenance.
type Window struct{ From, To time.Time }

// NextWindow returns the rest of the window that an instant lies in, or else the next window that begins within a
// duration of it; false if there is none. The end is cut off at the end of that duration.
func NextWindow(from time.Time, within time.Duration, calendars ...*Calendar) (Window, bool) {
	inWindow := func(t time.Time) bool {
		return !slices.ContainsFunc(calendars, func(c *Calendar) bool { return !c.Contains(t) })
	}
	// Spans begin and end, and zones change their offset, on whole minutes of UTC.
	at, last := from, from.Add(within)
	for !inWindow(at) {
		if at = at.Truncate(time.Minute).Add(time.Minute); at.After(last) {
			return Window{}, false
		}
	}
	w := Window{From: at}
	for at = at.Truncate(time.Minute).Add(time.Minute); at.Before(last) && inWindow(at); at = at.Add(time.Minute) {
	}
	w.To = at
	if at.After(last) {
		w.To = last
	}
	return w, true
}

// Remaining returns for how long all calendars stay in a window, at an instant known with an error of up to doubt; 0
// if they may not all be in one. It looks at most a day ahead.
func Remaining(t time.Time, doubt time.Duration, calendars ...*Calendar) time.Duration {
	early, ok := NextWindow(t.Add(-doubt), 24*time.Hour, calendars...)
	if !ok || early.From.After(t.Add(-doubt)) {
		return 0
	}
	return max(0, early.To.Sub(t.Add(doubt)))
}

// ParseSpan parses a span such as "mon-fri 22:00-05:00", "sat sun 20:00-08:00" or "daily 01:00-05:00".
func ParseSpan(text string) (s Span, err error) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return s, fmt.Errorf("invalid span %q, want days and times such as \"mon-fri 22:00-05:00\"", text)
	}
	for _, days := range fields[:len(fields)-1] {
		if days == "daily" {
			s.Days = [7]bool{true, true, true, true, true, true, true}
			continue
		}
		first, last, several := strings.Cut(days, "-")
		a, okA := weekdays[first]
		b, okB := weekdays[last]
		if !several {
			b, okB = a, okA
		}
		if !okA || !okB {
			return s, fmt.Errorf("%q: invalid days %q, want mon to sun, a range of them, or daily", text, days)
		}
		for d := a; ; d = (d + 1) % 7 {
			if s.Days[d] = true; d == b {
				break
			}
		}
	}
	s.From, s.To, err = parseTimes(fields[len(fields)-1])
	return s, err
}

// ParseDate parses a date such as "2026-09-24".
func ParseDate(text string) (Date, error) {
	t, err := time.Parse(time.DateOnly, text)
	if err != nil {
		return Date{}, fmt.Errorf("invalid date %q, want one such as \"2026-09-24\"", text)
	}
	return dateOf(t), nil
}

// ParseDatedSpan parses a date and a time range on it, such as "2026-12-25 00:00-24:00".
func ParseDatedSpan(text string) (d Date, s Span, err error) {
	day, clock, _ := strings.Cut(text, " ")
	if d, err = ParseDate(day); err == nil {
		s.From, s.To, err = parseTimes(clock)
	}
	return d, s, err
}

var weekdays = map[string]time.Weekday{"sun": 0, "mon": 1, "tue": 2, "wed": 3, "thu": 4, "fri": 5, "sat": 6}

// parseTimes parses a time range such as "22:00-05:00". 24:00 is the end of a day.
func parseTimes(text string) (from, to int, err error) {
	a, b, _ := strings.Cut(text, "-")
	from, okA := parseClock(a)
	to, okB := parseClock(b)
	if !okA || !okB || from == minutesPerDay || from == to {
		return 0, 0, fmt.Errorf("invalid time range %q, want one such as \"22:00-05:00\"", text)
	}
	return from, to, nil
}

func parseClock(text string) (minutes int, ok bool) {
	if text == "24:00" {
		return minutesPerDay, true
	}
	t, err := time.Parse("15:04", text)
	return t.Hour()*60 + t.Minute(), err == nil && len(text) == len("22:00")
}
