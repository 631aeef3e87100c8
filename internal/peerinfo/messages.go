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

// query names what the asker has of the authors in a range of names, each as a hash that another salt makes another one: two that are
// alike once are not alike for good.
type query struct {
	Nonce  uint64 `cbor:"1,keyasint"`
	From   string `cbor:"2,keyasint"` // of the range ...
	To     string `cbor:"3,keyasint"` // ... to below this; "": to the end
	Digest []byte `cbor:"4,keyasint"` // for each author's life and topic a hash of three bytes, and the number of what is known of it as a uvarint
}

// reply is some of what the asker lacks.
type reply struct {
	Nonce   uint64       `cbor:"1,keyasint"`
	Records []wireRecord `cbor:"2,keyasint"`
}

type wireRecord struct {
	Author      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Version     uint64 `cbor:"3,keyasint"`
	Topic       Topic  `cbor:"4,keyasint"`
	Age         uint64 `cbor:"5,keyasint"` // ms, rounded up
	Value       []byte `cbor:"6,keyasint"`
}

// The first byte of a message.
const (
	queryMessage = 'q'
	replyMessage = 'a'
)

const (
	hashBytes        = 3
	digestEntryBytes = hashBytes + 4 // bytes of a hash and a number in a question, for numbers below 2^28: four years of two a second
)

// digestHash is a hash of what one life of an author says on a topic.
func digestHash(nonce uint64, name string, incarnation uint64, topic Topic) [hashBytes]byte {
	var b [maxNameBytes + 17]byte
	binary.LittleEndian.PutUint64(b[:], nonce)
	binary.LittleEndian.PutUint64(b[8:], incarnation)
	b[16] = byte(topic)
	n := copy(b[17:], name)
	h := xxhash.Sum64(b[:17+n])
	return [hashBytes]byte{byte(h), byte(h >> 8), byte(h >> 16)}
}

// NextQuery returns the next question, which is the same for all that it is sent to now. One question names as many authors as it has room for;
// the next one goes on behind them.
func (t *Table) NextQuery(now time.Duration) []byte {
	t.sweep(now)
	t.nonce++
	q := query{Nonce: t.nonce, From: t.cursor}
	room := t.cfg.MaxMessageBytes - messageOverhead - 2*maxNameBytes
	i, _ := t.find(t.cursor)
	for ; i < len(t.authors); i++ {
		a := t.authors[i]
		n := len(q.Digest)
		for k := range a.topics {
			if e := &a.topics[k]; e.present {
				h := digestHash(q.Nonce, a.name, e.incarnation, Topic(k))
				q.Digest = binary.AppendUvarint(append(q.Digest, h[:]...), e.version)
			}
		}
		if len(q.Digest) > room && n > 0 {
			q.To, q.Digest = a.name, q.Digest[:n]
			break
		}
	}
	t.cursor = q.To
	t.pending = append(t.pending, pendingQuery{t.nonce, now})
	if n := len(t.pending) - maxPendingQueries; n > 0 {
		t.pending = slices.Delete(t.pending, 0, n)
	}
	b, err := cbor.Marshal(&q)
	if err != nil {
		return nil // numbers and strings always marshal
	}
	return append([]byte{queryMessage}, b...)
}

// HandleMessage takes a message of another member that came now, and returns what is sent back. What can't be read is counted and changes nothing.
func (t *Table) HandleMessage(now time.Duration, msg []byte) (replies [][]byte) {
	if len(msg) > 0 && msg[0] == queryMessage {
		var q query
		if cbor.Unmarshal(msg[1:], &q) == nil && len(q.From) <= maxNameBytes && len(q.To) <= maxNameBytes {
			return t.buildReplies(now, &q)
		}
	} else if len(msg) > 0 && msg[0] == replyMessage {
		var a reply
		if cbor.Unmarshal(msg[1:], &a) == nil {
			t.mergeReply(now, &a)
			return nil
		}
	}
	t.stats.Malformed++
	return nil
}

// buildReplies tells what the asker lacks, the youngest first, as far as a few messages have room.
func (t *Table) buildReplies(now time.Duration, q *query) (replies [][]byte) {
	known := make(map[[hashBytes]byte]uint64, len(q.Digest)/digestEntryBytes)
	for b := q.Digest; len(b) > hashBytes; {
		version, n := binary.Uvarint(b[hashBytes:])
		if n <= 0 {
			t.stats.Malformed++
			return nil
		}
		known[[hashBytes]byte(b)] = version
		b = b[hashBytes+n:]
	}
	var missing []wireRecord
	for i, _ := t.find(q.From); i < len(t.authors); i++ {
		a := t.authors[i]
		if q.To != "" && strings.Compare(a.name, q.To) >= 0 {
			break
		}
		for k := range a.topics {
			e := &a.topics[k]
			age := t.age(e, now)
			if !e.present || age > t.cfg.Retention || known[digestHash(q.Nonce, a.name, e.incarnation, Topic(k))] >= e.version {
				continue // a number begins at 1
			}
			missing = append(missing, wireRecord{a.name, e.incarnation, e.version, Topic(k), uint64(math.Ceil(float64(age) / float64(time.Millisecond))), e.value})
		}
	}
	slices.SortStableFunc(missing, func(a, b wireRecord) int { return int(min(a.Age, math.MaxInt32)) - int(min(b.Age, math.MaxInt32)) })
	for len(missing) > 0 && len(replies) < maxReplies {
		n, room := 0, t.cfg.MaxMessageBytes-messageOverhead
		for n < len(missing) {
			if room -= len(missing[n].Author) + len(missing[n].Value) + 40; room < 0 && n > 0 { // numbers, and their heads
				break
			}
			n++
		}
		b, err := cbor.Marshal(&reply{q.Nonce, missing[:n]})
		if err != nil {
			return replies // numbers and strings always marshal
		}
		replies, missing = append(replies, append([]byte{replyMessage}, b...)), missing[n:]
	}
	return replies
}

// mergeReply takes an answer. All that it tells is older by the time since the question.
func (t *Table) mergeReply(now time.Duration, a *reply) {
	i := slices.IndexFunc(t.pending, func(q pendingQuery) bool { return q.nonce == a.Nonce })
	if i < 0 {
		t.stats.UnmatchedReplies++
		return
	}
	for _, r := range a.Records {
		if r.Author == "" || len(r.Author) > maxNameBytes || int(r.Topic) >= maxTopics || len(r.Value) > maxValueBytes || r.Version == 0 {
			t.stats.Malformed++
			continue
		}
		if r.Author == t.cfg.Name {
			continue // an earlier life's, or a fact of this one that is told late: nobody knows better than this member
		}
		if r.Age > uint64(t.cfg.Retention/time.Millisecond) {
			t.stats.Rejected++
			continue
		}
		age := t.cfg.AdvanceAge(time.Duration(r.Age)*time.Millisecond, t.pending[i].sentAt, now)
		if t.merge(now, Record{r.Author, r.Incarnation, r.Version, r.Topic, r.Value}, age) {
			t.stats.Learned++
		}
	}
}
