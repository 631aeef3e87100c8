package testbed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
)

// ProcessLog keeps what a process writes to its standard error. It is safe for concurrent use.
type ProcessLog struct {
	mu      sync.Mutex
	text    bytes.Buffer
	changed chan struct{}
}

func (l *ProcessLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	return l.text.Write(b)
}

func (l *ProcessLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// WaitFor waits until the log contains the text at least n times.
func (l *ProcessLog) WaitFor(ctx context.Context, text string, n int) error {
	for {
		l.mu.Lock()
		if strings.Count(l.text.String(), text) >= n {
			l.mu.Unlock()
			return nil
		}
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("waiting for %q: %w", text, ctx.Err())
		}
	}
}

// Process is a gateway process that this program started.
type Process struct {
	Log     *ProcessLog
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// StartProcess starts a command and keeps its standard error. It puts the process into a group of its own, so that
// an interrupt at the terminal does not reach it.
func StartProcess(cmd *exec.Cmd) (*Process, error) {
	p := &Process{Log: &ProcessLog{}, cmd: cmd, exited: make(chan struct{})}
	cmd.Stderr = p.Log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting a gateway: %w", err)
	}
	go func() {
		defer close(p.exited)
		p.exitErr = cmd.Wait()
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// WaitReady waits until the gateway has answered a PING.
func (p *Process) WaitReady(ctx context.Context, addr string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		if answersPing(addr, deadline) {
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("a gateway exited while starting: %w\n%s", p.exitErr, p.Log)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("the gateway at %s did not answer a PING in time", addr)
}

func answersPing(addr string, deadline time.Time) bool {
	c, err := Dial(addr)
	if err != nil {
		return false
	}
	defer c.Close()
	if c.Conn.SetDeadline(deadline) != nil || c.Send("PING") != nil {
		return false
	}
	reply, err := c.Read()
	return err == nil && reply == "+PONG"
}

// Stop sends SIGTERM and waits for the exit. It returns an error if the process had exited before, fails or does
// not exit in time.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		<-p.exited
		return fmt.Errorf("the process had already exited: %v\n%s", p.exitErr, p.Log)
	}
	select {
	case <-p.exited:
		if p.exitErr != nil {
			return fmt.Errorf("%w\n%s", p.exitErr, p.Log)
		}
		return nil
	case <-time.After(stopTimeout):
		return errors.New("the process did not exit in time after SIGTERM")
	}
}

// Kill kills the process if it still runs, and waits for its exit.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

var peakMemoryLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// PeakMemoryMB returns the highest resident memory that the process has had, in MB. The process must be running.
func (p *Process) PeakMemoryMB() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, err
	}
	match := peakMemoryLine.FindSubmatch(status)
	if match == nil {
		return 0, fmt.Errorf("no VmHWM in %s", status)
	}
	kilobytes, err := strconv.Atoi(string(match[1]))
	return kilobytes >> 10, err
}
