package peermsg

import (
	"math"
	"strings"
	"time"
)

// The kinds of word.
const (
	KindRequest    = 'a' // a gateway asks a home for units: one figure
	KindReply      = 'r' // the home answers: granted or not, units in the bucket, units a second asked by all, seconds to wait
	KindSettle     = 'd' // the gateway tells the home how many units more it was
	KindGrantTotal = 'g' // a home tells the other one what it granted in all, modulo GivenWrap
	KindHandover   = 'h' // a home that stops tells the next one how full a bucket is, in bursts
)

// CustomerMessage is what gateways and homes say to each other of one customer. Figures are told in steps of a [StepsPerUnit]-th.
type CustomerMessage struct {
	Kind            byte
	Key, RequestNo  uint64 // of the customer, under 36 bits; of the question, under 12 bits
	Plan, NumValues int
	Values          [4]float64 // N figures
	NumSamples      int
	Samples         [MaxSamples]ServerSample
	NumReports      int
	Reports         [MaxReports]OverQuotaReport
}

// ServerSample is how one request fared at a server: X times its class's usual time.
type ServerSample struct {
	Server                    uint64 // its key, under ServerMask
	Class                     int
	RelativeTime              float64
	Unsuccessful, NotOverload bool
}

// OverQuotaReport is a customer that asks for more than its quota: that part of its requests is borne by it, as a home saw it At then.
type OverQuotaReport struct {
	Key          uint64 // of the customer, under FloodMask
	AllowedShare float64
	At           time.Duration
}

// Sizes and steps of a word.
const (
	StepsPerUnit      = 16        // of a told figure
	GrantTotalModulus = 128       // totals of units wrap there
	MaxSamples        = 3         // that a word carries: twice as many made the flow react to chance
	MaxReports        = 2         // that a word carries
	ServerKeyMask     = 1<<18 - 1 // of a server's key
	CustomerKeyMask   = 1<<24 - 1 // of a customer's key
	MaxClass          = 7         // number of the last class that a sight can name
	ReportAgeStep     = time.Second
	MaxReportAgeSteps = 7 // times FloodAge: from that age on a flood is told no more

	wordHead  = 10
	sightLen  = 4 // server of three digits; class and level of one
	unseen    = 6 // level of a sight for no answer; 7 for an error, under it doublings of firstX
	firstX    = 0.35
	floodLen  = 5    // key of four digits; age and part of one
	floodStep = 0.75 // doublings between two levels of a told part
)

func (v ServerSample) encode(b *strings.Builder) {
	level := min(unseen-1, max(0, math.Round(math.Log2(max(v.RelativeTime, firstX)/firstX))))
	if v.NotOverload {
		level = unseen + 1
	} else if v.Unsuccessful {
		level = unseen
	}
	encode(b, v.Server, 3)
	encode(b, uint64(v.Class&7<<3|int(level)), 1)
}

func parseSight(s string) (v ServerSample, ok bool) {
	d, ok := decode(s)
	level := int(d & 7)
	return ServerSample{Server: d >> 6, Class: int(d >> 3 & 7), RelativeTime: firstX * math.Exp2(float64(min(level, unseen-1))),
		Unsuccessful: level >= unseen, NotOverload: level > unseen}, ok
}

func (v OverQuotaReport) encode(now time.Duration, b *strings.Builder) {
	level := min(7, max(0, math.Round(-math.Log2(max(v.AllowedShare, 1e-6))/floodStep)))
	encode(b, v.Key, 4)
	encode(b, uint64(min(MaxReportAgeSteps, (now-v.At)/ReportAgeStep))<<3|uint64(level), 1)
}

func parseFlood(now time.Duration, s string) (v OverQuotaReport, ok bool) {
	d, ok := decode(s)
	return OverQuotaReport{Key: d >> 6, AllowedShare: math.Exp2(-floodStep * float64(d&7)),
		At: now - time.Duration(d>>3&7)*ReportAgeStep}, ok
}

// Encode is a word as it is sent: kind, key, plan and number, figures; behind a dot, sights; behind a comma, floods.
func (w CustomerMessage) Encode(now time.Duration) string {
	var b strings.Builder
	b.WriteByte(w.Kind)
	encode(&b, w.Key, 6)
	encode(&b, uint64(w.Plan), 1)
	encode(&b, w.RequestNo&4095, 2)
	for _, x := range w.Values[:w.NumValues] {
		encode(&b, uint64(min(4095, max(0, 2048+math.Round(x*StepsPerUnit)))), 2)
	}
	if w.NumSamples > 0 {
		b.WriteByte('.')
	}
	for _, v := range w.Samples[:w.NumSamples] {
		v.encode(&b)
	}
	if w.NumReports > 0 {
		b.WriteByte(',')
	}
	for _, v := range w.Reports[:w.NumReports] {
		v.encode(now, &b)
	}
	return b.String()
}

// Parse reads a word that came now; ok is false if it is malformed.
func Parse(now time.Duration, s string) (w CustomerMessage, ok bool) {
	s, told, _ := strings.Cut(s, ",")
	s, news, _ := strings.Cut(s, ".")
	if len(news)%sightLen != 0 || len(news) > MaxSamples*sightLen ||
		len(told)%floodLen != 0 || len(told) > MaxReports*floodLen {
		return w, false
	}
	if len(s) < wordHead || len(s)%2 != 0 || (len(s)-wordHead)/2 > len(w.Values) {
		return w, false
	}
	head, ok := decode(s[1:wordHead])
	w.Kind, w.Key, w.Plan, w.RequestNo = s[0], head>>18, int(head>>12&63), head&4095
	for s = s[wordHead:]; s != "" && ok; s = s[2:] {
		var x uint64
		x, ok = decode(s[:2])
		w.Values[w.NumValues] = (float64(x) - 2048) / StepsPerUnit
		w.NumValues++
	}
	for ; news != "" && ok; news = news[sightLen:] {
		w.Samples[w.NumSamples], ok = parseSight(news[:sightLen])
		w.NumSamples++
	}
	for ; told != "" && ok; told = told[floodLen:] {
		w.Reports[w.NumReports], ok = parseFlood(now, told[:floodLen])
		w.NumReports++
	}
	return w, ok
}
