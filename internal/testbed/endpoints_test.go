package testbed

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"
)

const childEnv = "SLOEPICK_TEST_PLACES"

// TestEndpointsOfProcessesAreDisjoint: processes side by side, each of which is given as many places as a large fleet has and does not listen
// there yet, are never given the same. Where parts of the range went by process ids this failed at once, and by chance in test suites side by
// side: "bind: address already in use".
func TestEndpointsOfProcessesAreDisjoint(t *testing.T) {
	if os.Getenv(childEnv) != "" {
		endpoints, err := AllocateEndpoints(100)
		if err != nil {
			t.Fatal(err)
		}
		var addrs []string
		for _, p := range endpoints {
			addrs = append(addrs, p.Listen)
		}
		fmt.Println("places:", strings.Join(addrs, " "))
		io.Copy(io.Discard, os.Stdin) // until the parent has all
		return
	}
	owner := map[string]int{}
	var children []*exec.Cmd
	defer func() {
		for _, cmd := range children {
			cmd.Wait()
		}
	}()
	for child := range 6 {
		cmd := exec.Command(os.Args[0], "-test.run=^TestEndpointsOfProcessesAreDisjoint$")
		cmd.Env = append(os.Environ(), childEnv+"=1")
		in, err := cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { // all are told to end before any is waited for
			in.Close()
			children = append(children, cmd)
		}()
		line, err := bufio.NewReader(out).ReadString('\n')
		list, ok := strings.CutPrefix(line, "places: ")
		if err != nil || !ok {
			t.Fatalf("child %d says %q, %v", child, line, err)
		}
		for _, addr := range strings.Fields(list) {
			if other, taken := owner[addr]; taken {
				t.Fatalf("%s is given to children %d and %d", addr, other, child)
			}
			owner[addr] = child
		}
	}
}
