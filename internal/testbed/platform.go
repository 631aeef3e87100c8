package testbed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// socketSlack is how much longer a rule's time limit is on sockets.
const socketSlack = 50 * time.Millisecond

// Plan is a plan as a platform's settings tell it.
type Plan struct {
	Name        string
	Rate, Burst float64
	Ceiling     Ceiling // a zero Rate: none
	Price       float64
}

// Platform is what gateways are told at their start: who they are and the settings of the site.
type Platform struct {
	Plans       []Plan
	Classes     []RequestClass
	Rules       Rules
	DedupWindow time.Duration // for which a cell drops repeats
	Zone        string
	Sockets     int
	MemoryMB    int // MB
	H2Nodes     int // so many of the nodes speak HTTP/2 and are of H2Kind
	// EstimatedUnits: a request's units are a guess, and nodes tell the true ones, Most at most.
	EstimatedUnits bool
	MaxUnits       float64 // units that a request counts for at most; 0: as many as the classes' largest
	PeerIntake     float64 // messages a second that a gateway takes in; 0: 40
	// PeerAddrs are the addresses under which a gateway sees the others and itself; nil: those at which they are.
	PeerAddrs func(rank int) []string
}

const defaultPeerIntake = 40 // messages a second

// H2NodeKind is the kind of nodes that speak HTTP/2, as discovery tells it.
const H2NodeKind = "std-h2"

// Endpoint is where one gateway of a platform listens.
type Endpoint struct{ Listen, Peer string }

// Ports of places lie under those that systems hand out to outgoing connections (from 32768 on Linux, from 49152 by RFC 6335,
// 6), so that none of these takes one between its being found and the gateway's start.
const (
	minPort      = 20000
	maxPort      = 32767
	maxPortTries = 1000
	portRanges   = 64 // of the range: so many processes side by side have one each, of 198 ports
)

// allocated are the ports that Places has allocated out in this process, and the part of the range that is this process's. A gateway that is not
// started yet, or is down, leaves its ports free, so neither this process nor another may find them meanwhile.
var allocated struct {
	sync.Mutex
	ports      map[int]bool
	rangeLock  net.Listener // on the first port of the part, for as long as the process lives
	rangeStart int
}

// claimPortRange takes a part of the range that no other process has: whoever listens on a part's first port owns it. Where all are taken
// one is shared.
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

// AllocateEndpoints finds free loopback ports for so many gateways, none of them twice in a process, and none that another process may be given
// by AllocateEndpoints. They are free as they are looked up; a start that finds one taken says so.
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
			return nil, fmt.Errorf("looking for ports: %d of %d were found in %d tries", len(endpoints), n, tries)
		}
		port := allocated.rangeStart + 1 + rand.IntN(rangeSize-1)
		if allocated.ports[port] && tries < maxPortTries/2 { // later: most of the part was given out
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue // taken
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

// GatewayConfig is the configuration file of the gateway of that number.
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
