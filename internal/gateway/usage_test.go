package gateway

import (
	"strings"
	"testing"
	"time"
)

// TestParseUsage: usage reported by a node settles buckets, so invalid usage must be ignored.
func TestParseUsage(t *testing.T) {
	cfg := SmallConfig(t, time.Second, nil) // at most 8 units per request
	cfg.Settings.Decide.SettledLater, cfg.Settings.Decide.MeterPeriod = true, time.Second
	for figures, want := range map[string]usage{
		"used=86,units=3":        {86, 3},
		"units=0.5":              {0, 0.5},
		"units=8":                {0, 8},
		"used=1":                 {1, 0},
		"later=x,units=3":        {0, 3},
		"":                       {},
		"units":                  {},
		"units=3,":               {},
		"units=":                 {},
		"units=0":                {},
		"units=-3":               {},
		"units=8.5":              {},
		"units=99999999999":      {},
		"units=1e0":              {},
		"units=NaN":              {},
		"units=inf":              {},
		"units=3,units=3":        {},
		"used=0":                 {},
		"used=-1":                {},
		"used=86.5":              {},
		"used=4294967296":        {},
		"used=1048577":           {},
		"used=86,used=86":        {},
		"units=3 ,used=86":       {},
		strings.Repeat(",", 100): {},
	} {
		if got := cfg.parseUsage([]byte(figures)); got != want {
			t.Errorf("%q: got %+v, want %+v", figures, got, want)
		}
	}
	cfg.Settings.Decide.SettledLater = false
	if got := cfg.parseUsage([]byte("used=86,units=3")); got != (usage{86, 0}) {
		t.Errorf("without settlement: got %+v", got)
	}
	cfg.Settings.Decide.MeterPeriod = 0
	if got := cfg.parseUsage([]byte("used=86,units=3")); got != (usage{}) {
		t.Errorf("without settlement and metering: got %+v", got)
	}
}

// FuzzParseUsage: whatever a node reports, a bucket is never charged more than the maximum of a request.
func FuzzParseUsage(f *testing.F) {
	f.Add([]byte("used=86,units=3"))
	f.Add([]byte("units=1.5,used=,x=y"))
	var cfg Config
	cfg.Settings.Decide.SettledLater, cfg.Settings.Decide.MeterPeriod, cfg.Settings.Decide.MaxUnits = true, time.Second, 8
	f.Fuzz(func(t *testing.T, b []byte) {
		if u := cfg.parseUsage(b); u.units < 0 || u.units > 8 || u.units != u.units || u.metered < 0 || u.metered > maxUsedPercent {
			t.Errorf("%q: %+v", b, u)
		}
	})
}
