package peerinfo

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// question names what the asker has of the authors in a range of names, each as a hash that another salt makes another one: two that are
// alike once are not alike for good.
type question struct {
	Nonce uint64 `cbor:"1,keyasint"`
	From  string `cbor:"2,keyasint"` // of the range ...
	To    string `cbor:"3,keyasint"` // ... to below this; "": to the end
	Has   []byte `cbor:"4,keyasint"` // for each author's life and topic a hash of three bytes, and the number of what is known of it as a uvarint
}

// answer is some of what the asker lacks.
type answer struct {
	Nonce uint64 `cbor:"1,keyasint"`
	Facts []told `cbor:"2,keyasint"`
}

type told struct {
	Author string `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	No     uint64 `cbor:"3,keyasint"`
	Topic  Topic  `cbor:"4,keyasint"`
	Age    uint64 `cbor:"5,keyasint"` // ms, rounded up
	Value  []byte `cbor:"6,keyasint"`
}

// The first byte of a message.
const (
	asks    = 'q'
	answers = 'a'
)

const (
	hashLen = 3
	hasLen  = hashLen + 4 // bytes of a hash and a number in a question, for numbers below 2^28: four years of two a second
)

// mark is a hash of what one life of an author says on a topic.
func mark(nonce uint64, name string, life uint64, topic Topic) [hashLen]byte {
	var b [nameMost + 17]byte
	binary.LittleEndian.PutUint64(b[:], nonce)
	binary.LittleEndian.PutUint64(b[8:], life)
	b[16] = byte(topic)
	n := copy(b[17:], name)
	h := xxhash.Sum64(b[:17+n])
	return [hashLen]byte{byte(h), byte(h >> 8), byte(h >> 16)}
}

// NextQuery returns the next question, which is the same for all that it is sent to now. One question names as many authors as it has room for;
// the next one goes on behind them.
func (t *Table) NextQuery(now time.Duration) []byte {
	t.sweep(now)
	t.nonce++
	q := question{Nonce: t.nonce, From: t.cursor}
	room := t.cfg.MaxMessageBytes - headRoom - 2*nameMost
	i, _ := t.find(t.cursor)
	for ; i < len(t.authors); i++ {
		a := t.authors[i]
		n := len(q.Has)
		for k := range a.topics {
			if e := &a.topics[k]; e.has {
				h := mark(q.Nonce, a.name, e.life, Topic(k))
				q.Has = binary.AppendUvarint(append(q.Has, h[:]...), e.no)
			}
		}
		if len(q.Has) > room && n > 0 {
			q.To, q.Has = a.name, q.Has[:n]
			break
		}
	}
	t.cursor = q.To
	t.asked = append(t.asked, asked{t.nonce, now})
	if n := len(t.asked) - askedMost; n > 0 {
		t.asked = slices.Delete(t.asked, 0, n)
	}
	b, err := cbor.Marshal(&q)
	if err != nil {
		return nil // numbers and strings always marshal
	}
	return append([]byte{asks}, b...)
}

// HandleMessage takes a message of another member that came now, and returns what is sent back. What can't be read is counted and changes nothing.
func (t *Table) HandleMessage(now time.Duration, msg []byte) (back [][]byte) {
	if len(msg) > 0 && msg[0] == asks {
		var q question
		if cbor.Unmarshal(msg[1:], &q) == nil && len(q.From) <= nameMost && len(q.To) <= nameMost {
			return t.answer(now, &q)
		}
	} else if len(msg) > 0 && msg[0] == answers {
		var a answer
		if cbor.Unmarshal(msg[1:], &a) == nil {
			t.learn(now, &a)
			return nil
		}
	}
	t.counts.Malformed++
	return nil
}

// answer tells what the asker lacks, the youngest first, as far as a few messages have room.
func (t *Table) answer(now time.Duration, q *question) (back [][]byte) {
	has := make(map[[hashLen]byte]uint64, len(q.Has)/hasLen)
	for b := q.Has; len(b) > hashLen; {
		no, n := binary.Uvarint(b[hashLen:])
		if n <= 0 {
			t.counts.Malformed++
			return nil
		}
		has[[hashLen]byte(b)] = no
		b = b[hashLen+n:]
	}
	var lacks []told
	for i, _ := t.find(q.From); i < len(t.authors); i++ {
		a := t.authors[i]
		if q.To != "" && strings.Compare(a.name, q.To) >= 0 {
			break
		}
		for k := range a.topics {
			e := &a.topics[k]
			age := t.age(e, now)
			if !e.has || age > t.cfg.Retention || has[mark(q.Nonce, a.name, e.life, Topic(k))] >= e.no {
				continue // a number begins at 1
			}
			lacks = append(lacks, told{a.name, e.life, e.no, Topic(k), uint64(math.Ceil(float64(age) / float64(time.Millisecond))), e.value})
		}
	}
	slices.SortStableFunc(lacks, func(a, b told) int { return int(min(a.Age, math.MaxInt32)) - int(min(b.Age, math.MaxInt32)) })
	for len(lacks) > 0 && len(back) < answersMost {
		n, room := 0, t.cfg.MaxMessageBytes-headRoom
		for n < len(lacks) {
			if room -= len(lacks[n].Author) + len(lacks[n].Value) + 40; room < 0 && n > 0 { // numbers, and their heads
				break
			}
			n++
		}
		b, err := cbor.Marshal(&answer{q.Nonce, lacks[:n]})
		if err != nil {
			return back // numbers and strings always marshal
		}
		back, lacks = append(back, append([]byte{answers}, b...)), lacks[n:]
	}
	return back
}

// learn takes an answer. All that it tells is older by the time since the question.
func (t *Table) learn(now time.Duration, a *answer) {
	i := slices.IndexFunc(t.asked, func(q asked) bool { return q.nonce == a.Nonce })
	if i < 0 {
		t.counts.UnmatchedReplies++
		return
	}
	for _, f := range a.Facts {
		if f.Author == "" || len(f.Author) > nameMost || int(f.Topic) >= topicsMost || len(f.Value) > valueMost || f.No == 0 {
			t.counts.Malformed++
			continue
		}
		if f.Author == t.cfg.Name {
			continue // an earlier life's, or a fact of this one that is told late: nobody knows better than this member
		}
		if f.Age > uint64(t.cfg.Retention/time.Millisecond) {
			t.counts.Rejected++
			continue
		}
		age := t.cfg.AdvanceAge(time.Duration(f.Age)*time.Millisecond, t.asked[i].at, now)
		if t.take(now, Record{f.Author, f.Life, f.No, f.Topic, f.Value}, age) {
			t.counts.Learned++
		}
	}
}
