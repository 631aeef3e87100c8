package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"sloepick/internal/testbed/seeds"
)

// checkQuantile fails the test unless the estimate is at least the exact quantile and at most 5% above it.
func checkQuantile(t *testing.T, got, exact time.Duration, what string, args ...int) {
	t.Helper()
	if want := max(exact, minLatency); got < want || got > want+want/20 {
		t.Fatalf("%s %v: got %v, the exact quantile is %v", what, args, got, exact)
	}
}

// allPerMille returns all quantiles that the schema allows, in tenths of a percent.
func allPerMille() (all []int) {
	for q := 500; q <= 999; q++ {
		all = append(all, q)
	}
	return all
}

// TestQuantileOfRandomLatencies compares estimates for 20,000 exponentially distributed latencies with the exact ones. The
// three long seeds are regressions: the quantile 0.999 was one rank too low, as 0.999 x 20,000 is a whole number.
func TestQuantileOfRandomLatencies(t *testing.T) {
	seeds.Run(t, []uint64{1796123194424894679, 1796123196420768847, 1796123200026887706, 1}, func(t *testing.T, seed uint64) {
		quantileOfRandomLatencies(t, seeds.Rand(seed))
	})
}

func quantileOfRandomLatencies(t *testing.T, r *rand.Rand) {
	var all []time.Duration
	for range 20000 {
		all = append(all, time.Duration(r.ExpFloat64()*float64(80*time.Millisecond)))
	}
	sorted := slices.Sorted(slices.Values(all))
	for _, q := range []float64{0.5, 0.9, 0.95, 0.99, 0.999} {
		times := NewLatencyQuantile(q)
		for _, d := range all {
			times.Add(d, time.Second)
		}
		checkQuantile(t, times.Quantile(time.Second), sorted[int(q*float64(len(all)))], fmt.Sprint(q))
	}
}

// spacedLatencies returns latencies far enough apart that a wrong rank results in a wrong bucket. Each value occurs several
// times, and their order spreads new values over the whole range of earlier ones.
func spacedLatencies(n int) (all []time.Duration) {
	for i := range n {
		all = append(all, time.Duration(float64(time.Millisecond)*math.Pow(1.11, float64(i*61%101))))
	}
	return all
}

// TestQuantileAtEveryCount compares the estimate with the exact quantile after each of 2,000 samples, for every quantile
// that the schema allows in tenths of a percent.
func TestQuantileAtEveryCount(t *testing.T) {
	qs, answers := allPerMille(), spacedLatencies(2000)
	var times []*LatencyQuantile
	for _, q := range qs {
		times = append(times, NewLatencyQuantile(float64(q)/1000))
	}
	var sorted []time.Duration
	for i, d := range answers {
		at, _ := slices.BinarySearch(sorted, d)
		sorted = slices.Insert(sorted, at, d)
		for j, q := range qs {
			times[j].Add(d, time.Second)
			got, n := times[j].Quantile(time.Second), i+1
			if n < minSamples {
				if got != 0 {
					t.Fatalf("%d samples give an estimate of %v, want none", n, got)
				}
				continue
			}
			checkQuantile(t, got, sorted[q*n/1000], "quantile per mille, samples", q, n)
		}
	}
}

// weightedSamples are latencies with their weights, in units in which all weights are whole numbers.
type weightedSamples struct {
	latencies []time.Duration
	weight    map[time.Duration]int
}

func (w *weightedSamples) add(d time.Duration, weight int) {
	if w.weight[d] == 0 {
		at, _ := slices.BinarySearch(w.latencies, d)
		w.latencies = slices.Insert(w.latencies, at, d)
	}
	w.weight[d] += weight
}

// exact returns a function for the exact quantiles, by sums over all samples, and the total weight.
func (w *weightedSamples) exact() (at func(perMille int) time.Duration, sum int) {
	var upTo []int
	for _, d := range w.latencies {
		sum += w.weight[d]
		upTo = append(upTo, sum)
	}
	return func(q int) time.Duration {
		return w.latencies[sort.Search(len(upTo), func(i int) bool { return 1000*upTo[i] > q*sum })]
	}, sum
}

