// Package commons is what the members of a fleet know of each other: facts, each by one author, with an age that is never told younger
// than it is. It is pure: messages and time come in as values, messages go out. docs/design/limits.md states what holds and why.
//
// A fact is the newest that its author said of a topic: the higher life of the author wins, then the higher number. Nobody asks for a fact
// without telling how old it may be. Members learn by asking: a question names what the asker has, an answer brings what it lacks, and
// what is learned is as old as it was told, and older by all the time since the question was sent. So whatever is lost, late, doubled or in
// another order, and however clocks differ, an age errs to the old side, over any number of hops.
//
// Times are a [time.Duration] on the member's own monotonic clock.
package peerinfo

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Config is what a table goes by.
type Config struct {
	Name            string        // of this member
	Incarnation     uint64        // of its process: facts of a later one replace those of an earlier one
	ClockDrift      float64       // by which clocks run faster or slower than true time, as a share
	Retention       time.Duration // a fact that is older is forgotten, and neither told nor taken
	MaxAuthors      int           // that are known of, at most; facts of more are not taken
	Interval        time.Duration // members ask so often, and say what is new of themselves
	Fanout          int           // that are asked each time
	MaxMessageBytes int           // bytes of a message, at most
}

// DefaultConfig are figures for a local network.
func DefaultConfig() Config {
	return Config{ClockDrift: 0.001, Retention: 10 * time.Minute, MaxAuthors: 4096, Interval: 500 * time.Millisecond, Fanout: 2, MaxMessageBytes: 1300}
}

const (
	maxNameBytes      = 64 // bytes of an author's name
	maxValueBytes     = 64 // bytes of a value
	maxTopics         = 8  // of an author
	maxPendingQueries = 32 // questions whose answers are still taken; later ones make the oldest too old to date
	maxReplies        = 8  // messages that answer one question
	messageOverhead   = 64 // bytes of a message for all but its entries and names
)

// Validate reports the first value that can't be used.
func (c *Config) Validate() error {
	switch {
	case c.Name == "" || len(c.Name) > maxNameBytes:
		return fmt.Errorf("commons: a name of %d bytes, want 1 to %d", len(c.Name), maxNameBytes)
	case c.ClockDrift < 0 || c.ClockDrift >= 0.5:
		return fmt.Errorf("commons: clocks that differ by a share of %v", c.ClockDrift)
	case c.Retention <= 0 || c.Interval <= 0 || c.Retention <= c.Interval:
		return fmt.Errorf("commons: facts that are kept for %v and asked for each %v", c.Retention, c.Interval)
	case c.MaxAuthors < 1 || c.Fanout < 1:
		return fmt.Errorf("commons: %d authors, and %d members that are asked, want 1 or more", c.MaxAuthors, c.Fanout)
	case c.MaxMessageBytes < 2*maxNameBytes+maxValueBytes+2*messageOverhead:
		return fmt.Errorf("commons: messages of %d bytes have no room for an entry", c.MaxMessageBytes)
	}
	return nil
}

// Topic is what a fact is about, below 8.
type Topic uint8

// Record is what an author said.
type Record struct {
	Author      string
	Incarnation uint64
	Version     uint64 // rises with each fact of a life
	Topic       Topic
	Value       []byte
}

// ErrUnknown is told where nothing is known.
var ErrUnknown = errors.New("commons: nothing is known of it")

// StaleError is told where what is known is older than it may be.
type StaleError struct{ Age, MaxAge time.Duration }

func (e *StaleError) Error() string {
	return fmt.Sprintf("commons: known as of %v ago, wanted of %v at most", e.Age.Round(time.Millisecond), e.MaxAge)
}

// entry is a fact as it is kept: it was so old at a time, or less.
type entry struct {
	incarnation, version uint64
	value                []byte
	age, asOf            time.Duration
	present              bool
}

// author is all that is known of a member. One that left keeps its place here, so that it can't come back by what others still tell.
type author struct {
	name            string
	topics          [maxTopics]entry
	leftIncarnation uint64 // facts of this life and of earlier ones are not taken ...
	leftUntil       time.Duration
}

// Table is what one member knows. Make it with New. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	version uint64
	authors []*author // in the order of their names
	cursor  string    // the next question begins at this name
	nonce   uint64
	pending []pendingQuery // the newest last
	stats   Stats
}

type pendingQuery struct {
	nonce  uint64
	sentAt time.Duration
}

// Stats are what became of messages so far.
type Stats struct {
	Learned          uint64 // facts that were new here
	UnmatchedReplies uint64 `json:"Undated"` // answers to no question that is remembered: they can't be dated, and nothing is taken of them
	Malformed        uint64 `json:"Spoilt"`  // messages that can't be read
	TableFull        uint64 `json:"Full"`    // facts that were not taken as too many authors are known
	Rejected         uint64 `json:"Refused"` // facts that were too old, or of who left
}

// New returns a table that knows nothing. The nonce begins the numbers of its questions: another one for each process.
func New(cfg Config, nonce uint64) (*Table, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Table{cfg: cfg, nonce: nonce}, nil
}

// Stats tells what became of messages.
func (t *Table) Stats() Stats { return t.stats }

