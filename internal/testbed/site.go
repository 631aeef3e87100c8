package testbed

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Site runs the nodes of a platform and their discovery service.
type Site struct {
	Platform  *Platform
	Nodes     []*Node
	Discovery *Discovery
	Recorder  *Recorder
	Drains    []DrainPeriod

	version uint64
	entries []ServerEntry
	monitor *SchedulingMonitor
	once    sync.Once
}

const (
	siteCells     = 2
	siteQueueSize = 16 // requests that may wait at a node
)

// NewSite starts the given number of nodes, spread over two cells, and the discovery service.
func NewSite(p *Platform, nodes int) (s *Site, err error) {
	s = &Site{Platform: p, Recorder: NewRecorder(), version: 1, monitor: NewSchedulingMonitor()}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	var cells []*Cell
	for i := range siteCells {
		cells = append(cells, &Cell{ID: i, DedupWindow: p.DedupWindow})
	}
	work := map[string]time.Duration{}
	for _, c := range p.Classes {
		work[c.Name] = c.Work
	}
	for i := range nodes {
		cell := cells[i%siteCells]
		n, err := NewNode(NodeConfig{ID: fmt.Sprintf("node-%d", i), Cell: cell, Cores: p.Rules.Cores, QueueSize: siteQueueSize, WorkByClass: work,
			ColdCapacity: p.Rules.ColdCapacity, ColdDuration: p.Rules.ColdDuration, Recorder: s.Recorder, H2: i < p.H2Nodes})
		if err != nil {
			return s, err
		}
		s.Nodes = append(s.Nodes, n)
		kind := "std-2c"
		if i < p.H2Nodes {
			kind = H2NodeKind
		}
		s.entries = append(s.entries, ServerEntry{ID: n.ID(), Addr: n.Addr(), Zone: p.Zone, Kind: kind, Cell: cell.ID, State: "up", Weight: 1})
	}
	s.Discovery, err = NewDiscovery(s.version, s.ServerList())
	return s, err
}

// ServerList returns the list of servers as discovery publishes it.
func (s *Site) ServerList() ServerList {
	return ServerList{Version: s.version, Full: true, Servers: slices.Clone(s.entries)}
}

func (s *Site) publish() error {
	s.version++
	return s.Discovery.Set(s.version, s.ServerList())
}

// Drain announces a node as draining and makes it reject new requests.
func (s *Site) Drain(i int) error {
	s.entries[i].State = "draining"
	if err := s.publish(); err != nil {
		return err
	}
	s.Drains = append(s.Drains, DrainPeriod{Node: s.Nodes[i].ID(), AnnouncedAt: time.Now()})
	s.Nodes[i].Drain()
	return nil
}

// Restart restarts a node, which is cold afterwards, and publishes its new start time.
func (s *Site) Restart(i int) error {
	started, err := s.Nodes[i].Restart()
	if err != nil {
		return err
	}
	for j := range s.Drains {
		if d := &s.Drains[j]; d.Node == s.Nodes[i].ID() && d.RestartedAt.IsZero() {
			d.RestartedAt = started
		}
	}
	s.entries[i].State, s.entries[i].StartedMS = "up", started.UnixMilli()
	return s.publish()
}

// Replace replaces a node by another one at the same address, which is cold and has a new id, and publishes it.
func (s *Site) Replace(i int) error {
	s.entries[i].ID += "b"
	s.Nodes[i].SetID(s.entries[i].ID)
	return s.Restart(i)
}

// Audit checks what clients and nodes observed against the five rules.
func (s *Site) Audit(results []RequestResult) []RuleResult {
	rules := s.Platform.Rules
	rules.SchedulingDelay = s.monitor.DelayBetween
	return Audit(rules, results, s.Recorder, s.Drains)
}

// SchedulingDelay returns for how long this machine delayed processes between two times.
func (s *Site) SchedulingDelay(from, to time.Time) time.Duration {
	return s.monitor.DelayBetween(from, to)
}

// Close stops the nodes and the discovery service. It is idempotent.
func (s *Site) Close() {
	s.once.Do(s.monitor.Close)
	if s.Discovery != nil {
		s.Discovery.Close()
	}
	for _, n := range s.Nodes {
		n.Close()
	}
}

// SmallPlatform returns a platform whose load a small machine sustains: two classes, four plans, one of them with
// a ceiling, and the limits that gateways must keep.
func SmallPlatform() *Platform {
	plus := Ceiling{Rate: 18, Depth: 30, Slack: 3}
	return &Platform{
		Plans: []Plan{{Name: "basic", Rate: 1.5, Burst: 8, Price: 0.55}, {Name: "standard", Rate: 3, Burst: 12, Price: 0.88},
			{Name: "plus", Rate: 8, Burst: 16, Price: 1.3, Ceiling: plus}, {Name: "network", Rate: 20, Burst: 36, Price: 1.8}},
		Classes: []RequestClass{{Name: "slot-lookup", Share: 0.62, Units: 1, Patience: 1200 * time.Millisecond, Work: 45 * time.Millisecond},
			{Name: "slot-book", Share: 0.38, Units: 2, Patience: 6 * time.Second, Work: 100 * time.Millisecond, Keyed: true}},
		// Each limit is 50 ms longer than the gateways' own, for the sockets between and for late wakeups on a
		// busy machine.
		Rules: Rules{AnswerSlack: 100 * time.Millisecond, DrainGrace: 300 * time.Millisecond, ColdCapacity: 0.17, ColdDuration: 14 * time.Second,
			OverloadFactor: 4, OverloadWindow: 1500 * time.Millisecond, Cores: 2,
			Ceilings: map[string]Ceiling{"plus": {Rate: plus.Rate, Depth: plus.Depth, Slack: plus.Slack + 0.15*plus.Rate}}},
		DedupWindow: 12 * time.Second, Zone: "floor-3", Sockets: 1024, MemoryMB: 192,
	}
}
