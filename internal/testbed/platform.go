package testbed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// socketSlack is how much longer than a gateway's own limit an audited limit is, for the time on sockets.
const socketSlack = 50 * time.Millisecond

// Plan is a customers' plan in the settings of a platform.
type Plan struct {
	Name        string
	Rate, Burst float64
	Ceiling     Ceiling // none if its Rate is 0
	Price       float64
}

// Platform describes a site: what goes into the configuration of its gateways, and how its nodes behave.
type Platform struct {
	Plans       []Plan
	Classes     []RequestClass
	Rules       Rules
	DedupWindow time.Duration // in which a cell drops duplicates
	Zone        string
	Sockets     int
	MemoryMB    int
	H2Nodes     int // number of nodes that serve HTTP/2 and are of H2NodeKind
	// EstimatedUnits: the units of a request are an estimate, and nodes report the actual ones, up to MaxUnits.
	EstimatedUnits bool
	MaxUnits       float64 // largest number of units of a request; 0: the largest of the classes
	PeerIntake     float64 // peer messages per second that a gateway accepts; 0: 40
	// PeerAddrs returns the addresses at which a gateway reaches all gateways, including itself; nil: the
	// addresses at which they listen.
	PeerAddrs func(rank int) []string
}

const defaultPeerIntake = 40 // messages per second

// H2NodeKind is the kind of HTTP/2 nodes in the list of servers.
const H2NodeKind = "std-h2"

// Endpoint holds the addresses at which a gateway listens for clients and for peers.
type Endpoint struct{ Listen, Peer string }

// Allocated ports lie below the ephemeral ones (from 32768 on Linux, from 49152 by RFC 6335, section 6), so that
// no outgoing connection takes a port between its allocation and the gateway's start.
const (
	minPort      = 20000
	maxPort      = 32767
	maxPortTries = 1000
	portRanges   = 64 // ranges of 198 usable ports, one per process
)

// allocated holds the ports that AllocateEndpoints returned in this process, and the process's port range. A
// gateway that is not started yet, or is down, leaves its ports free, and neither this process nor another may
// allocate them meanwhile.
var allocated struct {
	sync.Mutex
	ports      map[int]bool
	rangeLock  net.Listener // listens on the first port of the range for the life of the process
	rangeStart int
}

// claimPortRange picks a range that no other process has: the process that listens on the first port of a range
// owns it. If all are taken, one is shared.
func claimPortRange() {
	const rangeSize = (maxPort - minPort + 1) / portRanges
	first := rand.IntN(portRanges)
	for i := range portRanges {
		allocated.rangeStart = minPort + (first+i)%portRanges*rangeSize
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", allocated.rangeStart))
		if err == nil {
			allocated.rangeLock = ln
			return
		}
	}
}

// AllocateEndpoints returns free loopback ports for n gateways. It returns no port twice in a process, nor one
// that it may return in another process. The ports were free at the time of the call; a gateway that finds its
// port taken fails to start.
func AllocateEndpoints(n int) ([]Endpoint, error) {
	allocated.Lock()
	defer allocated.Unlock()
	if allocated.ports == nil {
		allocated.ports = map[int]bool{}
		claimPortRange()
	}
	rangeSize := (maxPort - minPort + 1) / portRanges
	var endpoints []Endpoint
	for tries := 0; len(endpoints) < n; tries++ {
		if tries == maxPortTries {
			return nil, fmt.Errorf("allocating ports: found %d of %d in %d attempts", len(endpoints), n, tries)
		}
		port := allocated.rangeStart + 1 + rand.IntN(rangeSize-1)
		if allocated.ports[port] && tries < maxPortTries/2 { // allow repeats later, when most of the range is allocated
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue // in use
		}
		defer ln.Close()
		udp, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		defer udp.Close()
		allocated.ports[port] = true
		endpoints = append(endpoints, Endpoint{addr, addr})
	}
	return endpoints, nil
}

// GatewayConfig returns the configuration file of the gateway with a rank.
func (p *Platform) GatewayConfig(rank int, endpoints []Endpoint, discovery string, seed uint64, known ServerList) ([]byte, error) {
	var peers []string
	for _, q := range endpoints {
		peers = append(peers, q.Peer)
	}
	if p.PeerAddrs != nil {
		peers = p.PeerAddrs(rank)
	}
	return json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", rank), "listen": endpoints[rank].Listen, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", seed+uint64(rank)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": p.MemoryMB, "sockets": p.Sockets},
		"known":  known, "peer_listen": endpoints[rank].Peer, "peers": peers, "settings": p.settings(rank, len(endpoints)),
	})
}

func (p *Platform) settings(rank, gateways int) map[string]any {
	var classes, plans []map[string]any
	units, intake := 1.0, p.PeerIntake
	if intake == 0 {
		intake = defaultPeerIntake
	}
	for _, c := range p.Classes {
		k := map[string]any{"Name": c.Name, "Effect": "safe", "AimNs": c.Patience / 3, "GiveUpNs": c.Patience, "Importance": 1}
		if c.Keyed {
			k["Effect"], k["Group"], k["WindowNs"], k["Importance"] = "keyed", "cell", p.DedupWindow, 3
		}
		classes = append(classes, k)
		units = max(units, c.Units)
	}
	for _, t := range p.Plans {
		plans = append(plans, map[string]any{"Name": t.Name, "Refill": t.Rate, "MostAtOnce": t.Burst, "Pays": t.Price,
			"NeverOverRate": t.Ceiling.Rate, "NeverOverDepth": t.Ceiling.Depth, "HardSlack": t.Ceiling.Slack, "ExcessCost": 0.6})
	}
	return map[string]any{
		"Instances": gateways, "Rank": rank, "Zone": p.Zone, "Classes": classes, "TiersOfService": plans,
		"Extra": map[string]any{"PeerIntake": intake, "UnitsTop": max(units, p.MaxUnits), "CostAfter": p.EstimatedUnits},
		"Limits": map[string]any{"SendCap": 5, "MayCancel": true, "ParallelTries": true, "Peers": true, "RetryAfter": true,
			"MaxRetryAfterNs": time.Second, "ConnectTimeoutNs": 250 * time.Millisecond, "ConnIdleNs": 15 * time.Second, "OpenCap": 20000},
		"Safety": map[string]any{"AnswerSlackNs": 50 * time.Millisecond, "DrainGraceNs": p.Rules.DrainGrace - socketSlack, "ColdFrom": p.Rules.ColdCapacity,
			"ColdNs": p.Rules.ColdDuration, "FallMultiple": p.Rules.OverloadFactor, "FallNs": p.Rules.OverloadWindow},
		"Prices": map[string]any{"CrossZone": 0.01, "Waste": 0.03, "Probe": 0.01, "Peer": 0.02, "LateFail": 0.05},
	}
}
