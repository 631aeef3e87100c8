package route

import (
	"math"
	"math/bits"
	"time"
)

// LatencyQuantile keep one quantile of answer times in constant memory: counts in buckets whose bounds grow by a twentieth, as in
// a DDSketch (Masson, Rim and Lee, VLDB 2019), halved with age.
//
// An answer weighs 1 and half as much after each halveAfter; one halved more than weightBits times weighs nothing. The
// quantile q is the shortest answer time that more than the share q of all weight does not exceed: where q x weight is
// whole, the next answer up, so that two ways to count a rank can't differ in which of two answers they mean. What is
// told is never under it and over it by a twentieth at most, from shortest to longest. Told too low, it would send
// second copies after the bulk of answers that are on time, and the budget would be spent when a slow one comes.
//
// All arithmetic on weights is on whole numbers, so a rank is exact however many answers there were.
type LatencyQuantile struct {
	perBillion uint64 // the quantile
	weights    [buckets]uint64
	sum        uint64
	below      uint64 // weight in the buckets before place
	place      int    // the quantile's bucket, as of the last look
	aged       time.Duration
}

const (
	buckets       = 320
	shortest      = time.Millisecond / 10 // answers are told as this long at least
	halveAfter    = 10 * time.Second
	quantileLeast = 50 // answers (by weight) without which a quantile says nothing
	weightBits    = 20 // of an answer's weight behind the point
	one           = 1 << weightBits
	billion       = 1_000_000_000
	subBits       = 4 // an octave is searched from its 16th parts, each of which meets three buckets at most
)

// bounds are the buckets' upper ones, each within its bucket. A bucket's bound is over the bound before it by a
// twentieth at most.
var bounds = makeBounds()

// longest is the longest answer time that is told apart: about ten minutes.
var longest = bounds[buckets-1]

// firsts is the bucket from which to search for an answer time, by the place of its highest bit and the subBits after.
var firsts = makeFirsts()

func makeBounds() (b [buckets]time.Duration) {
	b[0] = shortest
	for i := 1; i < buckets; i++ {
		b[i] = b[i-1] + b[i-1]/20
	}
	return b
}

func makeFirsts() (first [64 << subBits]uint16) {
	i := 0
	for at := range first {
		high, sub := at>>subBits, at&(1<<subBits-1)
		if high < subBits { // under 16 ns: the first bucket
			continue
		}
		least := uint64(1<<subBits|sub) << (high - subBits)
		for i < buckets-1 && least <= math.MaxInt64 && bounds[i] < time.Duration(least) {
			i++
		}
		first[at] = uint16(i)
	}
	return first
}

// bucketOf is the first bucket whose bound an answer time does not exceed; beyond longest, the last.
func bucketOf(took time.Duration) int {
	if took <= shortest {
		return 0
	}
	high := bits.Len64(uint64(took)) - 1
	sub := uint64(took) >> (high - subBits) & (1<<subBits - 1)
	i := int(firsts[uint64(high)<<subBits|sub])
	for i < buckets-1 && bounds[i] < took {
		i++
	}
	return i
}

// NewLatencyQuantile keeps a quantile, from 0 to less than 1, to nine digits.
func NewLatencyQuantile(q float64) *LatencyQuantile {
	return &LatencyQuantile{perBillion: uint64(math.Round(q * billion))}
}

// Add counts an answer.
func (t *LatencyQuantile) Add(took, now time.Duration) {
	t.age(now)
	i := bucketOf(took)
	t.weights[i] += one
	t.sum += one
	if i < t.place {
		t.below += one
	}
}

// age halves all weights for each halveAfter that has passed.
func (t *LatencyQuantile) age(now time.Duration) {
	if t.aged == 0 {
		t.aged = now
	}
	if now-t.aged < halveAfter {
		return
	}
	halvings := (now - t.aged) / halveAfter
	t.aged += halvings * halveAfter
	t.sum, t.below, t.place = 0, 0, 0
	for i := range t.weights {
		t.weights[i] >>= min(halvings, 64)
		t.sum += t.weights[i]
	}
}

// Quantile is the quantile of the answers so far, or 0 while they weigh less than quantileLeast. An answer after the
// last look moves it by few buckets, so that a look costs little.
func (t *LatencyQuantile) Quantile(now time.Duration) time.Duration {
	t.age(now)
	if t.sum < quantileLeast*one {
		return 0
	}
	hi, lo := bits.Mul64(t.sum, t.perBillion)
	rank, _ := bits.Div64(hi, lo, billion) // weight up to and with the quantile's is more than this
	for t.below > rank {
		t.place--
		t.below -= t.weights[t.place]
	}
	for t.below+t.weights[t.place] <= rank {
		t.below += t.weights[t.place]
		t.place++
	}
	return bounds[t.place]
}
