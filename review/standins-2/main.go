// Command review-standins-2 plays the cases 6 to 10 of the review: it starts gateways by the run line of the deploy
// file, stands in for clients, servers and discovery on loopback addresses, and checks one rule. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	rec      *recorder
	dir      string
	trouble  bool // false: the same without the disruption
	rng      *rand.Rand
	fleet    *fleet
	disc     *discovery
	entries  []entry
	gateways []*gateway
}

// cases are the cases by their names on the command line. Each file adds its own.
var cases = map[string]func(p *play) (broken []string, err error){}

const seed = 7 // of all random choices of the stand-ins

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	p := &play{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rng: rand.New(rand.NewSource(seed))}
	defer p.end()
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that ends must not keep the run from ending its gateways
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupted
		p.killAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	broken, err := cases[name](p)
	for i, b := range broken {
		rec.say("BROKEN %s", b)
		if i < 10 {
			fmt.Println("BROKEN", b)
		}
	}
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case len(broken) > 0:
		fmt.Printf("%d times broken, trouble=%v\n", len(broken), p.trouble)
		return 1
	}
	rec.say("the rule held, trouble=%v", p.trouble)
	fmt.Printf("the rule held, trouble=%v\n", p.trouble)
	return 0
}

// deploy starts servers, discovery and gateways.
func (p *play) deploy(d deployment, servers, cellSize, slots, queue int, work func(a arrival) time.Duration) error {
	p.fleet = &fleet{rec: p.rec, work: work}
	for i := range servers {
		s, err := p.fleet.start(fmt.Sprintf("s-%02d", i), i/cellSize, slots, queue)
		if err != nil {
			return err
		}
		p.entries = append(p.entries, entry{ID: s.id, Addr: s.addr(), Zone: []string{"floor-3", "floor-4", "floor-5"}[i%3], Kind: "std-2c",
			Cell: s.cell, State: "up", Weight: 1})
	}
	var err error
	if p.disc, err = startDiscovery(p.entries); err != nil {
		return err
	}
	return p.startGateways(&d)
}

// killAll ends all gateways that still run.
func (p *play) killAll() {
	for _, g := range p.gateways {
		g.kill()
	}
}

func (p *play) end() {
	p.killAll()
	for _, g := range p.gateways {
		if os.Getenv("LOGS") != "" {
			if b, err := os.ReadFile(filepath.Join(p.dir, g.name+".log")); err == nil {
				fmt.Fprintf(os.Stderr, "%s\n", b)
			}
		}
	}
	if p.fleet != nil {
		p.fleet.closeAll()
	}
	if p.disc != nil {
		p.disc.close()
	}
}
