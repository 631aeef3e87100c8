package recovery

import (
	"testing"
	"time"

	"sloepick/internal/testbed/seeds"
)

func service(work float64) *AdmissionController {
	s := NewAdmissionController(AdmissionConfig{ColdCapacity: 0.2, ColdDuration: 10 * time.Second, ColdLoadFactor: 1.2, MaxRetryAfter: time.Second, MaxUnits: 2, MaxPrice: 2, Seed: 1})
	s.MarkDiskChecked()
	s.Join(time.Hour, work, false)
	s.Tick(time.Hour)
	return s
}

// flow asks for far more than is let in, for a while, and returns the units a second that were.
func flow(s *AdmissionController, now *time.Duration, d time.Duration, a Request) float64 {
	taken := 0.0
	for end := *now + d; *now < end; *now += time.Millisecond {
		if ok, _ := s.Admit(*now, a); ok {
			taken += a.Units
		}
	}
	return taken / d.Seconds()
}

// TestPaceOfReturn: the rate that is let in follows the nodes' cold curve over what was answered before, parted among those that are back;
// while discovery is silent all nodes count as started at the return.
func TestPaceOfReturn(t *testing.T) {
	at := time.Hour
	book := Request{Write: true, Units: 2, Price: 2}
	for name, tc := range map[string]struct {
		prepare func(s *AdmissionController)
		want    float64 // units a second in the second second
	}{
		"nobody told":                  {func(*AdmissionController) {}, 0.32 * 400},
		"four back":                    {func(s *AdmissionController) { s.SetMemberCount(4) }, 0.32 * 100},
		"nodes are warm":               {func(s *AdmissionController) { s.SetServerStarts(true, []time.Duration{0, 0}) }, 400},
		"one of two is cold":           {func(s *AdmissionController) { s.SetServerStarts(true, []time.Duration{0, at}) }, 1.2 * 0.66 * 400},
		"the list is from before":      {func(s *AdmissionController) { s.SetServerStarts(false, []time.Duration{0, 0}) }, 0.32 * 400},
		"cold for longer than we know": {func(s *AdmissionController) { s.SetServerStarts(true, []time.Duration{at - 5*time.Second}) }, 1.2 * 0.72 * 400},
	} {
		s, now := service(400), at
		tc.prepare(s)
		flow(s, &now, time.Second, book)
		if got := flow(s, &now, time.Second, book); got < 0.9*tc.want || got > 1.1*tc.want {
			t.Errorf("%s: %.0f units a second let in, want about %.0f", name, got, tc.want)
		}
	}
}

// TestUnknownWorkGrowsByAnswers: where nobody knows what was answered before, what is let in doubles with what is answered.
func TestUnknownWorkGrowsByAnswers(t *testing.T) {
	s, now := service(0), time.Hour
	last := flow(s, &now, 2*time.Second, Request{Units: 1})
	if last > 2*floorRate {
		t.Errorf("%.0f units a second with nothing known", last)
	}
	for range 4 {
		for range 100 {
			now += 10 * time.Millisecond
			s.RecordServed(now, last/100)
		}
		got := s.Rate(now)
		if got < 1.2*last || got > 2.2*last {
			t.Errorf("%.0f units a second after %.0f were answered", got, last)
		}
		last = got
	}
}

