package decide

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// TestDeterminism plays the same random events to two gateways, one alone and one beside others.
func TestDeterminism(t *testing.T) {
	one := runRandomEvents(t, 3)
	runRandomEvents(t, 4)
	if two := runRandomEvents(t, 3); !reflect.DeepEqual(one, two) {
		t.Error("the same events gave other actions")
	}
}

// TestRulesUnderRandomEvents checks the five rules over long random legal events.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(10); seed < 30; seed++ {
		runRandomEvents(t, seed)
	}
}

// runRandomEvents plays the servers, the clients, the list and a peer at random, and checks each action.
func runRandomEvents(t *testing.T, seed int64) (log []Action) {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	cfg := testConfig()
	cfg.Limits.ParallelAttempts = seed%2 == 0
	g, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	now, start := time.Duration(0), time.Duration(0)
	flights := map[string]*trackedRequest{}
	var order []string
	state := map[string]State{}
	cells := map[string]int{}
	var servers []Server
	for i := 0; i < 5; i++ {
		s := Server{ID: fmt.Sprint("s", i), Zone: "a", Cell: i % 2}
		servers, cells[s.ID] = append(servers, s), s.Cell
	}
	passed := map[string]float64{}
	var handle func(ev Event)
	check := func(a Action) {
		switch a := a.(type) {
		case SendAttempt:
			f := flights[a.ID]
			if f == nil || f.done {
				t.Fatalf("seed %d: Send for finished request %s", seed, a.ID)
			}
			if state[a.Server] != Serving {
				t.Fatalf("seed %d: Send to %s, which drains or is gone", seed, a.Server)
			}
			if len(f.attempts) >= cfg.Limits.MaxAttempts || (!cfg.Limits.ParallelAttempts && len(f.out) > 0) {
				t.Fatalf("seed %d: attempt %d with %d out", seed, len(f.attempts), len(f.out))
			}
			for n := range f.attempts {
				if !f.mayRun[n] || f.class.Effect == Safe {
					continue
				}
				if f.class.Effect == Unsafe || now-f.at[n] > f.class.DedupWindow ||
					(f.class.Group == GroupCell && cells[a.Server] != cells[f.attempts[n].Server]) {
					t.Fatalf("seed %d: %s sent to %s after attempt %d may have run", seed, f.class.Name, a.Server, n)
				}
			}
			if len(f.attempts) == 0 && f.req.Plan == "hard" {
				passed[f.req.Customer] += f.req.Units
				if most := 10*(now-start).Seconds() + 2; passed[f.req.Customer] > most+1e-6 {
					t.Fatalf("seed %d: ceiling passed: %v over %v", seed, passed[f.req.Customer], most)
				}
			}
			n := len(f.attempts)
			f.attempts, f.at = append(f.attempts, a), append(f.at, now)
			f.out[n], f.mayRun[n] = true, true
		case Refuse:
			f := flights[a.ID]
			if f.done {
				t.Fatalf("seed %d: second final answer for %s", seed, a.ID)
			}
			for n := range f.attempts {
				if f.mayRun[n] && (f.class.Effect == Unsafe || (f.class.Effect == Keyed && f.class.Group != GroupAll)) {
					t.Fatalf("seed %d: refused %s after attempt %d may have run", seed, f.class.Name, n)
				}
			}
			f.done = true
		case Fail:
			if flights[a.ID].done {
				t.Fatalf("seed %d: second final answer for %s", seed, a.ID)
			}
			flights[a.ID].done = true
		}
	}
	handle = func(ev Event) {
		acts := g.Handle(now, ev)
		log = append(log, acts...)
		for _, a := range acts {
			check(a)
		}
	}
	handle(ServerListUpdate{Kind: ListStale, Servers: servers})
	end := func(id string, n int, o Outcome) {
		f := flights[id]
		delete(f.out, n)
		if o.neverRan() {
			f.mayRun[n] = false
		}
		f.done = f.done || o == OK
		handle(AttemptEnded{ID: id, Attempt: n, Server: f.attempts[n].Server, Outcome: o, Latency: now - f.at[n],
			RequestDone: f.done, ActualUnits: float64(1 + rnd.Intn(8))})
	}
	for i := 0; i < 3000; i++ {
		now += time.Duration(rnd.Intn(20)) * ms
		switch k := rnd.Intn(20); {
		case k < 9:
			c := cfg.Classes[rnd.Intn(len(cfg.Classes))]
			id := fmt.Sprint("q", i)
			q := Request{ID: id, Class: c.Name, Plan: cfg.Plans[rnd.Intn(len(cfg.Plans))].Name,
				Customer: fmt.Sprint("c", rnd.Intn(6)), Units: float64(1 + rnd.Intn(4)),
				Deadline: now + time.Duration(500+rnd.Intn(1000))*ms, GatewayCount: 3}
			q.Customer += q.Plan
			flights[id] = &trackedRequest{req: q, class: c, out: map[int]bool{}, mayRun: map[int]bool{}}
			order = append(order, id)
			handle(q)
		case k < 11:
			s := &servers[rnd.Intn(len(servers))]
			s.State = State(rnd.Intn(3))
			if rnd.Intn(2) == 0 {
				s.State, s.Started = Serving, now
			}
			state[s.ID] = s.State
			handle(ServerListUpdate{Kind: ListDelta, Servers: []Server{*s}})
		case k < 12:
			handle(PeerMessage{From: 1 + rnd.Intn(2), Text: totalsText(rnd.Intn(2), rnd.Intn(4096),
				entry("c1hard", 2, rnd.Intn(4096), rnd.Intn(4096), rnd.Intn(64)))})
		case k < 13:
			handle(TimerFired{tickToken})
		}
		for _, id := range order {
			f := flights[id]
			for n := 0; n < len(f.attempts); n++ {
				if !f.out[n] {
					continue
				}
				if now >= f.at[n]+f.attempts[n].Timeout {
					end(id, n, TimedOut)
				} else if rnd.Intn(12) == 0 {
					end(id, n, Outcome(1+rnd.Intn(7)))
				}
			}
			if !f.done && now > f.req.Deadline+cfg.Safety.AnswerSlack+20*ms {
				t.Fatalf("seed %d: no final answer for %s", seed, id)
			}
		}
		order = keep(order, func(id string) bool { return !flights[id].done || len(flights[id].out) > 0 })
	}
	return log
}

func keep(ids []string, want func(string) bool) (out []string) {
	for _, id := range ids {
		if want(id) {
			out = append(out, id)
		}
	}
	return out
}
