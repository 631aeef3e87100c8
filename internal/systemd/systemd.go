// Package systemd talks to the service manager that runs the daemon. It sends notices of readiness, reload, stop and liveness
// (sd_notify(3)) and takes over the sockets that the manager passed in (sd_listen_fds(3)). Without NOTIFY_SOCKET no notices are sent.
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

// Notifier sends notices to the service manager. Create it with NewNotifier.
type Notifier struct {
	log     *slog.Logger
	enabled bool
	ready   atomic.Bool
}

// NewNotifier returns a Notifier, which does nothing if no service manager asks for notices.
func NewNotifier(log *slog.Logger, getenv func(string) string) *Notifier {
	return &Notifier{log: log, enabled: getenv("NOTIFY_SOCKET") != ""}
}

func (n *Notifier) notify(state string) {
	if !n.enabled {
		return
	}
	if _, err := daemon.SdNotify(false, state); err != nil {
		n.log.Warn("sending a notice to the service manager", "err", err)
	}
}

// Ready reports that the daemon serves.
func (n *Notifier) Ready() {
	n.ready.Store(true)
	n.notify(daemon.SdNotifyReady)
}

// Reloading reports that a reload has begun. Before Ready it sends nothing.
func (n *Notifier) Reloading() {
	if n.ready.Load() {
		n.notify(daemon.SdNotifyReloading + "\n" + daemon.SdNotifyMonotonicUsec())
	}
}

// Reloaded reports that a reload has ended, successful or not. Before Ready it sends nothing.
func (n *Notifier) Reloaded() {
	if n.ready.Load() {
		n.notify(daemon.SdNotifyReady)
	}
}

// Stopping reports that the daemon is shutting down.
func (n *Notifier) Stopping() { n.notify(daemon.SdNotifyStopping) }

// RunWatchdog passes a function that sends a liveness notice to runOnLoop, twice per watchdog interval of the service manager. runOnLoop
// has to call it in the daemon's event loop, so that the notices stop if that loop hangs. RunWatchdog returns when done is closed, and at
// once if the service manager set no interval.
func (n *Notifier) RunWatchdog(runOnLoop func(then func()), done <-chan struct{}) {
	interval, err := daemon.SdWatchdogEnabled(false)
	if err != nil {
		n.log.Warn("reading the watchdog interval of the service manager", "err", err)
	}
	if interval <= 0 || err != nil {
		return
	}
	ticker := time.NewTicker(interval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			runOnLoop(func() { n.notify(daemon.SdNotifyWatchdog) })
		case <-done:
			return
		}
	}
}

// Listeners returns the listening sockets that the service manager passed in, by their names. Each name must have exactly one.
func Listeners() (map[string]net.Listener, error) {
	named, err := activation.ListenersWithNames()
	if err != nil {
		return nil, fmt.Errorf("sockets passed by the service manager: %w", err)
	}
	listeners := map[string]net.Listener{}
	for name, lns := range named {
		if len(lns) != 1 || lns[0] == nil {
			return nil, fmt.Errorf("sockets passed by the service manager: %q names %d sockets, want one that listens", name, len(lns))
		}
		listeners[name] = lns[0]
	}
	return listeners, nil
}
