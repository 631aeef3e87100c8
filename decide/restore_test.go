package decide

import (
	"math"
	"testing"
	"time"

	"sloepick/decide/peermsg"
)

// newTrackingFleet returns a fleet of four that tracks changed buckets.
func newTrackingFleet(t *testing.T, mode string) *testFleet {
	return newTestFleet(t, fleetSize, func(c *Config) {
		fleetConfigs[mode](c)
		c.TrackChanges = true
	})
}

// TestRestoreAfterFleetRestart: all gateways stop at once while a customer is over its quota, and restart with what
// each had kept, with nothing, or with what it kept long ago. In the next seconds they admit next to nothing beyond
// the leak with kept state, about half a burst without, and with state from long ago, which has leaked, a whole
// burst.
func TestRestoreAfterFleetRestart(t *testing.T) {
	for mode := range fleetConfigs {
		after := map[string]float64{}
		for _, what := range []string{"kept", "lost", "long ago"} {
			j := newTrackingFleet(t, mode)
			j.runOverload(6*time.Second, allGateways...)
			var kept [fleetSize][]BucketSnapshot
			for i, g := range j.gateways {
				kept[i] = g.AppendChanged(nil, 100)
				want := 0 // as a coordinator, or because all gateways exchange totals
				if key := peermsg.Key("x"); mode == "mesh" || g.quota.Coordinator(key, 0) == i || g.quota.Coordinator(key, 1) == i {
					want = 1
				}
				if len(kept[i]) != want || len(g.AppendChanged(nil, 100)) != 0 {
					t.Fatalf("%s: gateway %d returns %d changed buckets, want %d, once", mode, i, len(kept[i]), want)
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
		t.Logf("%s: units admitted beyond the leak: %v", mode, after)
		if after["kept"] > 0.4*20 || after["lost"] < 5 || after["long ago"] < 15 {
			t.Errorf("%s: units admitted beyond the leak: %v", mode, after)
		}
	}
}

// TestRestoreOnlyRaisesLevels: restoring later, or with an unknown plan or an invalid fill, never empties a bucket.
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
			t.Errorf("restore %d: %v units of all gateways, %v of its own share, want %v", i, c.FleetLevel, c.Level, tc.want)
		}
	}
}
