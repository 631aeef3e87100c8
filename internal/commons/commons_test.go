package commons

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

// TestMain plays rapid's scripts by a fixed seed, unless -rapid.seed names another.
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

const drift = 0.05

func small(name string, life uint64) Config {
	c := Default()
	c.Name, c.Life, c.Drift, c.Keep, c.Authors = name, life, drift, 30*time.Second, 8
	return c
}

// played is a few members whose clocks differ, with messages that are on their way for as long as a script has it.
type played struct {
	tables []*Table
	rates  []float64 // of their clocks
	slept  []time.Duration
	lives  []uint64
	now    time.Duration // true time
	born   map[string]time.Duration
	onWay  []letter
	gone   map[string]uint64 // that all were told left, by name
	newest []map[string][2]uint64
}

type letter struct {
	from, to int
	text     []byte
}

func name(i int) string { return fmt.Sprint("m", i) }

func fact(who string, life, no uint64) string { return fmt.Sprint(who, "/", life, "/", no) }

func newPlayed(t *rapid.T, n int) *played {
	p := &played{born: map[string]time.Duration{}, gone: map[string]uint64{}}
	for i := range n {
		p.tables, p.lives, p.slept = append(p.tables, nil), append(p.lives, 0), append(p.slept, 0)
		p.rates = append(p.rates, rapid.SampledFrom([]float64{1 - drift, 1, 1 + drift}).Draw(t, "rate"))
		p.newest = append(p.newest, nil)
		p.start(t, i)
	}
	return p
}

// clock is a member's own time.
func (p *played) clock(i int) time.Duration {
	return time.Duration(i)*time.Hour + time.Duration(float64(p.now-p.slept[i])*p.rates[i])
}

func (p *played) start(t *rapid.T, i int) {
	p.lives[i]++
	var err error
	if p.tables[i], err = New(small(name(i), p.lives[i]), uint64(i)<<32+p.lives[i]<<16); err != nil {
		t.Fatal(err)
	}
	p.newest[i] = map[string][2]uint64{}
	p.say(t, i)
}

func (p *played) say(t *rapid.T, i int) {
	if err := p.tables[i].Say(p.clock(i), 1, []byte{byte(i)}); err != nil {
		t.Fatal(err)
	}
	p.born[fact(name(i), p.lives[i], p.tables[i].no)] = p.now
}

func (p *played) deliver(k int, keep bool) {
	l := p.onWay[k]
	if !keep {
		p.onWay = slices.Delete(p.onWay, k, k+1)
	}
	for _, back := range p.tables[l.to].Hear(p.clock(l.to), l.text) {
		p.onWay = append(p.onWay, letter{l.to, l.from, back})
	}
}

func (p *played) ask(i, j int) {
	p.onWay = append(p.onWay, letter{i, j, p.tables[i].Ask(p.clock(i))})
}

