package decide

import (
	"math"
	"testing"
	"time"

	"sloepick/decide/peermsg"
)

// newTrackingFleet is a fleet of four in which all tell all, that remembers.
func newTrackingFleet(t *testing.T, mode string) *testFleet {
	return newTestFleet(t, fleetSize, func(c *Config) {
		fleetConfigs[mode](c)
		c.TrackChanges = true
	})
}

// TestRestoreAfterFleetRestart: all gateways end at once while a customer floods, and start again with what each remembers, with nothing, or
// with what it remembered of long ago. What is let in in the seconds after it, beyond what leaked, is next to nothing with memory and
// some half a burst without; one that had nothing used has its whole burst.
func TestRestoreAfterFleetRestart(t *testing.T) {
	for mode := range fleetConfigs {
		after := map[string]float64{}
		for _, what := range []string{"kept", "lost", "long ago"} {
			j := newTrackingFleet(t, mode)
			j.runOverload(6*time.Second, allGateways...)
			var kept [fleetSize][]BucketSnapshot
			for i, g := range j.gateways {
				kept[i] = g.AppendChanged(nil, 100)
				knows := 0 // as a home, or as all tell all
				if key := peermsg.Key("x"); mode == "mesh" || g.quota.Coordinator(key, 0) == i || g.quota.Coordinator(key, 1) == i {
					knows = 1
				}
				if len(kept[i]) != knows || len(g.AppendChanged(nil, 100)) != 0 {
					t.Fatalf("%s: gateway %d tells %d changes, want %d, once", mode, i, len(kept[i]), knows)
				}
			}
			for i := range j.gateways {
				j.start(i)
				switch m := kept[i]; what {
				case "kept":
					j.handle(i, StateRestored{Buckets: m})
				case "long ago":
					j.handle(i, StateRestored{LeakedSeconds: 3600})
				}
			}
			after[what] = j.runOverload(3*time.Second, allGateways...)*3 - 3*20
		}
		t.Logf("%s: units beyond what leaked: %v", mode, after)
		if after["kept"] > 0.4*20 || after["lost"] < 5 || after["long ago"] < 15 {
			t.Errorf("%s: units beyond what leaked: %v", mode, after)
		}
	}
}

// TestRestoreOnlyRaisesLevels: what is recalled later, or is of a plan that is no more or no number, never makes a bucket emptier.
func TestRestoreOnlyRaisesLevels(t *testing.T) {
	j := newTrackingFleet(t, "mesh")
	g := j.gateways[0]
	for i, tc := range []struct {
		m    BucketSnapshot
		want float64 // units of 20
	}{{BucketSnapshot{Key: 7, GatewayCount: 4, Fill: 0.5}, 10}, {BucketSnapshot{Key: 7, GatewayCount: 4, Fill: 0.2}, 10},
		{BucketSnapshot{Key: 7, Fill: 0.9}, 18},
		{BucketSnapshot{Key: 7, Plan: 3, Fill: 1}, 18}, {BucketSnapshot{Key: 7, Fill: math.NaN()}, 18},
		{BucketSnapshot{Key: 7, Fill: -1}, 18}, {BucketSnapshot{Key: 7, Fill: 1e9}, 80}} {
		j.handle(0, StateRestored{Buckets: []BucketSnapshot{tc.m}})
		if c := g.quota.Find(7); c.FleetLevel != tc.want || c.Level != tc.want/4 {
			t.Errorf("recall %d: %v units of all, %v of its own part, want %v", i, c.FleetLevel, c.Level, tc.want)
		}
	}
}
