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

// query is a digest of what the sender has of the authors in a range of names. Entries are found by a hash that is
// salted with the nonce, so two entries whose hashes collide in one query do not collide in later ones.
type query struct {
	Nonce  uint64 `cbor:"1,keyasint"`
	From   string `cbor:"2,keyasint"` // start of the range of names ...
	To     string `cbor:"3,keyasint"` // ... and its end, exclusive; "" is the end of all names
	Digest []byte `cbor:"4,keyasint"` // for each author's incarnation and topic a hash of 3 bytes and the known version as a uvarint
}

// reply holds records that the sender of a query lacks.
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

// The first byte of a message is its type.
const (
	queryMessage = 'q'
	replyMessage = 'a'
)

const (
	hashBytes        = 3
	digestEntryBytes = hashBytes + 4 // a hash and a version below 2^28, enough for four years at two records a second
)

// digestHash returns the hash of one incarnation of an author and a topic.
func digestHash(nonce uint64, name string, incarnation uint64, topic Topic) [hashBytes]byte {
	var b [maxNameBytes + 17]byte
	binary.LittleEndian.PutUint64(b[:], nonce)
	binary.LittleEndian.PutUint64(b[8:], incarnation)
	b[16] = byte(topic)
	n := copy(b[17:], name)
	h := xxhash.Sum64(b[:17+n])
	return [hashBytes]byte{byte(h), byte(h >> 8), byte(h >> 16)}
}

// NextQuery returns the next query, which may be sent to several members now. A query covers as many authors as fit
// into one message; the next query continues after them.
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

// HandleMessage processes a message from another member that arrived now, and returns the replies to send. A malformed
// message is counted and changes nothing else.
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

// buildReplies returns the records that the sender of a query lacks, the newest first, in at most maxReplies messages.
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
				continue // versions begin at 1
			}
			missing = append(missing, wireRecord{a.name, e.incarnation, e.version, Topic(k), uint64(math.Ceil(float64(age) / float64(time.Millisecond))), e.value})
		}
	}
	slices.SortStableFunc(missing, func(a, b wireRecord) int { return int(min(a.Age, math.MaxInt32)) - int(min(b.Age, math.MaxInt32)) })
	for len(missing) > 0 && len(replies) < maxReplies {
		n, room := 0, t.cfg.MaxMessageBytes-messageOverhead
		for n < len(missing) {
			if room -= len(missing[n].Author) + len(missing[n].Value) + 40; room < 0 && n > 0 { // CBOR numbers and headers take up to 40 bytes
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

// mergeReply merges a reply's records. Each is older than the reply states by the time since the query was sent.
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
			continue // of an earlier incarnation, or an old record of this one: this member is the authority on itself
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
