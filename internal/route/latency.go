package route

import (
	"math"
	"math/bits"
	"time"
)

// LatencyQuantile estimates one quantile of response latencies in constant memory. It counts samples in buckets whose
// bounds grow by 5%, as in a DDSketch (Masson, Rim and Lee, VLDB 2019), and halves the counts with age.
//
// A sample has a weight of 1 that is halved every halfLife; after more than weightBits halvings it is 0. The quantile q
// is the lowest latency such that samples up to and including it have more than the fraction q of the total weight.
// Where q x weight is a whole number, that is the next higher sample, so that the rank is unambiguous. The estimate is
// never below this value and at most 5% above it, between minLatency and maxLatency. An estimate that is too low would
// hedge the bulk of requests that are on time, and the retry budget would be spent before a slow one needs it.
//
// Weights are integers, so a rank is exact for any number of samples.
type LatencyQuantile struct {
	quantilePerBillion uint64 // the quantile that is estimated
	weights            [bucketCount]uint64
	totalWeight        uint64
	weightBelow        uint64        // weight in the buckets before current
	current            int           // the bucket of the quantile at the last call of Quantile
	decayedAt          time.Duration // time of the last halving
}

const (
	bucketCount = 320
	minLatency  = time.Millisecond / 10 // upper bound of the first bucket; the lowest estimate
	halfLife    = 10 * time.Second
	minSamples  = 50 // total weight below which there is no estimate
	weightBits  = 20 // fractional bits of a weight
	unitWeight  = 1 << weightBits
	billion     = 1_000_000_000
	subBits     = 4 // an octave is divided into 16 parts, each of which overlaps at most three buckets
)

// bucketBounds are the inclusive upper bounds of the buckets. Each is at most 5% above the one before it.
var bucketBounds = makeBucketBounds()

// maxLatency is the bound of the last bucket, about ten minutes. Longer latencies count as this one.
var maxLatency = bucketBounds[bucketCount-1]

// firstBuckets holds the bucket at which the search for a latency starts, indexed by the position of its highest bit and
// the subBits bits after it.
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

// bucketIndex returns the first bucket whose bound a latency does not exceed, or the last one above maxLatency.
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

// NewLatencyQuantile returns an estimator of the quantile q, with 0 <= q < 1, which is rounded to nine decimal places.
func NewLatencyQuantile(q float64) *LatencyQuantile {
	return &LatencyQuantile{quantilePerBillion: uint64(math.Round(q * billion))}
}

// Add records the latency of a response.
func (t *LatencyQuantile) Add(latency, now time.Duration) {
	t.decay(now)
	i := bucketIndex(latency)
	t.weights[i] += unitWeight
	t.totalWeight += unitWeight
	if i < t.current {
		t.weightBelow += unitWeight
	}
}

// decay halves all weights once for each halfLife that has passed.
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

// Quantile returns the estimate, or 0 while the total weight is below minSamples. The search starts at the bucket of the
// last call, as a few samples move the quantile by few buckets.
func (t *LatencyQuantile) Quantile(now time.Duration) time.Duration {
	t.decay(now)
	if t.totalWeight < minSamples*unitWeight {
		return 0
	}
	hi, lo := bits.Mul64(t.totalWeight, t.quantilePerBillion)
	rank, _ := bits.Div64(hi, lo, billion) // the weight up to and including the quantile's bucket exceeds this
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
