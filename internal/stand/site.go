package stand

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Site is a platform's nodes and its discovery.
type Site struct {
	Platform  *Platform
	Nodes     []*Node
	Discovery *Discovery
	Tally     *Tally
	Drains    []Drain

	version uint64
	entries []Entry
	pulse   *Pulse
	once    sync.Once
}

const (
	siteCells = 2
	siteQueue = 16 // requests that wait at a node
)

// NewSite starts so many nodes, in two cells, and discovery.
func NewSite(p *Platform, nodes int) (s *Site, err error) {
	s = &Site{Platform: p, Tally: NewTally(), version: 1, pulse: NewPulse()}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	var cells []*Cell
	for i := range siteCells {
		cells = append(cells, &Cell{ID: i, Window: p.Window})
	}
	work := map[string]time.Duration{}
	for _, c := range p.Classes {
		work[c.Name] = c.Work
	}
	for i := range nodes {
		cell := cells[i%siteCells]
		n, err := NewNode(NodeConfig{ID: fmt.Sprintf("node-%d", i), Cell: cell, Cores: p.Rules.Cores, Queue: siteQueue, Work: work,
			ColdFrom: p.Rules.ColdFrom, ColdFor: p.Rules.ColdFor, Tally: s.Tally, H2: i < p.H2Nodes})
		if err != nil {
			return s, err
		}
		s.Nodes = append(s.Nodes, n)
		kind := "std-2c"
		if i < p.H2Nodes {
			kind = H2Kind
		}
		s.entries = append(s.entries, Entry{ID: n.ID(), Addr: n.Addr(), Zone: p.Zone, Kind: kind, Cell: cell.ID, State: "up", Weight: 1})
	}
	s.Discovery, err = NewDiscovery(s.version, s.List())
	return s, err
}

// List is the list of nodes as discovery has it.
func (s *Site) List() List {
	return List{Version: s.version, Full: true, Servers: slices.Clone(s.entries)}
}

func (s *Site) tell() error {
	s.version++
	return s.Discovery.Set(s.version, s.List())
}

// Drain tells that a node drains, and lets it turn away what is new.
func (s *Site) Drain(i int) error {
	s.entries[i].State = "draining"
	if err := s.tell(); err != nil {
		return err
	}
	s.Drains = append(s.Drains, Drain{Node: s.Nodes[i].ID(), Told: time.Now()})
	s.Nodes[i].Drain()
	return nil
}

// Restart ends a node's process and starts it again, cold, and tells it.
func (s *Site) Restart(i int) error {
	started, err := s.Nodes[i].Restart()
	if err != nil {
		return err
	}
	for j := range s.Drains {
		if d := &s.Drains[j]; d.Node == s.Nodes[i].ID() && d.Restored.IsZero() {
			d.Restored = started
		}
	}
	s.entries[i].State, s.entries[i].StartedMS = "up", started.UnixMilli()
	return s.tell()
}

// Replace ends a node's process and starts another at its address, cold and under a new id, and tells it.
func (s *Site) Replace(i int) error {
	s.entries[i].ID += "b"
	s.Nodes[i].Rename(s.entries[i].ID)
	return s.Restart(i)
}

// Audit holds what clients and nodes saw to the five rules.
func (s *Site) Audit(ends []Ended) []Verdict {
	rules := s.Platform.Rules
	rules.Late = s.pulse.Within
	return Audit(rules, ends, s.Tally, s.Drains)
}

// Close ends all. Closing it again does nothing.
func (s *Site) Close() {
	s.once.Do(s.pulse.Close)
	if s.Discovery != nil {
		s.Discovery.Close()
	}
	for _, n := range s.Nodes {
		n.Close()
	}
}

// Clinic is a site of the size that a small machine plays without strain: two classes, four plans, one of them with a
// ceiling, and the figures that gateways must keep.
func Clinic() *Platform {
	plus := Ceiling{Rate: 18, Depth: 30, Slack: 3}
	return &Platform{
		Plans: []Plan{{Name: "basic", Rate: 1.5, Burst: 8, Price: 0.55}, {Name: "standard", Rate: 3, Burst: 12, Price: 0.88},
			{Name: "plus", Rate: 8, Burst: 16, Price: 1.3, Ceiling: plus}, {Name: "network", Rate: 20, Burst: 36, Price: 1.8}},
		Classes: []ClassMix{{Name: "slot-lookup", Share: 0.62, Units: 1, Patience: 1200 * time.Millisecond, Work: 45 * time.Millisecond},
			{Name: "slot-book", Share: 0.38, Units: 2, Patience: 6 * time.Second, Work: 100 * time.Millisecond, Keyed: true}},
		// Each limit is 50 ms longer on sockets, and a busy machine wakes a process late.
		Rules: Rules{AnswerSlack: 100 * time.Millisecond, DrainGrace: 300 * time.Millisecond, ColdFrom: 0.17, ColdFor: 14 * time.Second,
			FallMultiple: 4, FallWindow: 1500 * time.Millisecond, Cores: 2,
			Ceilings: map[string]Ceiling{"plus": {Rate: plus.Rate, Depth: plus.Depth, Slack: plus.Slack + 0.15*plus.Rate}}},
		Window: 12 * time.Second, Zone: "floor-3", Sockets: 1024, Memory: 192,
	}
}
