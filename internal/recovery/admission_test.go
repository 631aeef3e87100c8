package recovery

import (
	"testing"
	"time"

	"sloepick/internal/testbed/seeds"
)

// newRampingController returns a controller that enters PhaseRampUp at time.Hour.
func newRampingController(servedRate float64) *AdmissionController {
	c := NewAdmissionController(AdmissionConfig{ColdCapacity: 0.2, ColdDuration: 10 * time.Second, ColdLoadFactor: 1.2, MaxRetryAfter: time.Second, MaxUnits: 2, MaxPrice: 2, Seed: 1})
	c.MarkDiskChecked()
	c.Join(time.Hour, servedRate, false)
	c.Tick(time.Hour)
	return c
}

// saturate sends a request each millisecond for the given duration, far more than is admitted, and returns the admitted units a second.
func saturate(c *AdmissionController, now *time.Duration, duration time.Duration, req Request) float64 {
	admitted := 0.0
	for end := *now + duration; *now < end; *now += time.Millisecond {
		if ok, _ := c.Admit(*now, req); ok {
			admitted += req.Units
		}
	}
	return admitted / duration.Seconds()
}

// TestAdmissionFollowsServerCapacity checks that the admitted rate is the rate before, times the capacity of the warming servers, divided by
// the members that are back. Until discovery answers, all servers count as started when the member joined.
func TestAdmissionFollowsServerCapacity(t *testing.T) {
	at := time.Hour
	write := Request{Write: true, Units: 2, Price: 2}
	for name, tc := range map[string]struct {
		prepare func(c *AdmissionController)
		want    float64 // units a second in the second second
	}{
		"discovery silent":              {func(*AdmissionController) {}, 0.32 * 400},
		"four members back":             {func(c *AdmissionController) { c.SetMemberCount(4) }, 0.32 * 100},
		"servers are warm":              {func(c *AdmissionController) { c.SetServerStarts(true, []time.Duration{0, 0}) }, 400},
		"one of two is cold":            {func(c *AdmissionController) { c.SetServerStarts(true, []time.Duration{0, at}) }, 1.2 * 0.66 * 400},
		"list from before the start":    {func(c *AdmissionController) { c.SetServerStarts(false, []time.Duration{0, 0}) }, 0.32 * 400},
		"started 5 s before the member": {func(c *AdmissionController) { c.SetServerStarts(true, []time.Duration{at - 5*time.Second}) }, 1.2 * 0.72 * 400},
	} {
		c, now := newRampingController(400), at
		tc.prepare(c)
		saturate(c, &now, time.Second, write)
		if got := saturate(c, &now, time.Second, write); got < 0.9*tc.want || got > 1.1*tc.want {
			t.Errorf("%s: %.0f units a second admitted, want about %.0f", name, got, tc.want)
		}
	}
}

// TestUnknownRateGrowsWithServed checks that without a known rate from before, up to twice the rate served lately is admitted.
func TestUnknownRateGrowsWithServed(t *testing.T) {
	c, now := newRampingController(0), time.Hour
	last := saturate(c, &now, 2*time.Second, Request{Units: 1})
	if last > 2*minRate {
		t.Errorf("%.0f units a second admitted while the rate before is unknown", last)
	}
	for range 4 {
		for range 100 {
			now += 10 * time.Millisecond
			c.RecordServed(now, last/100)
		}
		got := c.Rate(now)
		if got < 1.2*last || got > 2.2*last {
			t.Errorf("%.0f units a second admitted after %.0f were served", got, last)
		}
		last = got
	}
}