// TestQuantileAfterDecay compares the estimates after one to three halvings, with new samples among the halved ones.
func TestQuantileAfterDecay(t *testing.T) {
	answers, before := spacedLatencies(2100), NewLatencyQuantile(0.75)
	for n := 1; n <= 2000; n++ {
		before.Add(answers[n-1], time.Second)
		before.Quantile(time.Second) // so that the estimator holds a bucket position that the halving must reset
		halvings, fresh := 1+n%3, n%97
		w := &weightedSamples{weight: map[time.Duration]int{}}
		for _, d := range answers[:n] {
			w.add(d, 1)
		}
		now, times := time.Second+time.Duration(halvings)*halfLife, *before
		for _, d := range answers[n : n+fresh] {
			times.Add(d, now)
			w.add(d, 1<<halvings)
		}
		at, sum := w.exact()
		for _, q := range allPerMille() {
			times.quantilePerBillion = uint64(q) * billion / 1000
			got := times.Quantile(now)
			if sum >= minSamples<<halvings {
				checkQuantile(t, got, at(q), "quantile per mille, samples, halvings, new samples", q, n, halvings, fresh)
			} else if got != 0 {
				t.Fatalf("%d samples halved %d times and %d new ones give an estimate of %v, want none", n, halvings, fresh, got)
			}
		}
	}
}

// TestBucketBounds checks that latencies from just above the previous bound to the bucket's own bound fall into the bucket.
func TestBucketBounds(t *testing.T) {
	for i := 1; i < bucketCount; i++ {
		for _, d := range []time.Duration{bucketBounds[i-1] + 1, bucketBounds[i-1] + (bucketBounds[i]-bucketBounds[i-1])/2, bucketBounds[i]} {
			if got := bucketIndex(d); got != i {
				t.Fatalf("%v falls into %d, not %d", d, got, i)
			}
		}
		if bucketBounds[i] > bucketBounds[i-1]+bucketBounds[i-1]/20 {
			t.Fatalf("bucket %d is more than 5%% above the one before", i)
		}
	}
	for _, d := range []time.Duration{-time.Hour, 0, 1, 15, 16, minLatency} {
		if got := bucketIndex(d); got != 0 {
			t.Errorf("%v falls into %d", d, got)
		}
	}
	for _, d := range []time.Duration{maxLatency, maxLatency + 1, 1000 * time.Hour, math.MaxInt64} {
		if got := bucketIndex(d); got != bucketCount-1 {
			t.Errorf("%v falls into %d", d, got)
		}
	}
}

// TestQuantileDecay checks that old samples lose weight until they count for nothing, that a clock that goes back or jumps
// forward does no harm, and that nothing is allocated.
func TestQuantileDecay(t *testing.T) {
	times := NewLatencyQuantile(0.5)
	if times.Quantile(0) != 0 {
		t.Error("a quantile without samples")
	}
	for range 20000 {
		times.Add(80*time.Millisecond, time.Second)
	}
	now := time.Second + 5*halfLife
	for range 20000 {
		times.Add(400*time.Millisecond, now)
	}
	checkQuantile(t, times.Quantile(now), 400*time.Millisecond, "the median after a change")
	checkQuantile(t, times.Quantile(now-time.Minute), 400*time.Millisecond, "the median at an earlier time")
	if times.Quantile(now+time.Hour) != 0 || times.totalWeight != 0 || times.Quantile(math.MaxInt64) != 0 {
		t.Error("samples from an hour ago still count")
	}
	now += time.Hour
	if allocs := testing.AllocsPerRun(100, func() { times.Add(time.Second, now); times.Quantile(now) }); allocs > 0 {
		t.Errorf("%v allocations", allocs)
	}
}

// BenchmarkLatencyQuantile measures the cost per request: one sample is added and the quantile estimated.
func BenchmarkLatencyQuantile(b *testing.B) {
	r := seeds.Rand(1)
	var answers [4096]time.Duration
	for i := range answers {
		answers[i] = time.Duration(r.ExpFloat64() * float64(80*time.Millisecond))
	}
	for _, q := range []float64{0.5, 0.95, 0.999} {
		b.Run(fmt.Sprint(q), func(b *testing.B) {
			times := NewLatencyQuantile(q)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				times.Add(answers[i%len(answers)], time.Second)
				times.Quantile(time.Second)
			}
		})
	}
}

// BenchmarkRecordLatency measures the same through a Table.
func BenchmarkRecordLatency(b *testing.B) {
	table := NewTable([]*Route{{Name: "r", Hedge: HedgePolicy{Enabled: true, Quantile: 0.95}}}, platform())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.RecordLatency(0, "slot-lookup", time.Duration(20+i%64)*time.Millisecond, time.Second)
		table.RetryPolicy(0, "slot-lookup", time.Second)
	}
}
