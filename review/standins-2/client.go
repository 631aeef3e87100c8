package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// request is a request as a client sends it.
type request struct {
	id, customer, plan, class, key string
	wait                           time.Duration
	units, spread, first           int
	body                           string
}

// encode returns the command of the protocol page.
func (q *request) encode() []byte {
	list := fmt.Sprintf("c=%s,t=%s,d=%d", q.class, q.plan, q.wait.Milliseconds())
	name := "Q.ASK"
	if q.key != "" {
		name = "Q.DO"
		list += ",k=" + q.key
	}
	list += fmt.Sprintf(",units=%d,spread=%d,first=%d", q.units, q.spread, q.first)
	words := []string{name, q.customer, q.id, list}
	if q.body != "" {
		words = append(words, q.body)
	}
	return encodeWords(words...)
}

func encodeWords(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

// readAnswer reads one whole answer: a line, or the value of a bulk string behind "$".
func readAnswer(rd *bufio.Reader) (string, error) {
	line, err := rd.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if !strings.HasPrefix(line, "$") {
		return line, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return "", fmt.Errorf("a length of %q", line)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(rd, b); err != nil {
		return "", err
	}
	return "$" + string(b[:n]), nil
}

// ping asks a gateway until it answers, as the front does after a start.
func ping(addr string, within time.Duration) error {
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			var answer string
			if _, err = c.Write(encodeWords("PING")); err == nil {
				answer, err = readAnswer(bufio.NewReader(c))
			}
			c.Close()
			if err == nil && answer == "+PONG" {
				return nil
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s did not answer PING in %v: %v", addr, within, err)
		}
	}
}
