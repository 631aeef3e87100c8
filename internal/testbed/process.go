package testbed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startWithin = 20 * time.Second
	stopWithin  = 20 * time.Second
)

// ProcessLog keeps what a process writes. It is safe for concurrent use.
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

// WaitFor waits until the text holds a piece for the nth time.
func (l *ProcessLog) WaitFor(ctx context.Context, piece string, n int) error {
	for {
		l.mu.Lock()
		if strings.Count(l.text.String(), piece) >= n {
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
			return fmt.Errorf("waiting for %q: %w", piece, ctx.Err())
		}
	}
}

// Process is a gateway's process that this program started.
type Process struct {
	Log    *ProcessLog
	cmd    *exec.Cmd
	ended  chan struct{}
	result error
}

// StartProcess starts a command, whose standard error is kept. An interrupt at the terminal does not reach it.
func StartProcess(cmd *exec.Cmd) (*Process, error) {
	p := &Process{Log: &ProcessLog{}, cmd: cmd, ended: make(chan struct{})}
	cmd.Stderr = p.Log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting a gateway: %w", err)
	}
	go func() {
		defer close(p.ended)
		p.result = cmd.Wait()
	}()
	return p, nil
}

// PID is the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends it a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// WaitReady waits until the gateway has answered a PING.
func (p *Process) WaitReady(ctx context.Context, addr string) error {
	for end := time.Now().Add(startWithin); time.Now().Before(end); {
		if pong(addr, end) {
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("a gateway ended at its start: %w\n%s", p.result, p.Log)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("the gateway at %s does not answer", addr)
}

func pong(addr string, end time.Time) bool {
	c, err := Dial(addr)
	if err != nil {
		return false
	}
	defer c.Close()
	if c.Conn.SetDeadline(end) != nil || c.Send("PING") != nil {
		return false
	}
	got, err := c.Read()
	return err == nil && got == "+PONG"
}

// Stop ends it as an operator would, and returns why it did not end well.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		<-p.ended
		return fmt.Errorf("it had ended before: %v\n%s", p.result, p.Log)
	}
	select {
	case <-p.ended:
		if p.result != nil {
			return fmt.Errorf("%w\n%s", p.result, p.Log)
		}
		return nil
	case <-time.After(stopWithin):
		return errors.New("it does not end")
	}
}

// Kill ends it at once, if it has not ended.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.ended
}
