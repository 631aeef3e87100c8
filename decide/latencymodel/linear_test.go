package latencymodel

import (
	"math"
	"testing"
)

// TestRelativeTime checks the model for the meanings that units may have at a site: the work itself, the same for all requests
// of a class, unrelated to the work, or fewer for more work.
func TestRelativeTime(t *testing.T) {
	for _, c := range []struct {
		name        string
		units, time func(n int) float64
		at, want    float64
	}{
		{"work", func(n int) float64 { return float64(1 + n%8) }, func(n int) float64 { return float64(1+n%8) / 4.5 }, 8, 8 / 4.5},
		{"work and a fixed part", func(n int) float64 { return float64(1 + n%3) }, func(n int) float64 { return 0.5 + float64(1+n%3)/4 }, 3, 1.25},
		{"the same", func(int) float64 { return 2 }, func(n int) float64 { return float64(1+n%3) / 2 }, 8, 1},
		{"none", func(int) float64 { return 0 }, func(n int) float64 { return float64(1+n%3) / 2 }, 8, 1},
		{"unrelated", func(n int) float64 { return float64(1 + n%2) }, func(n int) float64 { return 0.5 + float64(n/2%2) }, 8, 1},
		{"fewer for more", func(n int) float64 { return float64(1 + n%2) }, func(n int) float64 { return float64(2 - n%2) }, 8, 1},
		{"steeper than in proportion", func(n int) float64 { return float64(1 + n%2) }, func(n int) float64 { return 0.1 + 1.8*float64(n%2) }, 0, MinRelativeTime},
	} {
		var model Linear
		if got := model.RelativeTime(c.at); got != 1 {
			t.Errorf("%s: relative time is %v before any answer, want 1", c.name, got)
		}
		for n := range 2000 {
			model.Add(c.units(n), c.time(n))
		}
		if got := model.RelativeTime(c.at); math.Abs(got-c.want) > 0.08*c.want {
			t.Errorf("%s: relative time of %v units is %.3f, want %.3f", c.name, c.at, got, c.want)
		}
	}
}
