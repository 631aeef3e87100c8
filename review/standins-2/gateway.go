package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// runLine starts one gateway; it is the line "run" of deploy/balancer.toml.
const runLine = "exec bin/sloepick"

// gateway is one process of the project.
type gateway struct {
	name, addr string
	config     string
	rec        *recorder
	dir        string
	cmd        *exec.Cmd
	exited     chan struct{}
	err        error
}

type dict = map[string]any

// deployment describes the settings of a small deployment.
type deployment struct {
	gateways, sockets, memoryMB int
	lookupWait, bookWait        time.Duration // 0: 1.2 s and 6 s, as the brief has them
}

func (d *deployment) settings(rank int) dict {
	lookup, book := d.lookupWait, d.bookWait
	if lookup == 0 {
		lookup = 1200 * time.Millisecond
	}
	if book == 0 {
		book = 6 * time.Second
	}
	plan := func(name string, pays, rate, burst, ceilingRate, ceilingDepth, slack, over float64) dict {
		return dict{"Name": name, "Pays": pays, "Refill": rate, "MostAtOnce": burst, "NeverOverRate": ceilingRate, "NeverOverDepth": ceilingDepth,
			"HardSlack": slack, "ExcessCost": over, "BeyondEarns": 0.0, "Parallel": 0}
	}
	return dict{
		"Instances": d.gateways, "Rank": rank, "Zone": "floor-3", "Zones": []string{"floor-3", "floor-4", "floor-5"}, "Kinds": []string{"std-2c"},
		"Family": "gate", "MembershipMode": "automatic", "Tier": 0, "Tiers": []string{"booking-fleet"}, "TickNs": 4000000, "WeightSource": "nominal",
		"ClientHabits": dict{"MarksRetry": true},
		"Classes": []dict{
			{"Name": "slot-lookup", "Effect": "safe", "Group": "all", "AimNs": min(500*time.Millisecond, lookup), "GiveUpNs": lookup, "WindowNs": 5 * time.Second,
				"Importance": 1.0, "LateWorth": 0.0, "Stream": false},
			{"Name": "slot-book", "Effect": "keyed", "Group": "cell", "AimNs": min(1500*time.Millisecond, book), "GiveUpNs": book, "WindowNs": 12 * time.Second,
				"Importance": 3.0, "LateWorth": 0.0, "Stream": false}},
		"TiersOfService": []dict{
			plan("basic", 0.55, 1.3, 6, 0, 0, 0, 1.2), plan("standard", 0.88, 3.3, 14, 0, 0, 0, 0.5),
			plan("plus", 1.3, 11, 18, 25, 37, 4, 0.6), plan("network", 1.8, 17, 27, 0, 0, 0, 0.6)},
		"Extra": dict{"CostAfter": false, "CountWaitNs": 0, "CounterPrice": 0.0, "HasCounter": false, "MeterNs": 0, "PeerIntake": 40.0, "UnitsTop": 4},
		"Limits": dict{"ConnIdleNs": 15 * time.Second, "ConnectTimeoutNs": 250 * time.Millisecond, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000,
			"MaxRetryAfterNs": time.Second, "MayCancel": true, "OpenCap": 20000, "ParallelTries": true, "Peers": true, "Probes": true,
			"RetryAfter": true, "SendCap": 5, "StreamsPerConn": 32},
		"Safety": dict{"AnswerSlackNs": 16 * time.Millisecond, "AskWithinNs": 10 * time.Second, "ColdFrom": 0.17, "ColdNs": 14 * time.Second,
			"DrainGraceNs": 250 * time.Millisecond, "FallMultiple": 4.0, "FallNs": 1500 * time.Millisecond},
		"Prices":    dict{"CrossZone": 0.01, "LateFail": 0.05, "Peer": 0.02, "Probe": 0.01, "Waste": 0.03},
		"Telemetry": dict{"How": "probe", "Fields": []string{"utilization", "backlog"}},
	}
}

// freePorts returns loopback addresses whose TCP and UDP ports are free.
func freePorts(n int) (addrs []string, err error) {
	for len(addrs) < n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		if udp, err := net.ListenPacket("udp", ln.Addr().String()); err == nil {
			defer udp.Close()
			addrs = append(addrs, ln.Addr().String())
		}
	}
	return addrs, nil
}

// startGateways starts all gateways of a deployment and waits until each answers PING.
func (p *play) startGateways(d *deployment) error {
	addrs, err := freePorts(d.gateways)
	if err != nil {
		return err
	}
	for i, addr := range addrs {
		config := dict{"name": fmt.Sprintf("n%d", i), "listen": addr, "discovery": p.disc.addr(), "seed": fmt.Sprintf("%016x", uint64(0x8c1f30d27a5be900)+uint64(i)),
			"limits":      dict{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets},
			"peer_listen": addr, "peers": addrs, "known": list{1, true, p.entries}, "settings": d.settings(i)}
		b, err := json.Marshal(config)
		if err != nil {
			return err
		}
		g := &gateway{name: fmt.Sprintf("n%d", i), addr: addr, config: filepath.Join(p.dir, fmt.Sprintf("n%d.json", i)), rec: p.rec, dir: p.dir}
		if err := os.WriteFile(g.config, b, 0o600); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		p.gateways = append(p.gateways, g)
	}
	for _, g := range p.gateways {
		if err := ping(g.addr, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (g *gateway) start() error {
	g.cmd = exec.Command("/bin/sh", "-c", runLine)
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.Env = append(os.Environ(), "GW_CONFIG="+g.config, "GW_NAME="+g.name, "GW_LISTEN="+g.addr, "TMPDIR="+g.dir)
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.rec.say("gateway %s started at %s", g.name, g.addr)
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	go func() {
		g.err = cmd.Wait()
		g.rec.say("gateway %s ended: %v", g.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.rec.say("gateway %s gets %v", g.name, s)
	g.cmd.Process.Signal(s)
}

func (g *gateway) kill() {
	if g.cmd != nil && g.cmd.Process != nil {
		g.cmd.Process.Kill()
		<-g.exited
	}
}