// check holds what must hold all along: no age is told younger than it is, nothing goes back, and who left does not come back.
func (p *played) check(t *rapid.T) {
	for i, table := range p.tables {
		for _, who := range table.Known(p.clock(i), 1) {
			f, age, err := table.Know(p.clock(i), who, 1, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			born, ok := p.born[fact(who, f.Life, f.No)]
			if !ok {
				t.Fatalf("%s knows what nobody said: %+v", name(i), f)
			}
			if is := p.now - born; age < is-time.Microsecond { // of rounding
				t.Fatalf("%s tells %s's number %d of life %d as %v old; it is %v", name(i), who, f.No, f.Life, age, is)
			}
			if f.Life <= p.gone[who] {
				t.Fatalf("%s knows life %d of %s, which left", name(i), f.Life, who)
			}
			was, is := p.newest[i][who], [2]uint64{f.Life, f.No}
			if was[0] > is[0] || was[0] == is[0] && was[1] > is[1] {
				t.Fatalf("%s went back from %v to %v of %s", name(i), was, is, who)
			}
			p.newest[i][who] = is
		}
	}
}

// TestAgesErrToTheOldSide plays scripts of members that say, ask, sleep, restart and leave, and of messages that are late, doubled, lost and in
// any order, between clocks that run at different rates. At the end, when all hear each other, all know the newest of all that are there.
func TestAgesErrToTheOldSide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		p := newPlayed(t, n)
		member := rapid.IntRange(0, n-1)
		pick := func(t *rapid.T) int {
			if len(p.onWay) == 0 {
				t.Skip("nothing is on its way")
			}
			return rapid.IntRange(0, len(p.onWay)-1).Draw(t, "message")
		}
		t.Repeat(map[string]func(*rapid.T){
			"say": func(t *rapid.T) { p.say(t, member.Draw(t, "member")) },
			"ask": func(t *rapid.T) {
				i := member.Draw(t, "member")
				p.ask(i, (i+rapid.IntRange(1, n-1).Draw(t, "other"))%n)
			},
			"deliver": func(t *rapid.T) { p.deliver(pick(t), false) },
			"double":  func(t *rapid.T) { p.deliver(pick(t), true) },
			"lose":    func(t *rapid.T) { k := pick(t); p.onWay = slices.Delete(p.onWay, k, k+1) },
			"wait": func(t *rapid.T) {
				p.now += time.Duration(rapid.SampledFrom([]int{1, 40, 700, 9000, 31000}).Draw(t, "ms")) * time.Millisecond
			},
			"sleep": func(t *rapid.T) {
				i, d := member.Draw(t, "member"), time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond
				p.now += d
				p.slept[i] += d
				p.tables[i].Slept(p.clock(i), d)
			},
			"restart": func(t *rapid.T) { p.start(t, member.Draw(t, "member")) },
			"leave": func(t *rapid.T) {
				i := member.Draw(t, "member")
				p.gone[name(i)] = p.lives[i]
				p.start(t, i) // it comes back under another life, later
				for j := range p.tables {
					if j != i {
						p.tables[j].Forget(p.clock(j), name(i), p.gone[name(i)])
						delete(p.newest[j], name(i))
					}
				}
			},
			"": p.check,
		})
		p.onWay = nil
		for i := range n {
			p.say(t, i)
		}
		for range 2 {
			for i := range n {
				for j := range n {
					if i != j {
						p.ask(i, j)
						for len(p.onWay) > 0 {
							p.deliver(0, false)
						}
					}
				}
			}
		}
		for i, table := range p.tables {
			for j := range n {
				if f, age, err := table.Know(p.clock(i), name(j), 1, time.Second); err != nil || f.Life != p.lives[j] || f.No != p.tables[j].no {
					t.Fatalf("%s knows %+v of %s, %v old, %v; the newest is number %d of life %d", name(i), f, name(j), age, err, p.tables[j].no, p.lives[j])
				}
			}
		}
	})
}

// TestOrderOfAnswersDoesNotMatter: the same answers in any order, and again, leave the same.
func TestOrderOfAnswersDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlayed(t, 3)
		for range 6 {
			p.say(t, rapid.IntRange(0, 1).Draw(t, "member"))
			p.now += 10 * time.Millisecond
			p.ask(0, 1)
			p.ask(1, 0)
			for len(p.onWay) > 0 {
				p.deliver(0, false)
			}
		}
		var answers [][]byte
		q := p.tables[2].Ask(p.clock(2))
		for i := range 2 {
			answers = append(answers, p.tables[i].Hear(p.clock(i), q)...)
			p.now += time.Second
		}
		order := rapid.Permutation(append(answers, answers...)).Draw(t, "order")
		twin, err := New(small(name(2), 1), 2<<32+1<<16)
		if err != nil {
			t.Fatal(err)
		}
		twin.asked = slices.Clone(p.tables[2].asked)
		for _, a := range answers {
			p.tables[2].Hear(p.clock(2), a)
		}
		for _, a := range order {
			twin.Hear(p.clock(2), a)
		}
		for i := range 2 {
			f, age, _ := p.tables[2].Know(p.clock(2), name(i), 1, time.Hour)
			g, old, _ := twin.Know(p.clock(2), name(i), 1, time.Hour)
			if f.No != g.No || f.No == 0 || age != old {
				t.Fatalf("number %d, %v old; in another order %d, %v old", f.No, age, g.No, old)
			}
		}
	})
}

// TestWhoLeftDoesNotComeBack: of who left nothing is taken that others still tell, however late, and all of its next life; the rule that says so
// is forgotten only when all that could come is too old.
func TestWhoLeftDoesNotComeBack(t *testing.T) {
	cfg := small("me", 1)
	me, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	other, err := New(small("other", 1), 2)
	if err != nil {
		t.Fatal(err)
	}
	other.take(0, Fact{Author: "left", Life: 4, No: 90, Topic: 1}, 0)
	late := other.Hear(0, me.Ask(0))
	me.Hear(0, late[0])
	me.Forget(0, "left", 4)
	for _, at := range []time.Duration{0, cfg.Keep / 2, cfg.Keep, 2 * cfg.Keep} {
		me.sweep(at)
		me.Hear(at, late[0])
		if known := me.Known(at, 1); len(known) > 0 {
			t.Errorf("%v later: %v", at, known)
		}
	}
	other.take(0, Fact{Author: "left", Life: 5, No: 1, Topic: 1}, 0) // the number of a later life is lower
	for _, back := range other.Hear(0, me.Ask(0)) {
		me.Hear(0, back)
	}
	if f, _, err := me.Know(0, "left", 1, time.Second); err != nil || f.Life != 5 {
		t.Errorf("its next life: %+v, %v", f, err)
	}
}

