package main

import (
	"encoding/json"
	"fmt"
	"time"

	"sloepick/decide"
	"sloepick/internal/settings"
)

// host holds the gateways of this process by their numbers. They share no state.
type host struct{ gateways map[int]*instance }

// instance is one gateway; gw is nil if its settings can't be used.
type instance struct{ gw *decide.Gateway }

func newHost() *host { return &host{gateways: map[int]*instance{}} }

type batch struct {
	NowNs    int64       `json:"NowNs"`
	Batch    json.Number `json:"batch"`
	Gateways []struct {
		I        int               `json:"I"`
		Happened []json.RawMessage `json:"happened"`
	} `json:"gateways"`
}

type replyGateway struct {
	I      int   `json:"I"`
	Output []any `json:"output"`
}

type reply struct {
	Batch    json.Number    `json:"batch"`
	Gateways []replyGateway `json:"gateways"`
}

// batch handles one line of input and returns the reply.
func (h *host) batch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("batch %q: %w", b.Batch, settings.DescribeDecodeError(err))
	}
	if b.Batch == "" {
		return nil, fmt.Errorf("batch %q: field \"batch\" is missing", b.Batch)
	}
	r := reply{Batch: b.Batch, Gateways: []replyGateway{}}
	for _, g := range b.Gateways {
		out := []any{}
		for _, raw := range g.Happened {
			acts, err := h.event(g.I, time.Duration(b.NowNs), raw)
			if err != nil {
				return nil, fmt.Errorf("batch %s: gateway %d: %w", b.Batch, g.I, err)
			}
			out = append(out, acts...)
		}
		if len(out) > 0 {
			r.Gateways = append(r.Gateways, replyGateway{g.I, out})
		}
	}
	return json.Marshal(r)
}

