// Package peerinfo is a table of what each member of a fleet knows of the others. It holds versioned records, each
// published by one member, with an upper bound on the age of each. The package does no I/O: messages and times are
// passed in, and messages to send are returned. docs/design/limits.md states the guarantees and their reasons.
//
// Of each author and topic the table keeps the newest record: a higher incarnation of the author wins, then a higher
// version. Each lookup states the highest age that the caller accepts. Records spread by pull-based anti-entropy: a
// query carries a digest of what the sender has, and a reply carries what the sender lacks. A record in a reply gets
// the age that the replying member states, plus the whole time since the query was sent. The age therefore is never
// understated, over any number of hops, even if messages are lost, delayed, duplicated or reordered, and even if
// members' clocks differ.
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

// Config configures a table.
type Config struct {
	Name            string        // of this member
	Incarnation     uint64        // of its process: records of a later incarnation replace those of an earlier one
	ClockDrift      float64       // largest relative error of a member's clock rate
	Retention       time.Duration // older records are dropped, and neither sent nor accepted
	MaxAuthors      int           // highest number of known authors; records of further authors are not accepted
	Interval        time.Duration // between a member's queries, and between the records that it publishes
	Fanout          int           // members that receive each query
	MaxMessageBytes int           // highest size of a message
}

// DefaultConfig returns values for a local network.
func DefaultConfig() Config {
	return Config{ClockDrift: 0.001, Retention: 10 * time.Minute, MaxAuthors: 4096, Interval: 500 * time.Millisecond, Fanout: 2, MaxMessageBytes: 1300}
}

const (
	maxNameBytes      = 64 // of an author's name
	maxValueBytes     = 64 // of a record's value
	maxTopics         = 8  // of an author
	maxPendingQueries = 32 // queries whose replies are still accepted; replies to older ones are counted as unmatched
	maxReplies        = 8  // messages in reply to one query
	messageOverhead   = 64 // bytes of a message besides its entries and names
)

// Validate returns an error for the first invalid value.
func (c *Config) Validate() error {
	switch {
	case c.Name == "" || len(c.Name) > maxNameBytes:
		return fmt.Errorf("peerinfo: name has %d bytes, want 1 to %d", len(c.Name), maxNameBytes)
	case c.ClockDrift < 0 || c.ClockDrift >= 0.5:
		return fmt.Errorf("peerinfo: clock drift %v, want at least 0 and less than 0.5", c.ClockDrift)
	case c.Retention <= 0 || c.Interval <= 0 || c.Retention <= c.Interval:
		return fmt.Errorf("peerinfo: retention %v and interval %v, want an interval above 0 and a longer retention", c.Retention, c.Interval)
	case c.MaxAuthors < 1 || c.Fanout < 1:
		return fmt.Errorf("peerinfo: %d authors and a fanout of %d, want at least 1 of each", c.MaxAuthors, c.Fanout)
	case c.MaxMessageBytes < 2*maxNameBytes+maxValueBytes+2*messageOverhead:
		return fmt.Errorf("peerinfo: a message size of %d bytes is too small for one record", c.MaxMessageBytes)
	}
	return nil
}

// Topic is what a record is about. It is below 8.
type Topic uint8

// Record is the value that an author published for a topic.
type Record struct {
	Author      string
	Incarnation uint64
	Version     uint64 // increases with each record of an incarnation
	Topic       Topic
	Value       []byte
}

// ErrUnknown reports that no record is known.
var ErrUnknown = errors.New("peerinfo: no record is known")

// StaleError reports that the known record is older than the caller accepts.
type StaleError struct{ Age, MaxAge time.Duration }

func (e *StaleError) Error() string {
	return fmt.Sprintf("peerinfo: the record is up to %v old, want at most %v", e.Age.Round(time.Millisecond), e.MaxAge)
}

// entry is a stored record. Its age was at most age at the time asOf.
type entry struct {
	incarnation, version uint64
	value                []byte
	age, asOf            time.Duration
	present              bool
}

// author holds the records of one member. A member that left keeps its entry for a while, so that records that others
// still send do not bring it back.
type author struct {
	name            string
	topics          [maxTopics]entry
	leftIncarnation uint64 // records of this incarnation and of earlier ones are rejected ...
	leftUntil       time.Duration
}

