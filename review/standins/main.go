// Command review-standins plays the cases of the review: it starts gateways with the run line of the deploy file and
// stands in for clients, servers and discovery. Its arguments are the name of a scenario and the file for the record.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not be played. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const playLimit = 95 * time.Second

// scenario plays a case and reports what it found broken; an error says why it could not be played.
type scenario func(s *site, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"late-second":   lateSecond,
	"long-answers":  longAnswers,
	"restart":       restart,
	"restart-whole": restartWhole,
	"leave-drain":   leaveDrain,
	"leave-behind":  leaveBehind,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins SCENARIO RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	signals := make(chan os.Signal, 1) // before the first process starts: a signal must not leave it behind
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	s, err := newSite(rec)
	defer s.close()
	if err != nil {
		rec.logf("could not be played: %v", err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("scenario %s, disruption %v", os.Args[1], trouble)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scenarios[os.Args[1]](s, trouble)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case sig := <-signals:
		r.err = fmt.Errorf("ended by %v", sig)
	case <-time.After(playLimit):
		r.err = fmt.Errorf("not finished after %v", playLimit)
	}
	switch {
	case r.err != nil:
		rec.logf("could not be played: %v", r.err)
		return 2
	case len(r.broken) > 0:
		for _, b := range r.broken {
			rec.logf("BROKEN: %s", b)
		}
		rec.logf("result: the rule was broken (%d)", len(r.broken))
		return 1
	}
	rec.logf("result: the rule held")
	return 0
}

// record writes what was sent, answered and run to a file, with the time since its start. Results go to standard
// output as well.
type record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *record) eventf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// logf writes a line to standard output as well.
func (r *record) logf(format string, args ...any) {
	r.eventf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
