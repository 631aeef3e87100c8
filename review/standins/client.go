package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// request is a client's request.
type request struct {
	id, class string
	customer  uint64
	d         time.Duration
}

var keyedClass = map[string]bool{"slot-book": true}

// newRequest returns a request of its class, from a customer of its own.
func newRequest(class string) request {
	d := 1200 * time.Millisecond
	if keyedClass[class] {
		d = 6 * time.Second
	}
	return request{id: fmt.Sprintf("%016x", rand.Uint64()), class: class, customer: rand.Uint64N(1 << 33), d: d}
}

// encode returns the request as a command.
func (r request) encode() string {
	name, key, units := "Q.ASK", "", 1
	if keyedClass[r.class] {
		name, key, units = "Q.DO", fmt.Sprintf(",k=%016x", rand.Uint64()), 2
	}
	list := fmt.Sprintf("c=%s,t=network,d=%d%s,units=%d,spread=%d,first=0", r.class, r.d.Milliseconds(), key, units, gateways)
	return command(name, fmt.Sprintf("%016x", r.customer), r.id, list)
}

func command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

// answer is a gateway's answer to a request.
type answer struct {
	kind  string // served, refused or failed
	value string
}

// readAnswer reads one whole answer.
func readAnswer(rd *bufio.Reader) (answer, error) {
	line, err := rd.ReadString('\n')
	if err != nil {
		return answer{}, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return answer{"refused", line}, nil
	case !strings.HasPrefix(line, "$"):
		return answer{"failed", line}, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return answer{"failed", line}, nil
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(rd, b); err != nil {
		return answer{}, err
	}
	return answer{"served", string(b[:n])}, nil
}

// ask sends one request on a connection of its own and reads the answer.
func (s *site) ask(gateway int, r request) (answer, error) {
	conn, err := net.Dial("tcp", s.listen[gateway])
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	return s.askOn(conn, r)
}

func (s *site) askOn(conn net.Conn, r request) (answer, error) {
	s.rec.eventf("client: sends %s c=%s", r.id, r.class)
	if _, err := io.WriteString(conn, r.encode()); err != nil {
		return answer{}, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(r.d + lateLimit)); err != nil {
		return answer{}, err
	}
	a, err := readAnswer(bufio.NewReader(conn))
	s.rec.eventf("client: %s %s %v", r.id, a.kind, err)
	return a, err
}

// lateLimit is how long after a request's time its answer may come, and only earns nothing; later it is lost.
const lateLimit = 500*time.Millisecond + 50*time.Millisecond

// usualTraffic sends usual requests to all gateways for a time, so that the gateways know how long requests take. It
// fails if few of them are served: on such a machine the case shows nothing.
func (s *site) usualTraffic(d time.Duration) error {
	const perSecond = 60
	results := make(chan answer)
	n := int(d.Seconds() * perSecond)
	go func() {
		for i := range n {
			class := "slot-lookup"
			if rand.Float64() < 0.38 {
				class = "slot-book"
			}
			go func() {
				a, _ := s.ask(i%gateways, newRequest(class))
				results <- a
			}()
			time.Sleep(time.Second / perSecond)
		}
	}()
	served := 0
	for range n {
		if a := <-results; a.kind == "served" {
			served++
		}
	}
	s.rec.logf("usual traffic: %d of %d requests served", served, n)
	if served < n*9/10 {
		return errors.New("too little of the usual traffic was served")
	}
	return nil
}
