package queue

import (
	"runtime"
	"sync"
	"testing"
)

// TestFullQueue checks that a full queue evicts the oldest item or rejects the new one, counts it, and keeps its order
// when indexes wrap around.
func TestFullQueue(t *testing.T) {
	evicting, rejecting := NewEvicting[int](3), NewRejecting[int](3)
	for i := range 5 {
		evicting.Put(i)
		if ok := rejecting.Put(i); ok != (i < 3) {
			t.Errorf("Put(%d): %v", i, ok)
		}
	}
	for want := range 3 {
		if v, ok := evicting.Take(); !ok || v != want+2 {
			t.Errorf("evicting queue: took %d, %v; want %d", v, ok, want+2)
		}
		if v, ok := rejecting.Take(); !ok || v != want {
			t.Errorf("rejecting queue: took %d, %v; want %d", v, ok, want)
		}
	}
	if _, ok := evicting.Take(); ok {
		t.Error("took an item from an empty queue")
	}
	if c := evicting.Stats(); c.Put != 5 || c.Dropped != 2 || c.MaxDepth != 3 {
		t.Errorf("evicting queue: %+v", c)
	}
	if c := rejecting.Stats(); c.Put != 3 || c.Dropped != 2 || c.MaxDepth != 3 || c.MaxWait <= 0 {
		t.Errorf("rejecting queue: %+v", c)
	}
}

// TestManyWriters checks that the items of many writers come out once each, in each writer's order, and that Ready
// reports the last one.
func TestManyWriters(t *testing.T) {
	const writers, each = 8, 5000
	r := NewRejecting[[2]int](64)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := 0; i < each; {
				if r.Put([2]int{w, i}) {
					i++
				} else {
					runtime.Gosched()
				}
			}
		})
	}
	var next [writers]int
	for got := 0; got < writers*each; {
		<-r.Ready()
		for v, ok := r.Take(); ok; v, ok = r.Take() {
			if v[1] != next[v[0]] {
				t.Fatalf("writer %d: %d, want %d", v[0], v[1], next[v[0]])
			}
			next[v[0]]++
			got++
		}
	}
	wg.Wait()
}

func BenchmarkRing(b *testing.B) {
	r := NewEvicting[[4]uint64](1024)
	done := make(chan struct{})
	go func() {
		for taken := 0; taken < b.N; {
			<-r.Ready()
			for _, ok := r.Take(); ok; _, ok = r.Take() {
				taken++
			}
			if c := r.Stats(); c.Put == uint64(b.N) && c.Put-c.Dropped <= uint64(taken) {
				break
			}
		}
		close(done)
	}()
	for i := range b.N {
		r.Put([4]uint64{uint64(i)})
	}
	<-done
}

// BenchmarkChannel is BenchmarkRing with a channel, whose writer takes the oldest item to make room.
func BenchmarkChannel(b *testing.B) {
	c := make(chan [4]uint64, 1024)
	done, taken := make(chan struct{}), 0
	go func() {
		for range c {
			taken++
		}
		close(done)
	}()
	for i := range b.N {
		for sent := false; !sent; {
			select {
			case c <- [4]uint64{uint64(i)}:
				sent = true
			default:
				select {
				case <-c:
				default:
				}
			}
		}
	}
	close(c)
	<-done
}
