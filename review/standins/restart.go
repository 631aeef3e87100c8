package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// stream is a client's connection on which requests go out at a steady pace, each in two pieces: the second half of a
// command goes out in one write with the first half of the next.
type stream struct {
	conn net.Conn

	mu       sync.Mutex
	sent     []request // whole
	sentAt   []time.Time
	answered int
	ended    error
}

// send goes on until the connection fails or stop is closed.
func (c *stream) send(s *site, pace time.Duration, pieces bool, stop <-chan struct{}) {
	rest, next := "", newRequest("slot-lookup")
	for i := 1; ; i++ {
		after := newRequest("slot-lookup")
		if i%2 == 0 {
			after = newRequest("slot-book")
		}
		cmd := next.encode()
		half := len(cmd) / 2
		if !pieces {
			half = 0
		}
		if rest != "" {
			c.mu.Lock()
			c.sent, c.sentAt = append(c.sent, next), append(c.sentAt, time.Now())
			c.mu.Unlock()
			s.rec.eventf("client %v: sends the end of %s", c.conn.LocalAddr(), next.id)
			next = after
			cmd = next.encode()
		}
		if _, err := io.WriteString(c.conn, rest+cmd[:half]); err != nil {
			return
		}
		rest = cmd[half:]
		select {
		case <-stop:
			return
		case <-time.After(pace):
		}
	}
}

// read reads answers until the connection ends.
func (c *stream) read(s *site) {
	rd := bufio.NewReader(c.conn)
	for {
		a, err := readAnswer(rd)
		c.mu.Lock()
		if err == nil && c.answered == len(c.sent) {
			err = errors.New("an answer that nothing asked for")
		}
		if err != nil {
			c.ended = err
			c.mu.Unlock()
			s.rec.eventf("client %v: the connection ended: %v", c.conn.LocalAddr(), err)
			return
		}
		id := c.sent[c.answered].id
		c.answered++
		c.mu.Unlock()
		s.rec.eventf("client %v: %s %s", c.conn.LocalAddr(), id, a.kind)
	}
}

// restart: a gateway is told to end, while clients send on the connections that they have, in pieces, for as long as
// these stay open. SIGKILL comes as late as the pages ask for. What was forwarded must have its answer by then.
func restart(s *site, trouble bool) (broken []string, err error) {
	return playRestart(s, trouble, true)
}

// restartWhole is the same with each command in one write.
func restartWhole(s *site, trouble bool) (broken []string, err error) {
	return playRestart(s, trouble, false)
}

func playRestart(s *site, trouble, pieces bool) (broken []string, err error) {
	const (
		connections = 8
		pace        = 125 * time.Millisecond
		killAfter   = 6*time.Second + 700*time.Millisecond // the longest deadline and 0.7 s
		lateAfter   = 700 * time.Millisecond
	)
	if err := s.usualTraffic(warmUp); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var senders, readers sync.WaitGroup
	var streams []*stream
	for range connections {
		conn, err := net.Dial("tcp", s.listen[0])
		if err != nil {
			return nil, err
		}
		defer conn.Close()
		c := &stream{conn: conn}
		streams = append(streams, c)
		senders.Go(func() { c.send(s, pace, pieces, stop) })
		readers.Go(func() { c.read(s) })
		time.Sleep(pace / connections)
	}
	time.Sleep(time.Second)
	signalAt := time.Now()
	if trouble {
		s.rec.eventf("SIGTERM to gateway 0")
		if err := s.processes[0].Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	time.Sleep(killAfter)
	if trouble {
		s.rec.eventf("SIGKILL to gateway 0")
		s.processes[0].Kill()
		readers.Wait()
	}
	close(stop)
	senders.Wait()
	if !trouble {
		time.Sleep(2 * time.Second)
	}
	sent, answered, forwarded := 0, 0, 0
	for _, c := range streams {
		c.mu.Lock()
		defer c.mu.Unlock()
		sent, answered = sent+len(c.sent), answered+c.answered
		for i, r := range c.sent {
			came := c.sentAt[i].Sub(signalAt)
			arrivals := s.journal.of(r.id)
			if trouble && came > lateAfter && len(arrivals) > 0 {
				forwarded++
			}
			if i >= c.answered && len(arrivals) > 0 && (came > lateAfter || !trouble) {
				broken = append(broken, fmt.Sprintf("%s %s came %.3f s after SIGTERM, was forwarded to %s and has no answer: %v", r.class, r.id,
					came.Seconds(), arrivals[0].server, c.ended))
			}
		}
	}
	slices.Sort(broken)
	s.rec.logf("%d requests, %d answered; %d that came over %v after SIGTERM were forwarded", sent, answered, forwarded, lateAfter)
	return broken, nil
}