// Table holds the records that one member knows. It is created by [New]. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	version uint64
	authors []*author // sorted by name
	cursor  string    // the next query begins at this name
	nonce   uint64
	pending []pendingQuery // the newest last
	stats   Stats
}

type pendingQuery struct {
	nonce  uint64
	sentAt time.Duration
}

// Stats counts what became of received messages and records.
type Stats struct {
	Learned          uint64 // records that were new here
	UnmatchedReplies uint64 `json:"Undated"` // replies to no pending query: the age of their records can't be bounded, so they are ignored
	Malformed        uint64 `json:"Spoilt"`  // messages and records that can't be read
	TableFull        uint64 `json:"Full"`    // records that were not accepted because the table has MaxAuthors authors
	Rejected         uint64 `json:"Refused"` // records that were too old, or of a member that left
}

// New returns an empty table. The nonce is the start of the numbering of its queries and must differ between processes.
func New(cfg Config, nonce uint64) (*Table, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Table{cfg: cfg, nonce: nonce}, nil
}

// Stats returns the counters so far.
func (t *Table) Stats() Stats { return t.stats }

func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.authors, name, func(a *author, n string) int { return strings.Compare(a.name, n) })
}

// AdvanceAge returns the upper bound of an age after the time between from and to on a member's clock, which may run
// slow.
func (c *Config) AdvanceAge(age, from, to time.Duration) time.Duration {
	return age + time.Duration(math.Ceil(float64(to-from)/(1-c.ClockDrift)))
}

func (t *Table) age(e *entry, now time.Duration) time.Duration {
	return t.cfg.AdvanceAge(e.age, e.asOf, now)
}

// Publish sets this member's record for a topic, with the current time.
func (t *Table) Publish(now time.Duration, topic Topic, value []byte) error {
	if int(topic) >= maxTopics || len(value) > maxValueBytes {
		return fmt.Errorf("peerinfo: topic %d with a value of %d bytes, want a topic below %d and at most %d bytes", topic, len(value), maxTopics, maxValueBytes)
	}
	t.version++
	if !t.merge(now, Record{Author: t.cfg.Name, Incarnation: t.cfg.Incarnation, Version: t.version, Topic: topic, Value: value}, 0) {
		return fmt.Errorf("peerinfo: the table is full with %d authors", t.cfg.MaxAuthors)
	}
	return nil
}

// merge stores a record of the given age if it is newer than the stored one, and lowers the age of a stored record that
// is the same. It reports whether the record was new.
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
		if age < t.age(e, now) { // both are upper bounds, so the lower one holds
			e.age, e.asOf = age, now
		}
		return false
	}
	*e = entry{incarnation: r.Incarnation, version: r.Version, value: slices.Clone(r.Value), age: age, asOf: now, present: true}
	return true
}

// Lookup returns an author's record for a topic and an upper bound of its age. The error is ErrUnknown, or a
// [*StaleError] if the bound is above maxAge.
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

// KnownAuthors returns the authors with a known record for a topic, sorted by name.
func (t *Table) KnownAuthors(now time.Duration, topic Topic) (names []string) {
	for _, a := range t.authors {
		if e := &a.topics[topic]; e.present && t.age(e, now) <= t.cfg.Retention {
			names = append(names, a.name)
		}
	}
	return names
}

// RemoveMember drops all records of a member that left, and rejects further records of that incarnation and of earlier
// ones. The rejection ends when any such record that others still send is older than Retention.
func (t *Table) RemoveMember(now time.Duration, name string, incarnation uint64) {
	i, known := t.find(name)
	if !known {
		if len(t.authors) >= t.cfg.MaxAuthors {
			return // its records are not accepted either
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

// AdjustForSuspend adds time that passed while the member's monotonic clock stood still, as on a machine that was
// suspended.
func (t *Table) AdjustForSuspend(now, d time.Duration) {
	for _, a := range t.authors {
		for k := range a.topics {
			a.topics[k].age += d
		}
	}
	t.pending = nil // a reply that arrives now answers a query from before the suspension
}

// sweep drops records that are too old, and authors without records.
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
