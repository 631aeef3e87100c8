package peerinfo

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain runs rapid with a fixed seed, unless -rapid.seed sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

const clockDrift = 0.05

func testConfig(name string, incarnation uint64) Config {
	c := DefaultConfig()
	c.Name, c.Incarnation, c.ClockDrift, c.Retention, c.MaxAuthors = name, incarnation, clockDrift, 30*time.Second, 8
	return c
}

// simulation runs a few members whose clocks differ, and delays, drops, duplicates and reorders their messages as a
// generated script says.
type simulation struct {
	tables           []*Table
	rates            []float64 // of the members' clocks
	suspended        []time.Duration
	incarnations     []uint64
	now              time.Duration // true time
	publishedAt      map[string]time.Duration
	inFlight         []message
	leftIncarnations map[string]uint64 // by name: incarnations that all others were notified of as left
	newest           []map[string][2]uint64
}

type message struct {
	from, to int
	data     []byte
}

func memberName(i int) string { return fmt.Sprint("m", i) }

func recordKey(author string, incarnation, version uint64) string {
	return fmt.Sprint(author, "/", incarnation, "/", version)
}

func newSimulation(t *rapid.T, n int) *simulation {
	p := &simulation{publishedAt: map[string]time.Duration{}, leftIncarnations: map[string]uint64{}}
	for i := range n {
		p.tables, p.incarnations, p.suspended = append(p.tables, nil), append(p.incarnations, 0), append(p.suspended, 0)
		p.rates = append(p.rates, rapid.SampledFrom([]float64{1 - clockDrift, 1, 1 + clockDrift}).Draw(t, "rate"))
		p.newest = append(p.newest, nil)
		p.start(t, i)
	}
	return p
}

// clock returns a member's own monotonic time.
func (p *simulation) clock(i int) time.Duration {
	return time.Duration(i)*time.Hour + time.Duration(float64(p.now-p.suspended[i])*p.rates[i])
}

func (p *simulation) start(t *rapid.T, i int) {
	p.incarnations[i]++
	var err error
	if p.tables[i], err = New(testConfig(memberName(i), p.incarnations[i]), uint64(i)<<32+p.incarnations[i]<<16); err != nil {
		t.Fatal(err)
	}
	p.newest[i] = map[string][2]uint64{}
	p.publish(t, i)
}

func (p *simulation) publish(t *rapid.T, i int) {
	if err := p.tables[i].Publish(p.clock(i), 1, []byte{byte(i)}); err != nil {
		t.Fatal(err)
	}
	p.publishedAt[recordKey(memberName(i), p.incarnations[i], p.tables[i].version)] = p.now
}

func (p *simulation) deliver(k int, duplicate bool) {
	m := p.inFlight[k]
	if !duplicate {
		p.inFlight = slices.Delete(p.inFlight, k, k+1)
	}
	for _, reply := range p.tables[m.to].HandleMessage(p.clock(m.to), m.data) {
		p.inFlight = append(p.inFlight, message{m.to, m.from, reply})
	}
}

func (p *simulation) query(i, j int) {
	p.inFlight = append(p.inFlight, message{i, j, p.tables[i].NextQuery(p.clock(i))})
}

