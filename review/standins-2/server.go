package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request whose last byte has come to a server.
type arrival struct {
	server, id, customer, class string
	wait                        time.Duration // d, as told to the server
	units                       float64
	at                          time.Time
}

// fleet holds the servers of a run and what came to them.
type fleet struct {
	rec     *recorder
	servers []*server
	work    func(a arrival) time.Duration

	mu       sync.Mutex
	arrivals []arrival
}

func (f *fleet) record(a arrival) {
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	f.mu.Unlock()
	f.rec.at(a.at, "server %s got %s class=%s d=%d", a.server, a.id, a.class, a.wait.Milliseconds())
}

func (f *fleet) all() []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]arrival(nil), f.arrivals...)
}

func (f *fleet) closeAll() {
	for _, s := range f.servers {
		s.close()
	}
}

// server is a sound server of the protocol page: it begins a command when its last byte has come, works on as many as
// it has slots, lets others wait, answers in the order of the commands, and stops work whose connection has closed.
type server struct {
	fleet *fleet
	id    string
	cell  int
	ln    net.Listener
	slots chan struct{}

	mu      sync.Mutex
	conns   map[net.Conn]bool
	hung    bool
	wake    chan struct{} // closed at the end of a hang
	waiting int
	queue   int // commands that may wait beyond the slots
}

func (f *fleet) start(id string, cell, slots, queue int) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{fleet: f, id: id, cell: cell, ln: ln, slots: make(chan struct{}, slots), queue: queue, conns: map[net.Conn]bool{}}
	f.servers = append(f.servers, s)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) addr() string { return s.ln.Addr().String() }

// hang makes the server take connections and commands and answer nothing, until it is called with false.
func (s *server) hang(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.hung {
		s.hung, s.wake = true, make(chan struct{})
	} else if !on && s.hung {
		s.hung = false
		close(s.wake)
	}
}

func (s *server) hanging() (wake chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hung {
		return s.wake
	}
	return nil
}

func (s *server) close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	gone := make(chan struct{})
	answers := make(chan chan string, 1024)
	defer func() {
		close(gone)
		close(answers)
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	go func() {
		for a := range answers {
			if text := <-a; text != "" {
				if _, err := io.WriteString(c, text); err != nil {
					c.Close()
				}
			}
		}
	}()
	rd := bufio.NewReader(c)
	for {
		args, err := readCommand(rd)
		if err != nil {
			return
		}
		now := time.Now()
		answer := make(chan string, 1)
		answers <- answer
		go func() { answer <- s.answer(args, now, gone) }()
	}
}

func (s *server) answer(args []string, now time.Time, gone <-chan struct{}) string {
	switch args[0] {
	case "Q.ASK", "Q.DO":
	case "PING":
		return "+PONG\r\n"
	case "CLIENT", "SELECT":
		return "+OK\r\n"
	default:
		return "-ERR unknown\r\n"
	}
	a, err := parseArrival(args)
	if err != nil {
		s.fleet.rec.at(now, "server %s can't use %q: %v", s.id, args, err)
		return "-SYNTAX\r\n"
	}
	a.server, a.at = s.id, now
	s.fleet.record(a)
	if wake := s.hanging(); wake != nil {
		select {
		case <-wake:
		case <-gone:
			return ""
		}
	}
	s.mu.Lock()
	full := s.waiting >= cap(s.slots)+s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		s.fleet.rec.say("server %s turns %s away", s.id, a.id)
		return "-BUSY\r\n"
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-gone:
		return ""
	}
	t := time.NewTimer(s.fleet.work(a))
	defer t.Stop()
	select {
	case <-t.C:
	case <-gone:
		s.fleet.rec.say("server %s stops %s, its connection ended", s.id, a.id)
		return ""
	}
	if wake := s.hanging(); wake != nil {
		select {
		case <-wake:
		case <-gone:
			return ""
		}
	}
	value := valueFor(a.id)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

func valueFor(id string) string { return "value of " + id }

func parseArrival(args []string) (a arrival, err error) {
	if len(args) < 4 {
		return a, errors.New("too few words")
	}
	a.customer, a.id = args[1], args[2]
	for _, pair := range strings.Split(args[3], ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			a.class = value
		case "d":
			ms, err := strconv.Atoi(value)
			if err != nil {
				return a, err
			}
			a.wait = time.Duration(ms) * time.Millisecond
		case "units":
			if a.units, err = strconv.ParseFloat(value, 64); err != nil {
				return a, err
			}
		}
	}
	return a, nil
}

// readCommand reads an array of bulk strings.
func readCommand(rd *bufio.Reader) ([]string, error) {
	n, err := readCount(rd, '*')
	if err != nil {
		return nil, err
	}
	args := make([]string, 0, max(0, n))
	for range n {
		size, err := readCount(rd, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(rd, b); err != nil {
			return nil, err
		}
		args = append(args, string(b[:size]))
	}
	if len(args) == 0 {
		return nil, errors.New("an empty command")
	}
	return args, nil
}

func readCount(rd *bufio.Reader, kind byte) (int, error) {
	line, err := rd.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, fmt.Errorf("unexpected %q", line)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > 64<<10 {
		return 0, fmt.Errorf("a length of %q", line)
	}
	return n, nil
}
