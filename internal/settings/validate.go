package settings

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// field is the path of a setting in the settings object and its value.
type field struct {
	name  string
	value float64
}

// validate reports the first setting that no host of the decision module can use, by its path in the settings object.
func (s *settingsObject) validate() error {
	for _, f := range s.nonNegativeFields() {
		if f.value < 0 || math.IsInf(f.value, 0) || math.IsNaN(f.value) {
			return fmt.Errorf("%s is %v, want 0 or more", f.name, f.value)
		}
	}
	return s.validateNames()
}

// nonNegativeFields returns all settings that must be finite and not negative.
func (s *settingsObject) nonNegativeFields() []field {
	all := []field{
		{"Extra.CounterPrice", s.Extra.CounterPrice}, {"Extra.PeerIntake", s.Extra.PeerIntake}, {"Extra.UnitsTop", s.Extra.UnitsTop},
		{"Extra.CountWaitNs", float64(s.Extra.CountWaitNs)}, {"Extra.MeterNs", float64(s.Extra.MeterNs)},
		{"Limits.SendCap", float64(s.Limits.SendCap)}, {"Limits.MaxRetryAfterNs", float64(s.Limits.MaxRetryAfterNs)},
		{"Limits.ConnectTimeoutNs", float64(s.Limits.ConnectTimeoutNs)}, {"Limits.ConnIdleNs", float64(s.Limits.ConnIdleNs)},
		{"Limits.OpenCap", float64(s.Limits.OpenCap)},
		{"Safety.AnswerSlackNs", float64(s.Safety.AnswerSlackNs)}, {"Safety.DrainGraceNs", float64(s.Safety.DrainGraceNs)},
		{"Safety.ColdNs", float64(s.Safety.ColdNs)}, {"Safety.FallNs", float64(s.Safety.FallNs)},
		{"Safety.AskWithinNs", float64(s.Safety.AskWithinNs)},
		{"Safety.ColdFrom", s.Safety.ColdFrom}, {"Safety.FallMultiple", s.Safety.FallMultiple},
		{"Prices.CrossZone", s.Prices.CrossZone}, {"Prices.Waste", s.Prices.Waste}, {"Prices.Probe", s.Prices.Probe},
		{"Prices.Peer", s.Prices.Peer}, {"Prices.LateFail", s.Prices.LateFail},
	}
	for i, k := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		all = append(all, field{at + "AimNs", float64(k.AimNs)}, field{at + "GiveUpNs", float64(k.GiveUpNs)}, field{at + "WindowNs", float64(k.WindowNs)},
			field{at + "AimStretch", k.AimStretch}, field{at + "Importance", k.Importance}, field{at + "LateWorth", k.LateWorth})
	}
	for i, p := range s.TiersOfService {
		at := fmt.Sprintf("TiersOfService[%d].", i)
		all = append(all, field{at + "Refill", p.Refill}, field{at + "MostAtOnce", p.MostAtOnce}, field{at + "NeverOverRate", p.NeverOverRate},
			field{at + "NeverOverDepth", p.NeverOverDepth}, field{at + "HardSlack", p.HardSlack}, field{at + "Parallel", float64(p.Parallel)},
			field{at + "Pays", p.Pays}, field{at + "BeyondEarns", p.BeyondEarns}, field{at + "ExcessCost", p.ExcessCost})
	}
	return all
}

// validateNames reports missing and duplicate names of classes and plans, by which requests refer to them.
func (s *settingsObject) validateNames() error {
	classes, plans := map[string]int{}, map[string]int{}
	for i, k := range s.Classes {
		if err := validateName("Classes", k.Name, i, classes); err != nil {
			return err
		}
	}
	for i, p := range s.TiersOfService {
		if err := validateName("TiersOfService", p.Name, i, plans); err != nil {
			return err
		}
	}
	return nil
}

func validateName(list, name string, i int, seen map[string]int) error {
	if name == "" {
		return fmt.Errorf("%s[%d].Name is empty", list, i)
	}
	if first, twice := seen[name]; twice {
		return fmt.Errorf("%s[%d].Name is %q, the same as that of %s[%d]", list, i, name, list, first)
	}
	seen[name] = i
	return nil
}

// ValidateServing reports the first setting that a gateway with real connections can't use. The simulator makes the
// connections itself and may omit these settings.
func (s *Settings) ValidateServing() error {
	d := &s.Decide
	if len(d.Classes) == 0 {
		return errors.New("no classes: Classes is empty, want one or more")
	}
	if len(d.Plans) == 0 {
		return errors.New("no plans: TiersOfService is empty, want one or more")
	}
	for i, k := range d.Classes {
		if k.LatencyTarget <= 0 {
			return fmt.Errorf("Classes[%d].AimNs is %d, want more than 0", i, k.LatencyTarget)
		}
	}
	if d.Limits.MaxAttempts < 1 {
		return fmt.Errorf("Limits.SendCap is %d, want 1 or more", d.Limits.MaxAttempts)
	}
	if d.Limits.ConnectTimeout < time.Millisecond {
		return fmt.Errorf("Limits.ConnectTimeoutNs is %d, want a millisecond or more", d.Limits.ConnectTimeout)
	}
	return nil
}
