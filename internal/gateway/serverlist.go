package gateway

import (
	"fmt"
	"net/netip"
	"time"

	"sloepick/decide"
)

// ServerList is a list of servers in the format of discovery.
type ServerList struct {
	Version uint64        `json:"version"`
	Full    bool          `json:"full"`
	Servers []ServerEntry `json:"servers"`
}

// ServerEntry is one server in the format of discovery.
type ServerEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

func (e *ServerEntry) parseState() (decide.State, error) {
	switch e.State {
	case "up":
		return decide.Serving, nil
	case "draining":
		return decide.Draining, nil
	case "removed":
		return decide.Gone, nil
	}
	return decide.Gone, fmt.Errorf("server %q: unknown state %q", e.ID, e.State)
}

// validate returns an error for the first invalid entry. A list is used completely or not at all. A list of
// changes may contain a server more than once; its entries are applied in order.
func (l *ServerList) validate() error {
	first := make(map[string]int, len(l.Servers))
	for i := range l.Servers {
		e := &l.Servers[i]
		if e.ID == "" {
			return fmt.Errorf("servers[%d] has no id", i)
		}
		if at, twice := first[e.ID]; twice && l.Full {
			return fmt.Errorf("servers[%d] and servers[%d] have the same id %q", at, i, e.ID)
		}
		first[e.ID] = i
		state, err := e.parseState()
		if err != nil {
			return fmt.Errorf("servers[%d]: %w", i, err)
		}
		if _, err := netip.ParseAddrPort(e.Addr); err != nil && state != decide.Gone {
			return fmt.Errorf("servers[%d]: server %q: %w", i, e.ID, err)
		}
	}
	return nil
}

// toServer converts the entry for the decision module. Start times count from the Unix epoch, like the
// gateway's clock.
func (e *ServerEntry) toServer() decide.Server {
	state, err := e.parseState()
	if err != nil {
		state = decide.Gone // unreachable for a valid list
	}
	return decide.Server{ID: e.ID, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: state,
		Started: time.Duration(e.StartedMS) * time.Millisecond, Weight: e.Weight}
}
