package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sloepick/deploy/example"
	"sloepick/internal/testbed"
)

var cost = flag.Bool("cost", false, "measure the cost of the operators' file")

// TestCostOfTheFile starts gateways without an operators' file, with the shipped example and with the block power, in turn, runs the same
// traffic against each, and logs its memory at the start and its CPU time per request.
func TestCostOfTheFile(t *testing.T) {
	if !*cost {
		t.Skip("a measurement; -cost runs it")
	}
	parts := []string{}
	for _, name := range []string{"gateway.d/10-gateway.sloe", "routes.sloe", example.Root} {
		text, err := example.Files.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		parts = append(parts, strings.ReplaceAll(string(text), "\ninclude", "\n# include"))
	}
	for range 4 {
		for name, file := range map[string]string{"no file": "", "the example": strings.Join(parts, ""), "power": "power {\n keep = \"power\"\n}\n"} {
			r := newHarness(t, file)
			memory := r.procField("status", "VmRSS:")
			before, n := r.cpuTicks(), atomic.Int64{}
			ctx, cancel := context.WithTimeout(r.ctx, 6*time.Second)
			load := testbed.LoadGenerator{Gateways: []string{r.endpoint.Listen}, Classes: r.site.Platform.Classes, Seed: 1, OnResult: func(testbed.RequestResult) { n.Add(1) }}
			load.Customers = testbed.Customers(40, "network", 20)
			load.Run(ctx)
			cancel()
			t.Logf("%s: %s KB at the start, %.0f us per request over %d", name, memory,
				float64(r.cpuTicks()-before)*1e4/float64(n.Load()), n.Load())
			r.gateway.Kill()
		}
	}
}

// procField returns the value after field in /proc/PID/file of the gateway's process.
func (r *harness) procField(file, field string) string {
	r.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", r.gateway.PID(), file))
	if err != nil {
		r.t.Skip(err)
	}
	_, rest, _ := strings.Cut(string(b), field)
	return strings.Fields(rest)[0]
}

// cpuTicks returns the CPU time that the gateway has used, in hundredths of a second.
func (r *harness) cpuTicks() (sum int64) {
	r.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.gateway.PID()))
	if err != nil {
		r.t.Skip(err)
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')'):]))
	for _, f := range fields[12:14] { // utime and stime, fields 14 and 15 of the line (proc(5))
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			r.t.Fatal(err)
		}
		sum += n
	}
	return sum
}
