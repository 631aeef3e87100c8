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
	quantilePerBillion uint64 // the quantile
	weights            [bucketCount]uint64
	totalWeight        uint64
	weightBelow        uint64 // weight in the buckets before place
	current            int    // the quantile's bucket, as of the last look
	decayedAt          time.Duration
}

const (
	bucketCount = 320
	minLatency  = time.Millisecond / 10 // answers are told as this long at least
	halfLife    = 10 * time.Second
	minSamples  = 50 // answers (by weight) without which a quantile says nothing
	weightBits  = 20 // of an answer's weight behind the point
	unitWeight  = 1 << weightBits
	billion     = 1_000_000_000
	subBits     = 4 // an octave is searched from its 16th parts, each of which meets three buckets at most
)

// bucketBounds are the buckets' upper ones, each within its bucket. A bucket's bound is over the bound before it by a
// twentieth at most.
var bucketBounds = makeBucketBounds()

// maxLatency is the maxLatency answer time that is told apart: about ten minutes.
var maxLatency = bucketBounds[bucketCount-1]

// firstBuckets is the bucket from which to search for an answer time, by the place of its highest bit and the subBits after.
var firstBuckets = makeFirstBuckets()

func makeBucketBounds() (b [bucketCount]time.Duration) {
	b[0] = minLatency
	for i := 1; i < bucketCount; i++ {
		b[i] = b[i-1] + b[i-1]/20
	}
	return b
}

func makeFirstBuckets() (first [64 << subBits]uint16) {
	i := 0
	for at := range first {
		high, sub := at>>subBits, at&(1<<subBits-1)
		if high < subBits { // under 16 ns: the first bucket
			continue
		}
		least := uint64(1<<subBits|sub) << (high - subBits)
		for i < bucketCount-1 && least <= math.MaxInt64 && bucketBounds[i] < time.Duration(least) {
			i++
		}
		first[at] = uint16(i)
	}
	return first
}

// bucketIndex is the first bucket whose bound an answer time does not exceed; beyond longest, the last.
func bucketIndex(took time.Duration) int {
	if took <= minLatency {
		return 0
	}
	high := bits.Len64(uint64(took)) - 1
	sub := uint64(took) >> (high - subBits) & (1<<subBits - 1)
	i := int(firstBuckets[uint64(high)<<subBits|sub])
	for i < bucketCount-1 && bucketBounds[i] < took {
		i++
	}
	return i
}

// NewLatencyQuantile keeps a quantile, from 0 to less than 1, to nine digits.
func NewLatencyQuantile(q float64) *LatencyQuantile {
	return &LatencyQuantile{quantilePerBillion: uint64(math.Round(q * billion))}
}

// Add counts an answer.
func (t *LatencyQuantile) Add(latency, now time.Duration) {
	t.decay(now)
	i := bucketIndex(latency)
	t.weights[i] += unitWeight
	t.totalWeight += unitWeight
	if i < t.current {
		t.weightBelow += unitWeight
	}
}

// decay halves all weights for each halveAfter that has passed.
func (t *LatencyQuantile) decay(now time.Duration) {
	if t.decayedAt == 0 {
		t.decayedAt = now
	}
	if now-t.decayedAt < halfLife {
		return
	}
	halvings := (now - t.decayedAt) / halfLife
	t.decayedAt += halvings * halfLife
	t.totalWeight, t.weightBelow, t.current = 0, 0, 0
	for i := range t.weights {
		t.weights[i] >>= min(halvings, 64)
		t.totalWeight += t.weights[i]
	}
}

// Quantile is the quantile of the answers so far, or 0 while they weigh less than quantileLeast. An answer after the
// last look moves it by few buckets, so that a look costs little.
func (t *LatencyQuantile) Quantile(now time.Duration) time.Duration {
	t.decay(now)
	if t.totalWeight < minSamples*unitWeight {
		return 0
	}
	hi, lo := bits.Mul64(t.totalWeight, t.quantilePerBillion)
	rank, _ := bits.Div64(hi, lo, billion) // weight up to and with the quantile's is more than this
	for t.weightBelow > rank {
		t.current--
		t.weightBelow -= t.weights[t.current]
	}
	for t.weightBelow+t.weights[t.current] <= rank {
		t.weightBelow += t.weights[t.current]
		t.current++
	}
	return bucketBounds[t.current]
}