// TestAdmissionPriority checks the order of priority: retries of writes, new writes, reads, and within each the more expensive plan. It
// also checks that nothing is admitted before the ramp-up and everything after it, and that Retry-After is spread.
func TestAdmissionPriority(t *testing.T) {
	kinds := []Request{{Write: true, ClientRetry: true, Units: 1, Price: 0.5}, {Write: true, Units: 1, Price: 2}, {Write: true, Units: 1, Price: 0.5}, {Units: 1, Price: 2}, {Units: 1, Price: 0.5}}
	c, now := newRampingController(50), time.Hour
	var admitted [5]int
	for range 4000 { // each kind asks for 1000 units a second, far more than the admitted rate
		now += time.Millisecond
		for i := len(kinds) - 1; i >= 0; i-- { // lowest priority first, so that the result isn't the order of arrival
			if ok, _ := c.Admit(now, kinds[i]); ok {
				admitted[i]++
			}
		}
	}
	if admitted[0] < 30 || admitted[0] < 4*(admitted[1]+admitted[2]+admitted[3]+admitted[4]-5) {
		t.Errorf("admitted by kind: %v", admitted)
	}
	c, now = newRampingController(50), time.Hour
	retryTimes := map[time.Duration]int{}
	for i := range kinds[1:] {
		c, now = newRampingController(50), time.Hour
		admittedPair := [2]int{}
		for range 4000 {
			now += time.Millisecond
			for k := 1; k >= 0; k-- {
				ok, retryAfter := c.Admit(now, kinds[i+k])
				if ok {
					admittedPair[k]++
				} else {
					retryTimes[retryAfter.Truncate(100*time.Millisecond)]++
				}
			}
		}
		if admittedPair[0] < 2*admittedPair[1] {
			t.Errorf("kind %d was admitted %d times, kind %d of lower priority %d times", i, admittedPair[0], i+1, admittedPair[1])
		}
	}
	if len(retryTimes) < 8 {
		t.Errorf("Retry-After takes only the values %v", retryTimes)
	}
	if now += 10 * time.Second; c.Tick(now) == "" || c.Phase() != PhaseFull {
		t.Errorf("phase %v after the servers are warm", c.Phase())
	}
	if ok, _ := c.Admit(now, Request{Units: 1e9}); !ok {
		t.Error("a request is refused in PhaseFull")
	}
	early := NewAdmissionController(AdmissionConfig{MaxRetryAfter: time.Second})
	if ok, retryAfter := early.Admit(0, kinds[0]); ok || retryAfter <= 0 || retryAfter > time.Second {
		t.Errorf("in PhaseStarting: admitted %v, retry after %v", ok, retryAfter)
	}
	joined := NewAdmissionController(AdmissionConfig{ColdDuration: time.Minute})
	if joined.Join(0, 100, true); joined.Phase() != PhaseFull {
		t.Error("not in PhaseFull after joining a fleet in service")
	}
}

// TestAdmissionNeverExceedsRate checks, for random sequences of calls, that phases only advance, and that the ramp-up never admits more than
// the highest rate and one bucket.
func TestAdmissionNeverExceedsRate(t *testing.T) {
	seeds.Run(t, []uint64{1, 2, 3, 4, 5}, checkAdmissionRate)
}

func checkAdmissionRate(t *testing.T, seed uint64) {
	const maxRate = 300.0 // highest rate before the start, in units a second
	rnd := seeds.Rand(seed)
	for range 50 {
		c := NewAdmissionController(AdmissionConfig{ColdCapacity: rnd.Float64(), ColdDuration: time.Duration(rnd.IntN(20)) * time.Second, MaxUnits: 4, Seed: seed})
		now, phase, admitted, rampStart := time.Duration(0), PhaseStarting, 0.0, time.Duration(0)
		for range 3000 {
			step := time.Duration(rnd.IntN(20)) * time.Millisecond
			now += step
			switch rnd.IntN(40) {
			case 0:
				c.MarkDiskChecked()
			case 1:
				c.Join(now, maxRate*rnd.Float64(), rnd.IntN(10) == 0)
			case 2:
				c.Tick(now)
			case 3:
				c.SetMemberCount(rnd.IntN(9))
			case 4:
				c.SetServerStarts(rnd.IntN(2) == 0, []time.Duration{0, now})
			}
			if c.Phase() < phase {
				t.Fatalf("phase %v after %v", c.Phase(), phase)
			}
			phase = c.Phase()
			if phase < PhaseRampUp {
				rampStart = now
			}
			units := 1 + 3*rnd.Float64()
			if ok, _ := c.Admit(now, Request{Units: units, Write: true, ClientRetry: true}); ok && phase < PhaseFull {
				admitted += units
				if limit := maxRate*bucketDuration.Seconds() + maxRate*(now-rampStart).Seconds(); phase < PhaseRampUp || admitted > limit {
					t.Fatalf("in phase %v, %.0f units admitted, at most %.0f allowed", phase, admitted, limit)
				}
			}
		}
	}
}