// event passes one event to its gateway and returns the actions as wire messages.
func (h *host) event(i int, now time.Duration, raw json.RawMessage) ([]any, error) {
	var head struct {
		M string `json:"m"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, fmt.Errorf("field \"happened\": %w", settings.DescribeDecodeError(err))
	}
	switch head.M {
	case "NewInstance":
		return h.start(i, raw)
	case "Destroy":
		delete(h.gateways, i)
		return nil, nil
	}
	ev, err := parseEvent(head.M, raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", head.M, settings.DescribeDecodeError(err))
	}
	g := h.gateways[i]
	if ev == nil || g == nil || g.gw == nil {
		return nil, nil
	}
	return g.handle(now, ev), nil
}

// handle passes an event to the gateway. A panic of package decide is returned as a Bug message.
func (g *instance) handle(now time.Duration, ev decide.Event) (out []any) {
	defer func() {
		if p := recover(); p != nil {
			out = []any{bug(fmt.Sprint(p))}
		}
	}()
	for _, a := range g.gw.Handle(now, ev) {
		out = append(out, wireAction(a))
	}
	return out
}

func bug(message string) any {
	return struct {
		M     string `json:"m"`
		Words string
	}{"Bug", message}
}

// start creates a gateway. Settings that can't be used are returned as a Bug message.
func (h *host) start(i int, raw json.RawMessage) ([]any, error) {
	var e struct {
		RandomSeed  uint64
		ProfileData json.RawMessage
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("NewInstance: %w", settings.DescribeDecodeError(err))
	}
	h.gateways[i] = &instance{}
	set, err := settings.Parse(e.ProfileData)
	if err != nil {
		return []any{bug(fmt.Sprintf("ProfileData: %v", err))}, nil
	}
	gw, err := decide.New(set.Decide, int64(e.RandomSeed))
	if err != nil {
		return []any{bug(err.Error())}, nil
	}
	h.gateways[i].gw = gw
	return nil, nil
}

// stats converts a server's load report.
func stats(raw map[string]float64) decide.LoadReport {
	if len(raw) == 0 {
		return nil
	}
	r := decide.LoadReport{}
	for name, v := range raw {
		r[reportName(name)] = v
	}
	return r
}

func reportName(wire string) string {
	switch wire {
	case "outstanding":
		return "inflight"
	case "backlog":
		return "queue"
	case "utilization":
		return "util"
	case "recent_ms":
		return "latency_ms"
	case "throughput":
		return "qps"
	}
	return wire
}

// parseEvent decodes a message. It returns nil for one of an unknown type.
func parseEvent(m string, raw json.RawMessage) (decide.Event, error) {
	switch m {
	case "PeersKnown":
		return parseFleet(raw)
	case "Query":
		return parseRequest(raw)
	case "Headers":
		var e struct {
			Xid, Server string
			Trial       int
			DurationNs  int64
		}
		err := json.Unmarshal(raw, &e)
		return decide.ResponseStarted{ID: e.Xid, Server: e.Server, Attempt: e.Trial,
			Latency: time.Duration(e.DurationNs)}, err
	case "Returned":
		return parseEnded(raw)
	case "ClientLeft":
		var e struct{ Xid string }
		err := json.Unmarshal(raw, &e)
		return decide.ClientDisconnected{ID: e.Xid}, err
	case "Elapsed":
		var e struct{ Tag uint64 }
		err := json.Unmarshal(raw, &e)
		return decide.TimerFired{Token: e.Tag}, err
	case "Sampled":
		var e struct {
			Server      string
			StateCode   int
			DurationNs  int64
			ServerStats map[string]float64
		}
		err := json.Unmarshal(raw, &e)
		return decide.ProbeEnded{Server: e.Server, Outcome: decide.Outcome(e.StateCode),
			Latency: time.Duration(e.DurationNs), Report: stats(e.ServerStats)}, err
	case "Datagram":
		var e struct {
			Src  int
			Blob string
		}
		err := json.Unmarshal(raw, &e)
		return decide.PeerMessage{From: e.Src, Text: e.Blob}, err
	case "Tallied":
		var e struct {
			Counter    uint64
			StateCode  int
			NowAt      float64
			DurationNs int64
		}
		err := json.Unmarshal(raw, &e)
		return decide.CounterCallEnded{Name: e.Counter, Outcome: decide.Outcome(e.StateCode), Total: e.NowAt,
			Latency: time.Duration(e.DurationNs)}, err
	}
	return nil, nil
}

func parseFleet(raw json.RawMessage) (decide.Event, error) {
	var e struct {
		Kind      string
		Stamp     uint64
		NodesList []struct {
			StartTimeNs                   int64
			Model, Az, StageState, Server string
			Stripe                        int
			CapacityHint                  float64
		}
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, err
	}
	kinds := map[string]decide.ListKind{"patch": decide.ListDelta, "whole": decide.ListFull,
		"stale_copy": decide.ListStale, "broken": decide.ListFailed}
	kind, ok := kinds[e.Kind]
	if !ok {
		return nil, fmt.Errorf("field \"Kind\": unknown %q", e.Kind)
	}
	u := decide.ServerListUpdate{Kind: kind, Version: e.Stamp}
	states := map[string]decide.State{"IN": decide.Serving, "LAME": decide.Draining, "OUT": decide.Gone}
	for _, n := range e.NodesList {
		state, ok := states[n.StageState]
		if !ok {
			return nil, fmt.Errorf("field \"StageState\": unknown %q", n.StageState)
		}
		u.Servers = append(u.Servers, decide.Server{ID: n.Server, Zone: n.Az, Cell: n.Stripe, Kind: n.Model,
			State: state, Started: time.Duration(n.StartTimeNs), Weight: n.CapacityHint})
	}
	return u, nil
}

func parseRequest(raw json.RawMessage) (decide.Event, error) {
	var e struct {
		Xid, Tier, Type, Account string
		DeadlineNs               int64
		EntryPoints, FromNo      int
		SizeUnits                float64
		AgainByClient, Mutates   bool
	}
	err := json.Unmarshal(raw, &e)
	return decide.Request{ID: e.Xid, Class: e.Type, Plan: e.Tier, Customer: e.Account, Units: e.SizeUnits,
		Deadline: time.Duration(e.DeadlineNs), FirstGateway: e.FromNo, GatewayCount: e.EntryPoints,
		ClientRetry: e.AgainByClient, Write: e.Mutates}, err
}

func parseEnded(raw json.RawMessage) (decide.Event, error) {
	var e struct {
		Xid, Server string
		Trial       int
		StateCode   int
		DurationNs  int64
		Ended       bool
		Metered     int
		Actual      float64
		ServerStats map[string]float64
	}
	err := json.Unmarshal(raw, &e)
	return decide.AttemptEnded{ID: e.Xid, Server: e.Server, Attempt: e.Trial,
		Outcome: decide.Outcome(e.StateCode), Latency: time.Duration(e.DurationNs), RequestDone: e.Ended,
		MeteredPercentPlusOne: e.Metered, ActualUnits: e.Actual, Report: stats(e.ServerStats)}, err
}

// wireAction converts an action to its wire message.
func wireAction(a decide.Action) any {
	type msg = map[string]any
	switch a := a.(type) {
	case decide.SendAttempt:
		return msg{"m": "Assign", "Xid": a.ID, "Server": a.Server, "AllowForNs": int64(a.Timeout)}
	case decide.CancelAttempt:
		return msg{"m": "Withdraw", "Xid": a.ID, "Trial": a.Attempt}
	case decide.Refuse:
		return msg{"m": "Busy", "Xid": a.ID, "RetryInNs": int64(a.RetryAfter)}
	case decide.Fail:
		return msg{"m": "ReportFailure", "Xid": a.ID}
	case decide.SetTimer:
		return msg{"m": "SetAlarm", "FireAtNs": int64(a.At), "Tag": a.Token}
	case decide.Probe:
		return msg{"m": "AskLoad", "Server": a.Server}
	case decide.CloseIdle:
		return msg{"m": "LetGo", "Server": a.Server}
	case decide.Subscribe:
		return msg{"m": "Listen", "Want": a.On}
	case decide.FetchServerList:
		return msg{"m": "Snapshot"}
	case decide.SendToPeer:
		return msg{"m": "Tell", "To": a.To, "Blob": a.Text}
	case decide.IncrementCounter:
		return msg{"m": "Enter", "Counter": a.Name, "Step": a.Delta, "TtlNs": int64(a.TTL)}
	case decide.Log:
		return msg{"m": "Log", "Words": a.Text}
	}
	return bug(fmt.Sprintf("unknown action %T", a))
}
