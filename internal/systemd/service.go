// Package service speaks with the manager that runs the daemon: notices of readiness, reload, end and life by its datagram protocol
// (sd_notify(3)), and sockets that it passes in (sd_listen_fds(3)). Where no manager named a socket for notices, nothing is sent.
package systemd

import (
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/coreos/go-systemd/v22/activation"
	"github.com/coreos/go-systemd/v22/daemon"
)

// Notifier is who runs the daemon. Make it with New.
type Notifier struct {
	log     *slog.Logger
	present bool
	ready   atomic.Bool
}

// NewNotifier finds the manager, if there is one.
func NewNotifier(log *slog.Logger, getenv func(string) string) *Notifier {
	return &Notifier{log: log, present: getenv("NOTIFY_SOCKET") != ""}
}

func (m *Notifier) say(state string) {
	if !m.present {
		return
	}
	if _, err := daemon.SdNotify(false, state); err != nil {
		m.log.Warn("telling the service manager", "err", err)
	}
}

// Ready tells that the daemon serves.
func (m *Notifier) Ready() {
	m.ready.Store(true)
	m.say(daemon.SdNotifyReady)
}

// Reloading tells that a reload has begun. Before the daemon is ready nothing is told of it.
func (m *Notifier) Reloading() {
	if m.ready.Load() {
		m.say(daemon.SdNotifyReloading + "\n" + daemon.SdNotifyMonotonicUsec())
	}
}

// Reloaded tells that it has ended, well or not.
func (m *Notifier) Reloaded() {
	if m.ready.Load() {
		m.say(daemon.SdNotifyReady)
	}
}

// Stopping tells that the daemon ends.
func (m *Notifier) Stopping() { m.say(daemon.SdNotifyStopping) }

// RunWatchdog tells, twice in the time that the manager set, that the daemon lives: as often as alive has been called back. It returns
// when done is closed, and at once where the manager set no time.
func (m *Notifier) RunWatchdog(alive func(then func()), done <-chan struct{}) {
	every, err := daemon.SdWatchdogEnabled(false)
	if err != nil {
		m.log.Warn("reading the service manager's watchdog", "err", err)
	}
	if every <= 0 || err != nil {
		return
	}
	t := time.NewTicker(every / 2)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			alive(func() { m.say(daemon.SdNotifyWatchdog) })
		case <-done:
			return
		}
	}
}

// Listeners are the listeners that the manager passed in, by the names that it gave them. A name must stand for one.
func Listeners() (map[string]net.Listener, error) {
	named, err := activation.ListenersWithNames()
	if err != nil {
		return nil, fmt.Errorf("sockets of the service manager: %w", err)
	}
	all := map[string]net.Listener{}
	for name, lns := range named {
		if len(lns) != 1 || lns[0] == nil {
			return nil, fmt.Errorf("sockets of the service manager: %q names %d, or none that listens", name, len(lns))
		}
		all[name] = lns[0]
	}
	return all, nil
}