func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.authors, name, func(a *author, n string) int { return strings.Compare(a.name, n) })
}

// AdvanceAge is an age after a while on a member's clock, which may run slow.
func (c *Config) AdvanceAge(age, from, to time.Duration) time.Duration {
	return age + time.Duration(math.Ceil(float64(to-from)/(1-c.ClockDrift)))
}

func (t *Table) age(e *entry, now time.Duration) time.Duration {
	return t.cfg.AdvanceAge(e.age, e.asOf, now)
}

// Publish says something of this member from now on.
func (t *Table) Publish(now time.Duration, topic Topic, value []byte) error {
	if int(topic) >= maxTopics || len(value) > maxValueBytes {
		return fmt.Errorf("commons: topic %d, %d bytes; there are %d topics of %d bytes at most", topic, len(value), maxTopics, maxValueBytes)
	}
	t.version++
	if !t.merge(now, Record{Author: t.cfg.Name, Incarnation: t.cfg.Incarnation, Version: t.version, Topic: topic, Value: value}, 0) {
		return fmt.Errorf("commons: %d authors are known already", t.cfg.MaxAuthors)
	}
	return nil
}

// merge takes a fact of that age, if it is news, or the same at a younger age.
func (t *Table) merge(now time.Duration, r Record, age time.Duration) bool {
	i, known := t.find(r.Author)
	if !known {
		if len(t.authors) >= t.cfg.MaxAuthors {
			t.stats.TableFull++
			return false
		}
		t.authors = slices.Insert(t.authors, i, &author{name: r.Author})
	}
	a := t.authors[i]
	if age > t.cfg.Retention || a.leftIncarnation > 0 && r.Incarnation <= a.leftIncarnation {
		t.stats.Rejected++
		return false
	}
	e := &a.topics[r.Topic]
	switch {
	case e.present && (e.incarnation > r.Incarnation || e.incarnation == r.Incarnation && e.version > r.Version):
		return false
	case e.present && e.incarnation == r.Incarnation && e.version == r.Version:
		if age < t.age(e, now) { // both are bounds: the lower one is the better
			e.age, e.asOf = age, now
		}
		return false
	}
	*e = entry{incarnation: r.Incarnation, version: r.Version, value: slices.Clone(r.Value), age: age, asOf: now, present: true}
	return true
}

// Lookup is what an author said of a topic, and how old that is at most, if it is not older than it may be. The error is ErrUnknown or a
// [*StaleError].
func (t *Table) Lookup(now time.Duration, name string, topic Topic, maxAge time.Duration) (Record, time.Duration, error) {
	i, ok := t.find(name)
	if !ok || int(topic) >= maxTopics || !t.authors[i].topics[topic].present {
		return Record{}, 0, ErrUnknown
	}
	e := &t.authors[i].topics[topic]
	age := t.age(e, now)
	if age > t.cfg.Retention {
		return Record{}, 0, ErrUnknown
	}
	if age > maxAge {
		return Record{}, age, &StaleError{age, maxAge}
	}
	return Record{name, e.incarnation, e.version, topic, e.value}, age, nil
}

// KnownAuthors are the authors of whom a fact on a topic is known, in the order of their names.
func (t *Table) KnownAuthors(now time.Duration, topic Topic) (names []string) {
	for _, a := range t.authors {
		if e := &a.topics[topic]; e.present && t.age(e, now) <= t.cfg.Retention {
			names = append(names, a.name)
		}
	}
	return names
}

// RemoveMember drops all that is known of a member that left, and takes nothing more of that life or an earlier one. What others still tell of it
// is too old to be taken by the time that this is forgotten in turn.
func (t *Table) RemoveMember(now time.Duration, name string, incarnation uint64) {
	i, known := t.find(name)
	if !known {
		if len(t.authors) >= t.cfg.MaxAuthors {
			return // nothing of it is taken either
		}
		t.authors = slices.Insert(t.authors, i, &author{name: name})
	}
	a := t.authors[i]
	a.leftIncarnation = max(a.leftIncarnation, incarnation)
	a.leftUntil = now + time.Duration(float64(t.cfg.Retention)*(1+t.cfg.ClockDrift)/(1-t.cfg.ClockDrift))
	for k := range a.topics {
		if a.topics[k].present && a.topics[k].incarnation <= a.leftIncarnation {
			a.topics[k] = entry{}
		}
	}
}

// AdjustForSuspend takes that the clock stood still for so long while time went on, as it does on a machine that sleeps.
func (t *Table) AdjustForSuspend(now, d time.Duration) {
	for _, a := range t.authors {
		for k := range a.topics {
			a.topics[k].age += d
		}
	}
	t.pending = nil // what is answered now was asked before
}

// sweep drops what is too old, and who is known of no more.
func (t *Table) sweep(now time.Duration) {
	t.authors = slices.DeleteFunc(t.authors, func(a *author) bool {
		if a.leftIncarnation > 0 && now > a.leftUntil {
			a.leftIncarnation = 0
		}
		keep := a.leftIncarnation > 0
		for k := range a.topics {
			if e := &a.topics[k]; e.present && t.age(e, now) > t.cfg.Retention {
				*e = entry{}
			}
			keep = keep || a.topics[k].present
		}
		return !keep
	})
}
