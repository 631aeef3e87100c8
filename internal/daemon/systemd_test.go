package daemon

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloepick/internal/testbed"
)

// serviceManager is a fake service manager: it receives notifications, and holds a listening socket that it passes to one process
// after another.
type serviceManager struct {
	t        *testing.T
	notices  *net.UnixConn
	socket   string
	listener *os.File
	addr     string
}

func newServiceManager(t *testing.T) *serviceManager {
	t.Helper()
	m := &serviceManager{t: t, socket: filepath.Join(t.TempDir(), "notify")}
	var err error
	if m.notices, err = net.ListenUnixgram("unixgram", &net.UnixAddr{Name: m.socket, Net: "unixgram"}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.notices.Close() })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m.addr = ln.Addr().String()
	if m.listener, err = ln.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	ln.Close() // the duplicate in m.listener stays open
	t.Cleanup(func() { m.listener.Close() })
	return m
}

// next returns the next notification other than a watchdog ping.
func (m *serviceManager) next() string {
	m.t.Helper()
	for {
		if text := m.read(); text != "WATCHDOG=1" {
			return text
		}
	}
}

func (m *serviceManager) read() string {
	m.t.Helper()
	if err := m.notices.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		m.t.Fatal(err)
	}
	b := make([]byte, 4096)
	n, err := m.notices.Read(b)
	if err != nil {
		m.t.Fatal(err)
	}
	return string(b[:n])
}

func (m *serviceManager) expect(notice string) {
	m.t.Helper()
	if got := m.next(); !strings.HasPrefix(got, notice) {
		m.t.Fatalf("got the notification %q, want %q", got, notice)
	}
}

// start starts the daemon as a service manager does. The shell sets LISTEN_PID, as its process ID is that of the daemon.
func (m *serviceManager) start(platform, names string) *testbed.Process {
	m.t.Helper()
	cmd := exec.Command("/bin/sh", "-c", `LISTEN_PID=$$ exec "$0"`, os.Args[0])
	cmd.ExtraFiles = []*os.File{m.listener}
	cmd.Env = append(os.Environ(), "DAEMON_TEST_MAIN=1", "GW_CONFIG="+platform, "GW_OPERATOR=", "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=",
		"NOTIFY_SOCKET="+m.socket, "WATCHDOG_USEC=100000", "LISTEN_FDS=1", "LISTEN_FDNAMES="+names)
	p, err := testbed.StartProcess(cmd)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(p.Kill)
	return p
}

// TestServiceManager checks that a service manager is notified when the daemon is ready, reloads, is alive and stops. As the socket
// belongs to the manager, no client is refused between the end of one process and the start of the next.
func TestServiceManager(t *testing.T) {
	site, err := testbed.NewSite(testbed.SmallPlatform(), 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	endpoints, err := testbed.AllocateEndpoints(1)
	if err != nil {
		t.Fatal(err)
	}
	text, err := site.Platform.GatewayConfig(0, endpoints, site.Discovery.Addr().String(), 1, site.ServerList())
	if err != nil {
		t.Fatal(err)
	}
	platform := filepath.Join(t.TempDir(), "platform.json")
	must(t, os.WriteFile(platform, text, 0o600))
	m := newServiceManager(t)

	p := m.start(platform, "clients")
	m.expect("READY=1")
	ask := func(id string) {
		t.Helper()
		c, err := testbed.Dial(m.addr)
		must(t, err)
		defer c.Close()
		must(t, c.Conn.SetDeadline(time.Now().Add(20*time.Second)))
		must(t, c.Send("Q.ASK", "0000000000000001", id, "c=slot-lookup,t=network,d=1200,units=1,spread=1,first=0"))
		if got, err := c.Read(); err != nil || got != "$"+testbed.ReplyValue(id) {
			t.Errorf("got %q, %v", got, err)
		}
	}
	ask("00000001")
	if got := m.read(); got != "WATCHDOG=1" {
		t.Errorf("got %q, want a watchdog ping", got)
	}
	must(t, p.Signal(syscall.SIGHUP))
	m.expect("RELOADING=1\nMONOTONIC_USEC=")
	m.expect("READY=1")
	must(t, p.Signal(syscall.SIGTERM))
	m.expect("STOPPING=1")
	served := make(chan struct{})
	must(t, p.Stop())
	go func() { // between the processes the connection waits in the socket's backlog
		defer close(served)
		ask("00000002")
	}()
	m.start(platform, "clients")
	m.expect("READY=1")
	<-served

	misnamed := m.start(platform, "nobody")
	must(t, misnamed.Log.WaitFor(t.Context(), `a socket named "nobody" was passed in, but no listener has that name`, 1))
	if err := misnamed.Stop(); err == nil {
		t.Error("a socket without a listener is no error")
	}
}
