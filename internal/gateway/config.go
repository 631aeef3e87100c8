// Package gateway is the core of the gateway: it connects the decision module of package decide to sockets. A
// single goroutine, the event loop, owns the decision module and all tables. The goroutines for connections,
// discovery and peers only read, and post what they have read to the event loop, which never blocks on a write.
package gateway

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"sloepick/decide"
	"sloepick/internal/route"
	"sloepick/internal/settings"
	"sloepick/internal/sloe"
	"sloepick/internal/tuning"
)

// Config configures a gateway.
type Config struct {
	Name           string
	Listen         netip.AddrPort
	Discovery      netip.AddrPort
	Seed           int64
	Cores          float64
	MemoryMB       int
	Sockets        int
	PeerListen     netip.AddrPort   // zero: peer messages are disabled
	Peers          []netip.AddrPort // by gateway number
	KnownServers   ServerList       // the last list of servers known to this gateway
	Settings       settings.Settings
	Tuning         tuning.Tuning      // zero: tuning.Default
	Routes         []*route.Route     // checked by ValidateRoutes; empty: the limits of the settings apply
	Frontends      []Frontend         // accept clients
	Member         FleetMember        // nil: not in a fleet; the settings give the gateway number, all peers count as present
	OnReady        func(core *Core)   // called once, when the gateway accepts requests; may be nil
	DefaultBackend Backend            // connects to nodes whose kind is not in BackendsByKind
	BackendsByKind map[string]Backend // by kind of node
	Recovery       *RecoveryConfig    // after a power loss; nil: starts without saved state, admits all requests
}

// fileConfig is the format of the configuration file.
type fileConfig struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	Known      ServerList      `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// LoadConfig reads the environment and the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_DISCOVERY
// override the file, because the platform sets them.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("GW_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var f fileConfig
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, settings.DescribeDecodeError(err))
	}
	for name, field := range map[string]*string{"GW_NAME": &f.Name, "GW_LISTEN": &f.Listen, "GW_DISCOVERY": &f.Discovery} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	c, err := f.parse()
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// LoadDiscoveryAddr reads the file again and returns the address of discovery in it. GW_DISCOVERY is ignored:
// the environment of a running process cannot change, so it would tie the gateway to the address it was started
// with.
func LoadDiscoveryAddr(getenv func(string) string) (netip.AddrPort, error) {
	c, err := LoadConfig(func(name string) string {
		if name == "GW_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
	return c.Discovery, err
}

func (f *fileConfig) parse() (Config, error) {
	c := Config{Name: f.Name, Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, KnownServers: f.Known}
	var err error
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if c.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return c, fmt.Errorf("discovery: %w", err)
	}
	if c.Cores <= 0 || c.MemoryMB <= 0 || c.Sockets < minSockets {
		return c, fmt.Errorf("limits: got %v cores, %d MB, %d sockets, want more than 0, 0 and at least %d",
			c.Cores, c.MemoryMB, c.Sockets, minSockets)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	c.Seed = int64(seed)
	if len(f.Settings) == 0 {
		return c, fmt.Errorf("settings are missing")
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if err := c.Settings.ValidateServing(); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if err := c.Settings.Decide.Validate(); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if err := c.KnownServers.validate(); err != nil {
		return c, fmt.Errorf("known: %w", err)
	}
	return c, f.parsePeers(&c)
}

// parsePeers parses the addresses for peer messages, which are required only if peer messages are enabled.
func (f *fileConfig) parsePeers(c *Config) error {
	d := c.Settings.Decide
	if !d.Limits.PeerMessages || f.PeerListen == "" {
		return nil
	}
	var err error
	if c.PeerListen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	for i, p := range f.Peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		c.Peers = append(c.Peers, addr)
	}
	if len(c.Peers) != d.Gateways {
		return fmt.Errorf("peers: got %d addresses, want one for each of %d gateways", len(c.Peers), d.Gateways)
	}
	return nil
}

// ValidateRoutes checks routes against the settings of a platform and this gateway's time margins.
func (c *Config) ValidateRoutes(routes []*route.Route) sloe.Diags {
	if len(routes) == 0 {
		return nil
	}
	return route.Validate(routes, &c.Settings.Decide, route.Margins{Response: deadlineMargin, Dedup: deadlineMargin})
}

// class returns the class of that name, or nil.
func (c *Config) class(name string) *decide.Class {
	for i := range c.Settings.Decide.Classes {
		if k := &c.Settings.Decide.Classes[i]; k.Name == name {
			return k
		}
	}
	return nil
}

// backendFor returns the backend for a kind of node.
func (c *Config) backendFor(kind string) Backend {
	if b := c.BackendsByKind[kind]; b != nil {
		return b
	}
	return c.DefaultBackend
}

func (c *Config) hasPlan(name string) bool {
	for i := range c.Settings.Decide.Plans {
		if c.Settings.Decide.Plans[i].Name == name {
			return true
		}
	}
	return false
}
