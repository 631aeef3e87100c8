// Package settings parses the settings object that a gateway receives when it starts. The simulator's first message and
// the configuration of a real gateway use the same format.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sloepick/decide"
)

// settingsObject is the JSON form of Settings. The field names are the JSON keys; other keys are ignored.
type settingsObject struct {
	Classes []struct {
		Name, Effect, Group               string
		AimNs, GiveUpNs, WindowNs         int64
		AimStretch, Importance, LateWorth float64
		Stream                            bool
	}
	TiersOfService []struct {
		Name                                     string
		Refill, MostAtOnce                       float64
		NeverOverRate, NeverOverDepth, HardSlack float64
		Parallel                                 int
		Pays, BeyondEarns, ExcessCost            float64
	}
	Extra struct {
		HasCounter, CostAfter              bool
		CounterPrice, PeerIntake, UnitsTop float64
		CountWaitNs, MeterNs               int64
	}
	Limits struct {
		SendCap                                             int
		ParallelTries, MayCancel, Peers, Probes, RetryAfter bool
		MaxRetryAfterNs, ConnectTimeoutNs, ConnIdleNs       int64
		OpenCap                                             int
	}
	Safety struct {
		AnswerSlackNs, DrainGraceNs, ColdNs, FallNs, AskWithinNs int64
		ColdFrom, FallMultiple                                   float64
	}
	Prices struct {
		CrossZone, Waste, Probe, Peer, LateFail float64
	}
	Telemetry            struct{ How string }
	Rank, Instances      int
	MembershipMode, Zone string
}

// Settings is the configuration of a host of the decision module.
type Settings struct {
	Decide            decide.Config
	ServerIdleTimeout time.Duration // a server closes a connection that was idle for this long
	MaxOpen           int           // requests open at the same time; 0: no limit
}

// DescribeDecodeError returns an error that names the field of a JSON type mismatch. Other errors are returned as they are.
func DescribeDecodeError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("field %q: wrong type %s", t.Field, t.Value)
	}
	return err
}

// Parse parses a settings object and checks each value by itself. Settings.ValidateServing and decide.New check whether
// a gateway can use the result.
func Parse(raw json.RawMessage) (Settings, error) {
	var s settingsObject
	if err := json.Unmarshal(raw, &s); err != nil {
		return Settings{}, DescribeDecodeError(err)
	}
	if err := s.validate(); err != nil {
		return Settings{}, err
	}
	c, err := s.decideConfig()
	return Settings{Decide: c, ServerIdleTimeout: time.Duration(s.Limits.ConnIdleNs), MaxOpen: s.Limits.OpenCap}, err
}

func (s *settingsObject) decideConfig() (decide.Config, error) {
	c := decide.Config{Rank: s.Rank, Gateways: s.Instances, Zone: s.Zone, SettledLater: s.Extra.CostAfter,
		MaxUnits: s.Extra.UnitsTop, MeterPeriod: time.Duration(s.Extra.MeterNs), PeerIntake: s.Extra.PeerIntake,
		Counter: s.Extra.HasCounter, CounterTimeout: time.Duration(s.Extra.CountWaitNs),
		ReportsOnProbe: s.Telemetry.How == "probe", Subscribe: s.MembershipMode == "subscribe"}
	c.Limits = decide.Limits{MaxAttempts: s.Limits.SendCap, ParallelAttempts: s.Limits.ParallelTries,
		Cancel: s.Limits.MayCancel, PeerMessages: s.Limits.Peers, Probes: s.Limits.Probes,
		RetryAfter: s.Limits.RetryAfter, MaxRetryAfter: time.Duration(s.Limits.MaxRetryAfterNs),
		ConnectTimeout: time.Duration(s.Limits.ConnectTimeoutNs)}
	c.Safety = decide.Safety{AnswerSlack: time.Duration(s.Safety.AnswerSlackNs),
		DrainGrace: time.Duration(s.Safety.DrainGraceNs), ColdCapacity: s.Safety.ColdFrom,
		ColdDuration: time.Duration(s.Safety.ColdNs), OverloadFactor: s.Safety.FallMultiple,
		OverloadWindow: time.Duration(s.Safety.FallNs), ListMaxAge: time.Duration(s.Safety.AskWithinNs)}
	c.Prices = decide.Prices{CrossZone: s.Prices.CrossZone, Waste: s.Prices.Waste, Probe: s.Prices.Probe,
		Peer: s.Prices.Peer, LateFail: s.Prices.LateFail, Counter: s.Extra.CounterPrice}
	effects := map[string]decide.Effect{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}
	groups := map[string]decide.Group{"all": decide.GroupAll, "zone": decide.GroupZone,
		"cell": decide.GroupCell, "": decide.GroupCell}
	for i, k := range s.Classes {
		effect, ok := effects[k.Effect]
		if !ok {
			return c, fmt.Errorf("Classes[%d].Effect: unknown %q", i, k.Effect)
		}
		group, ok := groups[k.Group]
		if !ok {
			return c, fmt.Errorf("Classes[%d].Group: unknown %q", i, k.Group)
		}
		c.Classes = append(c.Classes, decide.Class{Name: k.Name, Effect: effect, Group: group,
			DedupWindow: time.Duration(k.WindowNs), LatencyTarget: time.Duration(k.AimNs), LatencyTargetStretch: k.AimStretch,
			Deadline: time.Duration(k.GiveUpNs), Worth: k.Importance, LateWorthFraction: k.LateWorth, Stream: k.Stream})
	}
	for _, p := range s.TiersOfService {
		c.Plans = append(c.Plans, decide.Plan{Name: p.Name, Rate: p.Refill, Burst: p.MostAtOnce,
			CeilingRate: p.NeverOverRate, CeilingBurst: p.NeverOverDepth, CeilingSlack: p.HardSlack,
			MaxOpen: p.Parallel, Price: p.Pays, OverWorth: p.BeyondEarns, OverCost: p.ExcessCost})
	}
	return c, nil
}
