// Package seeds is how every random test of this project gets its seed, so that the verdict of a plain "go test" is a
// function of the commit.
//
//	go test PKG              plays the test's list of fixed seeds
//	go test PKG -seed 7      plays seed 7 alone
//	go test PKG -seed 0      draws a fresh seed
//	go test PKG -rounds N    the long form: N rounds, by a fresh seed unless -seed names one
//
// Each seed is a subtest of its own, whose name repeats it. A seed that ever failed joins the test's list for good.
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
	named  = flag.String("seed", "", "play the random tests by this seed; 0 draws one; left out: each test's list")
	rounds = flag.Int("rounds", 0, "rounds of the random tests in their long form, by a fresh seed unless -seed names one; 0: the short form")
)

// Run runs a random test once for each seed: those of the test's list, or what the flags say.
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

// chooseSeeds tells which seeds to play; 0 is never one of them.
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

// Rounds is how many rounds a test is to play: short, or what -rounds says.
func Rounds(short int) int {
	if *rounds > 0 {
		return *rounds
	}
	return short
}

// Rand is the random source of a seed. A second stream of the same seed is rand.NewPCG(seed, 1), and so on.
func Rand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
