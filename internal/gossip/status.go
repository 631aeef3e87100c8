package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

const (
	statusTimeout    = time.Second // to write the status to a reader, or to read it
	statusSocketMode = 0o600
)

// listenStatus opens the local socket for the status. It replaces a socket file that no process serves.
func listenStatus(path string) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("the fleet's status: another process serves %s", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("the fleet's status: %w", err)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("the fleet's status: %w", err)
	}
	if err := os.Chmod(path, statusSocketMode); err != nil {
		ln.Close()
		return nil, fmt.Errorf("the fleet's status: %w", err)
	}
	return ln, nil
}

// serveStatus writes the status as JSON to each client that connects, one at a time, until the socket is closed.
func (e *Engine) serveStatus(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if err := c.SetDeadline(time.Now().Add(statusTimeout)); err == nil {
			err = json.NewEncoder(c).Encode(e.status.Load())
			if err != nil {
				e.log.Debug("failed to send the fleet's status", "err", err)
			}
		}
		c.Close()
	}
}

// ReadStatus reads the status of a daemon from its local socket.
func ReadStatus(ctx context.Context, path string) (*Status, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "unix", path)
	if err != nil {
		return nil, fmt.Errorf("asking a daemon: %w", err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(statusTimeout)); err != nil {
		return nil, fmt.Errorf("asking a daemon: %w", err)
	}
	var r *Status
	if err := json.NewDecoder(c).Decode(&r); err != nil {
		return nil, fmt.Errorf("reading a daemon's status: %w", err)
	}
	if r == nil {
		return nil, errors.New("the daemon has not joined its fleet yet")
	}
	return r, nil
}