// check checks the invariants: no age is understated, no record is replaced by an older one, and no member that left
// comes back.
func (p *simulation) check(t *rapid.T) {
	for i, table := range p.tables {
		for _, author := range table.KnownAuthors(p.clock(i), 1) {
			record, age, err := table.Lookup(p.clock(i), author, 1, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			published, ok := p.publishedAt[recordKey(author, record.Incarnation, record.Version)]
			if !ok {
				t.Fatalf("%s has a record that was never published: %+v", memberName(i), record)
			}
			if actual := p.now - published; age < actual-time.Microsecond { // for rounding
				t.Fatalf("%s has %s's version %d of incarnation %d with an age of %v; its age is %v", memberName(i), author, record.Version, record.Incarnation, age, actual)
			}
			if record.Incarnation <= p.leftIncarnations[author] {
				t.Fatalf("%s has a record of incarnation %d of %s, which left", memberName(i), record.Incarnation, author)
			}
			previous, current := p.newest[i][author], [2]uint64{record.Incarnation, record.Version}
			if previous[0] > current[0] || previous[0] == current[0] && previous[1] > current[1] {
				t.Fatalf("%s went back from %v to %v for %s", memberName(i), previous, current, author)
			}
			p.newest[i][author] = current
		}
	}
}

// TestAgesAreNeverUnderstated runs generated scripts in which members publish, query, are suspended, restart and leave,
// and messages are delayed, duplicated, dropped and reordered, with clocks of different rates. At the end all members
// reach each other, and each must know the newest record of every other.
func TestAgesAreNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		p := newSimulation(t, n)
		member := rapid.IntRange(0, n-1)
		pick := func(t *rapid.T) int {
			if len(p.inFlight) == 0 {
				t.Skip("no message is in flight")
			}
			return rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "message")
		}
		t.Repeat(map[string]func(*rapid.T){
			"say": func(t *rapid.T) { p.publish(t, member.Draw(t, "member")) },
			"ask": func(t *rapid.T) {
				i := member.Draw(t, "member")
				p.query(i, (i+rapid.IntRange(1, n-1).Draw(t, "other"))%n)
			},
			"deliver": func(t *rapid.T) { p.deliver(pick(t), false) },
			"double":  func(t *rapid.T) { p.deliver(pick(t), true) },
			"lose":    func(t *rapid.T) { k := pick(t); p.inFlight = slices.Delete(p.inFlight, k, k+1) },
			"wait": func(t *rapid.T) {
				p.now += time.Duration(rapid.SampledFrom([]int{1, 40, 700, 9000, 31000}).Draw(t, "ms")) * time.Millisecond
			},
			"sleep": func(t *rapid.T) {
				i, d := member.Draw(t, "member"), time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond
				p.now += d
				p.suspended[i] += d
				p.tables[i].AdjustForSuspend(p.clock(i), d)
			},
			"restart": func(t *rapid.T) { p.start(t, member.Draw(t, "member")) },
			"leave": func(t *rapid.T) {
				i := member.Draw(t, "member")
				p.leftIncarnations[memberName(i)] = p.incarnations[i]
				p.start(t, i) // it comes back with a higher incarnation
				for j := range p.tables {
					if j != i {
						p.tables[j].RemoveMember(p.clock(j), memberName(i), p.leftIncarnations[memberName(i)])
						delete(p.newest[j], memberName(i))
					}
				}
			},
			"": p.check,
		})
		p.inFlight = nil
		for i := range n {
			p.publish(t, i)
		}
		for range 2 {
			for i := range n {
				for j := range n {
					if i != j {
						p.query(i, j)
						for len(p.inFlight) > 0 {
							p.deliver(0, false)
						}
					}
				}
			}
		}
		for i, table := range p.tables {
			for j := range n {
				if f, age, err := table.Lookup(p.clock(i), memberName(j), 1, time.Second); err != nil || f.Incarnation != p.incarnations[j] || f.Version != p.tables[j].version {
					t.Fatalf("%s has %+v of %s with an age of %v, %v; the newest is version %d of incarnation %d", memberName(i), f, memberName(j), age, err, p.tables[j].version, p.incarnations[j])
				}
			}
		}
	})
}

// TestReplyOrderDoesNotMatter checks that the same replies in any order, and twice, have the same result.
func TestReplyOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSimulation(t, 3)
		for range 6 {
			p.publish(t, rapid.IntRange(0, 1).Draw(t, "member"))
			p.now += 10 * time.Millisecond
			p.query(0, 1)
			p.query(1, 0)
			for len(p.inFlight) > 0 {
				p.deliver(0, false)
			}
		}
		var replies [][]byte
		q := p.tables[2].NextQuery(p.clock(2))
		for i := range 2 {
			replies = append(replies, p.tables[i].HandleMessage(p.clock(i), q)...)
			p.now += time.Second
		}
		order := rapid.Permutation(append(replies, replies...)).Draw(t, "order")
		reordered, err := New(testConfig(memberName(2), 1), 2<<32+1<<16)
		if err != nil {
			t.Fatal(err)
		}
		reordered.pending = slices.Clone(p.tables[2].pending)
		for _, a := range replies {
			p.tables[2].HandleMessage(p.clock(2), a)
		}
		for _, a := range order {
			reordered.HandleMessage(p.clock(2), a)
		}
		for i := range 2 {
			f, age, _ := p.tables[2].Lookup(p.clock(2), memberName(i), 1, time.Hour)
			g, otherAge, _ := reordered.Lookup(p.clock(2), memberName(i), 1, time.Hour)
			if f.Version != g.Version || f.Version == 0 || age != otherAge {
				t.Fatalf("version %d, age %v; in another order version %d, age %v", f.Version, age, g.Version, otherAge)
			}
		}
	})
}

// TestRemovedMemberDoesNotReturn checks that records of a member that left are rejected, however late others send them,
// and that records of its next incarnation are accepted. The rejection may end only when any record that it concerns is
// too old.
func TestRemovedMemberDoesNotReturn(t *testing.T) {
	cfg := testConfig("me", 1)
	table, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	other, err := New(testConfig("other", 1), 2)
	if err != nil {
		t.Fatal(err)
	}
	other.merge(0, Record{Author: "left", Incarnation: 4, Version: 90, Topic: 1}, 0)
	oldReplies := other.HandleMessage(0, table.NextQuery(0))
	table.HandleMessage(0, oldReplies[0])
	table.RemoveMember(0, "left", 4)
	for _, at := range []time.Duration{0, cfg.Retention / 2, cfg.Retention, 2 * cfg.Retention} {
		table.sweep(at)
		table.HandleMessage(at, oldReplies[0])
		if known := table.KnownAuthors(at, 1); len(known) > 0 {
			t.Errorf("after %v: %v", at, known)
		}
	}
	other.merge(0, Record{Author: "left", Incarnation: 5, Version: 1, Topic: 1}, 0) // the version of a later incarnation may be lower
	for _, reply := range other.HandleMessage(0, table.NextQuery(0)) {
		table.HandleMessage(0, reply)
	}
	if f, _, err := table.Lookup(0, "left", 1, time.Second); err != nil || f.Incarnation != 5 {
		t.Errorf("its next incarnation: %+v, %v", f, err)
	}
}

