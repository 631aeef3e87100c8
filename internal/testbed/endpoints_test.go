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

// TestEndpointsOfProcessesAreDisjoint checks that concurrent processes, each of which allocates as many endpoints
// as a large fleet needs and does not listen on them yet, never get the same ones. When port ranges were chosen by
// process id, concurrent test suites failed with "bind: address already in use".
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
		fmt.Println("endpoints:", strings.Join(addrs, " "))
		io.Copy(io.Discard, os.Stdin) // until the parent has read all
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
		defer func() { // close all inputs before waiting for any child
			in.Close()
			children = append(children, cmd)
		}()
		line, err := bufio.NewReader(out).ReadString('\n')
		list, ok := strings.CutPrefix(line, "endpoints: ")
		if err != nil || !ok {
			t.Fatalf("child %d printed %q, %v", child, line, err)
		}
		for _, addr := range strings.Fields(list) {
			if other, taken := owner[addr]; taken {
				t.Fatalf("%s was allocated to children %d and %d", addr, other, child)
			}
			owner[addr] = child
		}
	}
}
