// Package seeds selects the seeds of randomized tests. A plain "go test" runs fixed seeds, so that its result
// depends on the commit alone.
//
//	go test PKG              runs the test's list of fixed seeds
//	go test PKG -seed 7      runs seed 7 only
//	go test PKG -seed 0      draws a new seed
//	go test PKG -rounds N    runs the long form: N rounds, with a new seed unless -seed gives one
//
// Each seed is a subtest with the seed in its name. A seed that ever failed is added to the test's list and stays
// there.
package seeds

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

var (
	named  = flag.String("seed", "", "run the randomized tests with this seed; 0 draws one; without it each test's list is run")
	rounds = flag.Int("rounds", 0, "rounds of the randomized tests in their long form, with a new seed unless -seed gives one; 0: the short form")
)

// Run runs a randomized test once for each seed: those of the test's list, or the one that the flags select.
func Run(t *testing.T, list []uint64, test func(t *testing.T, seed uint64)) {
	t.Helper()
	chosen, err := chooseSeeds(list, *named, *rounds)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range chosen {
		t.Run(fmt.Sprintf("seed=%d", s), func(t *testing.T) {
			t.Logf("-seed %d", s)
			test(t, s)
		})
	}
}

// chooseSeeds returns the seeds to run. A drawn seed is never 0.
func chooseSeeds(list []uint64, named string, rounds int) ([]uint64, error) {
	s, err := uint64(0), error(nil)
	switch {
	case named != "":
		if s, err = strconv.ParseUint(named, 10, 64); err != nil {
			return nil, fmt.Errorf("-seed %q is not a number from 0 to 2^64-1", named)
		}
	case rounds == 0:
		return list, nil
	}
	if s == 0 {
		s = uint64(time.Now().UnixNano())
	}
	return []uint64{s}, nil
}

// Rounds returns how many rounds a test should run: short, or the value of -rounds.
func Rounds(short int) int {
	if *rounds > 0 {
		return *rounds
	}
	return short
}

// Rand returns the random source of a seed. A second stream of the same seed is rand.NewPCG(seed, 1), and so on.
func Rand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