// TestOrderOfService: repeats of keyed requests go before new ones, these before others, dear plans before cheap ones; nothing is let in
// before the trickle, all after it, and refusals tell to return at times that are spread.
func TestOrderOfService(t *testing.T) {
	kinds := []Request{{Write: true, ClientRetry: true, Units: 1, Price: 0.5}, {Write: true, Units: 1, Price: 2}, {Write: true, Units: 1, Price: 0.5}, {Units: 1, Price: 2}, {Units: 1, Price: 0.5}}
	s, now := service(50), time.Hour
	var taken [5]int
	for range 4000 { // each kind asks for five times of what is let in
		now += time.Millisecond
		for i := len(kinds) - 1; i >= 0; i-- { // the last first, so that the order is not that of asking
			if ok, _ := s.Admit(now, kinds[i]); ok {
				taken[i]++
			}
		}
	}
	if taken[0] < 30 || taken[0] < 4*(taken[1]+taken[2]+taken[3]+taken[4]-5) {
		t.Errorf("let in by kind: %v", taken)
	}
	s, now = service(50), time.Hour
	advised := map[time.Duration]int{}
	for i := range kinds[1:] {
		s, now = service(50), time.Hour
		pair := [2]int{}
		for range 4000 {
			now += time.Millisecond
			for k := 1; k >= 0; k-- {
				ok, after := s.Admit(now, kinds[i+k])
				if ok {
					pair[k]++
				} else {
					advised[after.Truncate(100*time.Millisecond)]++
				}
			}
		}
		if pair[0] < 2*pair[1] {
			t.Errorf("kind %d was let in %d times, kind %d after it %d times", i, pair[0], i+1, pair[1])
		}
	}
	if len(advised) < 8 {
		t.Errorf("refusals tell to return at %v", advised)
	}
	if now += 10 * time.Second; s.Tick(now) == "" || s.Phase() != PhaseFull {
		t.Errorf("phase %v after the nodes are warm", s.Phase())
	}
	if ok, _ := s.Admit(now, Request{Units: 1e9}); !ok {
		t.Error("in full service a request is held back")
	}
	early := NewAdmissionController(AdmissionConfig{MaxRetryAfter: time.Second})
	if ok, after := early.Admit(0, kinds[0]); ok || after <= 0 || after > time.Second {
		t.Errorf("in the dark: %v, return after %v", ok, after)
	}
	lit := NewAdmissionController(AdmissionConfig{ColdDuration: time.Minute})
	if lit.Join(0, 100, true); lit.Phase() != PhaseFull {
		t.Error("one that comes back to a fleet in full service holds requests back")
	}
}

// TestServiceNeverOvershoots: whatever happens in whatever order, phases only rise, and in the trickle no more is let in over any time
// than the highest rate in it and one bucket.
func TestServiceNeverOvershoots(t *testing.T) { seeds.Run(t, []uint64{1, 2, 3, 4, 5}, overshoots) }

func overshoots(t *testing.T, seed uint64) {
	const most = 300.0 // units a second before
	rnd := seeds.Rand(seed)
	for range 50 {
		s := NewAdmissionController(AdmissionConfig{ColdCapacity: rnd.Float64(), ColdDuration: time.Duration(rnd.IntN(20)) * time.Second, MaxUnits: 4, Seed: seed})
		now, phase, taken, since := time.Duration(0), PhaseStarting, 0.0, time.Duration(0)
		for range 3000 {
			step := time.Duration(rnd.IntN(20)) * time.Millisecond
			now += step
			switch rnd.IntN(40) {
			case 0:
				s.MarkDiskChecked()
			case 1:
				s.Join(now, most*rnd.Float64(), rnd.IntN(10) == 0)
			case 2:
				s.Tick(now)
			case 3:
				s.SetMemberCount(rnd.IntN(9))
			case 4:
				s.SetServerStarts(rnd.IntN(2) == 0, []time.Duration{0, now})
			}
			if s.Phase() < phase {
				t.Fatalf("phase %v after %v", s.Phase(), phase)
			}
			phase = s.Phase()
			if phase < PhaseRampUp {
				since = now
			}
			units := 1 + 3*rnd.Float64()
			if ok, _ := s.Admit(now, Request{Units: units, Write: true, ClientRetry: true}); ok && phase < PhaseFull {
				taken += units
				if may := most*bucketFor.Seconds() + most*(now-since).Seconds(); phase < PhaseRampUp || taken > may {
					t.Fatalf("in phase %v, %.0f units let in where %.0f may be", phase, taken, may)
				}
			}
		}
	}
}
