package settings

import (
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"sloepick/decide"
)

// site is the part of a site file that this test reads. For a range of values it uses the midpoint.
type site struct {
	Name  string
	Scale struct{ Balancers []int }
	Net   struct{ Zones []string }
	Allow struct {
		Probes, Peers, Cancel bool
		SecondCopies          bool `toml:"second_copies"`
		RetryAfter            bool `toml:"retry_after"`
		MaxAttempts           int  `toml:"max_attempts"`
	}
	Clients struct {
		MaxRetryAfter int `toml:"max_retry_after_ms"`
	}
	Rules struct {
		DrainGrace   int     `toml:"drain_grace_ms"`
		FallMultiple float64 `toml:"fall_multiple"`
		FallFor      int     `toml:"fall_ms"`
	}
	Tier []struct {
		Conn struct {
			Idle    int `toml:"idle_s"`
			Connect int `toml:"connect_timeout_ms"`
		}
		Kind []struct {
			ColdFrom []float64 `toml:"cold_from"`
			ColdFor  []float64 `toml:"cold_s"`
		}
	}
	Class []struct {
		Name, Effect, Group string
		Aim                 int `toml:"aim_ms"`
		Deadline            int `toml:"deadline_ms"`
		Window              int `toml:"window_ms"`
		Worth               float64
		LateWorth           float64 `toml:"late_worth"`
	}
	Tenant []struct{ Name string }
	Fam    struct {
		MostUnits  float64 `toml:"most_units"`
		PeerIntake float64 `toml:"peer_in_per_s"`
		Slack      float64
		Plan       []struct {
			Price         float64
			Rate, Ceiling []float64
			Burst         []float64 `toml:"burst_s"`
		}
	}
}

func midpoint(span []float64) float64 {
	if len(span) == 0 {
		return 0
	}
	return (span[0] + span[len(span)-1]) / 2
}

const millisecond = int(time.Millisecond)

// settingsObjectMap returns the site's settings in the form of the settings object.
func (s *site) settingsObjectMap() map[string]any {
	var classes, plans []map[string]any
	for _, k := range s.Class {
		classes = append(classes, map[string]any{"Name": k.Name, "Effect": k.Effect, "Group": k.Group, "AimNs": k.Aim * millisecond,
			"GiveUpNs": k.Deadline * millisecond, "WindowNs": k.Window * millisecond, "Importance": k.Worth, "LateWorth": k.LateWorth})
	}
	for i, p := range s.Fam.Plan {
		rate := midpoint(p.Rate)
		plan := map[string]any{"Name": s.Tenant[i].Name, "Refill": rate, "MostAtOnce": rate * midpoint(p.Burst), "Pays": p.Price}
		if c := midpoint(p.Ceiling); c > 0 {
			plan["NeverOverRate"], plan["NeverOverDepth"], plan["HardSlack"] = c*rate, c*rate*midpoint(p.Burst), s.Fam.Slack*rate
		}
		plans = append(plans, plan)
	}
	tier := s.Tier[0]
	return map[string]any{
		"Instances": s.Scale.Balancers[0], "Rank": 0, "Zone": s.Net.Zones[0], "Classes": classes, "TiersOfService": plans,
		"Extra": map[string]any{"PeerIntake": s.Fam.PeerIntake, "UnitsTop": s.Fam.MostUnits},
		"Limits": map[string]any{"SendCap": s.Allow.MaxAttempts, "MayCancel": s.Allow.Cancel, "ParallelTries": s.Allow.SecondCopies,
			"Peers": s.Allow.Peers, "Probes": s.Allow.Probes, "RetryAfter": s.Allow.RetryAfter, "MaxRetryAfterNs": s.Clients.MaxRetryAfter * millisecond,
			"ConnectTimeoutNs": tier.Conn.Connect * millisecond, "ConnIdleNs": tier.Conn.Idle * int(time.Second)},
		"Safety": map[string]any{"DrainGraceNs": s.Rules.DrainGrace * millisecond, "ColdFrom": midpoint(tier.Kind[0].ColdFrom),
			"ColdNs": int64(midpoint(tier.Kind[0].ColdFor) * float64(time.Second)), "FallMultiple": s.Rules.FallMultiple, "FallNs": s.Rules.FallFor * millisecond},
	}
}

// TestSites checks that the settings of the project's sites are valid and that a gateway with them serves each class and
// plan. After an attempt that may have run, a request of a safe class is retried and one of an unsafe class is not.
func TestSites(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*/site.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("sites %v, %v", files, err)
	}
	for _, file := range files {
		var s site
		if _, err := toml.DecodeFile(file, &s); err != nil {
			t.Fatal(err)
		}
		t.Run(s.Name, func(t *testing.T) {
			raw, err := json.Marshal(s.settingsObjectMap())
			if err != nil {
				t.Fatal(err)
			}
			set, err := Parse(raw)
			if err == nil {
				err = set.ValidateServing()
			}
			if err != nil {
				t.Fatal(err)
			}
			for _, class := range s.Class {
				for _, plan := range s.Tenant {
					serveAfterReset(t, set.Decide, class.Name, plan.Name)
				}
			}
		})
	}
}

// serveAfterReset sends a request whose first attempt ends with a connection reset to a gateway with the given settings.
func serveAfterReset(t *testing.T, cfg decide.Config, class, plan string) {
	t.Helper()
	cfg.Gateways, cfg.Limits.PeerMessages = 1, false
	g, err := decide.New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	at := time.Hour
	var servers []decide.Server
	for _, id := range []string{"a", "b"} {
		servers = append(servers, decide.Server{ID: id, Zone: cfg.Zone, Weight: 1})
	}
	g.Handle(at, decide.ServerListUpdate{Kind: decide.ListFull, Version: 1, Servers: servers})
	at += time.Minute // a gateway that has just started treats ceilings as used up
	sends := func(actions []decide.Action) (n int) {
		for _, a := range actions {
			if _, ok := a.(decide.SendAttempt); ok {
				n++
			}
		}
		return n
	}
	var effect decide.Effect
	for _, k := range cfg.Classes {
		if k.Name == class {
			effect = k.Effect
		}
	}
	if n := sends(g.Handle(at, decide.Request{ID: "1", Class: class, Plan: plan, Customer: "00000000b4d65521", Units: 1, GatewayCount: 1, Deadline: at + time.Second})); n != 1 {
		t.Fatalf("%s on %s: %d attempts", class, plan, n)
	}
	again := sends(g.Handle(at+time.Millisecond, decide.AttemptEnded{ID: "1", Server: "a", Outcome: decide.Reset, Latency: time.Millisecond}))
	if effect == decide.Unsafe && again != 0 || effect == decide.Safe && again != 1 {
		t.Errorf("%s on %s: %d retries after an attempt that may have run", class, plan, again)
	}
}
