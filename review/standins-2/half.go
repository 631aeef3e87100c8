package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["half-commands"] = halfCommands }

// memoryHeld returns the memory that a process holds, in MB, as the platform sees it.
func memoryHeld(pid int) (mb float64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return float64(kb) / 1024, err
		}
	}
	return 0, fmt.Errorf("process %d tells no VmRSS", pid)
}

// halfCommands: some hundred clients stop in the middle of a long request and stay. The platform kills a gateway that
// holds more memory than its limit.
func halfCommands(p *play) ([]string, error) {
	const (
		memoryMB = 32
		sockets  = 1024
		clients  = 330 // with the usual ones 340, under a third of the descriptors
	)
	if err := p.deploy(deployment{gateways: 3, sockets: sockets, memoryMB: memoryMB}, 12, 4, 4, 32, usualWork); err != nil {
		return nil, err
	}
	var load []*usual
	for i := range p.gateways {
		load = append(load, p.startUsual(i, 10, 4))
	}
	var broken []string
	g, stop := p.gateways[0], make(chan struct{})
	var platform sync.WaitGroup
	platform.Go(func() {
		peak := 0.0
		for {
			select {
			case <-stop:
				p.rec.say("gateway %s held %.1f MB at most, its limit is %d MB", g.name, peak, memoryMB)
				fmt.Printf("gateway %s held %.1f MB at most, its limit is %d MB\n", g.name, peak, memoryMB)
				return
			case <-time.After(10 * time.Millisecond):
			}
			mb, err := memoryHeld(g.cmd.Process.Pid)
			if err != nil {
				broken = append(broken, fmt.Sprintf("gateway %s has ended", g.name))
				return
			}
			if peak = max(peak, mb); mb > memoryMB {
				broken = append(broken, fmt.Sprintf("gateway %s held %.1f MB, its limit is %d MB: the platform kills it", g.name, mb, memoryMB))
				g.signal(syscall.SIGKILL)
				return
			}
		}
	})
	time.Sleep(3 * time.Second)
	q := request{id: "half", customer: "0000000000009000", plan: "network", class: "slot-book", key: "half", wait: 6 * time.Second, units: 1, spread: 3,
		body: strings.Repeat("x", 64<<10)}
	b := q.encode()
	part := b[:len(b)-100]
	var wg sync.WaitGroup
	if p.trouble {
		p.rec.say("%d clients connect and write %d of %d bytes of a request each", clients, len(part), len(b))
		for i := range clients {
			wg.Go(func() {
				c, err := net.Dial("tcp", g.addr)
				if err != nil {
					return
				}
				defer c.Close()
				began := time.Now()
				c.SetDeadline(began.Add(6 * time.Second))
				if _, err := c.Write(part); err != nil {
					p.rec.say("client h-%d can't write: %v", i, err)
					return
				}
				answer, err := readAnswer(bufio.NewReader(c))
				p.rec.say("client h-%d gets %q after %d ms: %v", i, answer, time.Since(began).Milliseconds(), err)
			})
		}
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	platform.Wait()
	for _, u := range load {
		u.end()
	}
	return broken, nil
}