// TestTooOldIsSaid: who asks tells how old it may be; nobody gets what is older, or what is forgotten, and an answer to a question that is not
// remembered is not taken.
func TestTooOldIsSaid(t *testing.T) {
	a, err := New(small("a", 1), 1)
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(small("b", 1), 2)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Say(0, 1, []byte("x")); err != nil {
		t.Fatal(err)
	}
	answer := a.Hear(time.Second, b.Ask(0))
	b.Hear(2*time.Second, answer[0])
	f, age, err := b.Know(2*time.Second, "a", 1, 4*time.Second)
	if err != nil || string(f.Value) != "x" || age < 3*time.Second { // 1 s at a, and 2 s since b asked
		t.Errorf("%+v, %v old, %v", f, age, err)
	}
	var stale *StaleError
	if _, _, err := b.Know(10*time.Second, "a", 1, 4*time.Second); !errors.As(err, &stale) || stale.Age < 9*time.Second {
		t.Errorf("later: %v", err)
	}
	for _, who := range []string{"a", "c"} {
		if _, _, err := b.Know(time.Minute, who, 1, time.Hour); !errors.Is(err, ErrUnknown) {
			t.Errorf("%s after what is kept: %v", who, err)
		}
	}
	for range askedMost {
		b.Ask(2 * time.Minute)
	}
	b.Hear(2*time.Minute, answer[0])
	if c := b.Counts(); c.Undated != 1 || len(b.authors) != 0 {
		t.Errorf("%+v, %d known", c, len(b.authors))
	}
}

// TestBounds: more authors than there is room for are not taken, messages stay small, and with more authors than a question names, all are
// learned by the next ones.
func TestBounds(t *testing.T) {
	c := small("asker", 1)
	c.Authors = 400
	asker, err := New(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Name, c.Authors = "knows", 1000
	knows, err := New(c, 2)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 600 {
		knows.take(0, Fact{Author: fmt.Sprintf("member-%04d", i), Life: 1, No: 3, Topic: 2, Value: make([]byte, valueMost)}, 0)
	}
	for range 60 {
		q := asker.Ask(0)
		if len(q) > c.Message {
			t.Fatalf("a question of %d bytes", len(q))
		}
		back := knows.Hear(0, q)
		if len(back) > answersMost {
			t.Fatalf("%d messages for one question", len(back))
		}
		for _, a := range back {
			if len(a) > c.Message {
				t.Fatalf("an answer of %d bytes", len(a))
			}
			asker.Hear(0, a)
		}
	}
	if n := len(asker.Known(0, 2)); n != 400 || asker.Counts().Full == 0 {
		t.Errorf("%d known of 400 that there is room for, %+v", n, asker.Counts())
	}
}

// FuzzHear feeds messages; whatever comes must neither panic nor be believed of this member itself.
func FuzzHear(f *testing.F) {
	other, err := New(small("b", 1), 2)
	if err != nil {
		f.Fatal(err)
	}
	if err := other.Say(0, 1, []byte("x")); err != nil {
		f.Fatal(err)
	}
	me, err := New(small("a", 5), 1)
	if err != nil {
		f.Fatal(err)
	}
	q := me.Ask(0)
	f.Add(q)
	for _, a := range other.Hear(0, q) {
		f.Add(a)
	}
	f.Fuzz(func(t *testing.T, msg []byte) {
		me, err := New(small("a", 5), 1)
		if err != nil {
			t.Fatal(err)
		}
		if err := me.Say(0, 1, nil); err != nil {
			t.Fatal(err)
		}
		me.Ask(0)
		for _, back := range me.Hear(time.Second, msg) {
			if len(back) > me.cfg.Message {
				t.Errorf("%d bytes back", len(back))
			}
		}
		if f, _, err := me.Know(time.Second, "a", 1, time.Hour); err != nil || f.Life != 5 || f.No != 1 {
			t.Errorf("of itself: %+v, %v", f, err)
		}
	})
}