// TestStaleRecords checks that Lookup returns no record that is older than the caller accepts or than the retention,
// and that a reply to a query that is no longer pending is ignored.
func TestStaleRecords(t *testing.T) {
	a, err := New(testConfig("a", 1), 1)
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(testConfig("b", 1), 2)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Publish(0, 1, []byte("x")); err != nil {
		t.Fatal(err)
	}
	replies := a.HandleMessage(time.Second, b.NextQuery(0))
	b.HandleMessage(2*time.Second, replies[0])
	f, age, err := b.Lookup(2*time.Second, "a", 1, 4*time.Second)
	if err != nil || string(f.Value) != "x" || age < 3*time.Second { // 1 s at a, and 2 s since b's query
		t.Errorf("%+v, age %v, %v", f, age, err)
	}
	var stale *StaleError
	if _, _, err := b.Lookup(10*time.Second, "a", 1, 4*time.Second); !errors.As(err, &stale) || stale.Age < 9*time.Second {
		t.Errorf("with a higher age: %v", err)
	}
	for _, author := range []string{"a", "c"} {
		if _, _, err := b.Lookup(time.Minute, author, 1, time.Hour); !errors.Is(err, ErrUnknown) {
			t.Errorf("%s after the retention: %v", author, err)
		}
	}
	for range maxPendingQueries {
		b.NextQuery(2 * time.Minute)
	}
	b.HandleMessage(2*time.Minute, replies[0])
	if c := b.Stats(); c.UnmatchedReplies != 1 || len(b.authors) != 0 {
		t.Errorf("%+v, %d authors", c, len(b.authors))
	}
}

// TestLimits checks that authors above the limit are not accepted, that messages stay within their size, and that
// authors that don't fit into one query are learned by later ones.
func TestLimits(t *testing.T) {
	c := testConfig("asker", 1)
	c.MaxAuthors = 400
	asker, err := New(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Name, c.MaxAuthors = "knows", 1000
	responder, err := New(c, 2)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 600 {
		responder.merge(0, Record{Author: fmt.Sprintf("member-%04d", i), Incarnation: 1, Version: 3, Topic: 2, Value: make([]byte, maxValueBytes)}, 0)
	}
	for range 60 {
		q := asker.NextQuery(0)
		if len(q) > c.MaxMessageBytes {
			t.Fatalf("query of %d bytes", len(q))
		}
		replies := responder.HandleMessage(0, q)
		if len(replies) > maxReplies {
			t.Fatalf("%d replies to one query", len(replies))
		}
		for _, a := range replies {
			if len(a) > c.MaxMessageBytes {
				t.Fatalf("reply of %d bytes", len(a))
			}
			asker.HandleMessage(0, a)
		}
	}
	if n := len(asker.KnownAuthors(0, 2)); n != 400 || asker.Stats().TableFull == 0 {
		t.Errorf("%d authors known, want 400; %+v", n, asker.Stats())
	}
}

// FuzzHandleMessage checks that no message causes a panic, or changes what a member knows of itself.
func FuzzHandleMessage(f *testing.F) {
	other, err := New(testConfig("b", 1), 2)
	if err != nil {
		f.Fatal(err)
	}
	if err := other.Publish(0, 1, []byte("x")); err != nil {
		f.Fatal(err)
	}
	me, err := New(testConfig("a", 5), 1)
	if err != nil {
		f.Fatal(err)
	}
	q := me.NextQuery(0)
	f.Add(q)
	for _, a := range other.HandleMessage(0, q) {
		f.Add(a)
	}
	f.Fuzz(func(t *testing.T, msg []byte) {
		me, err := New(testConfig("a", 5), 1)
		if err != nil {
			t.Fatal(err)
		}
		if err := me.Publish(0, 1, nil); err != nil {
			t.Fatal(err)
		}
		me.NextQuery(0)
		for _, reply := range me.HandleMessage(time.Second, msg) {
			if len(reply) > me.cfg.MaxMessageBytes {
				t.Errorf("reply of %d bytes", len(reply))
			}
		}
		if f, _, err := me.Lookup(time.Second, "a", 1, time.Hour); err != nil || f.Incarnation != 5 || f.Version != 1 {
			t.Errorf("its own record: %+v, %v", f, err)
		}
	})
}
