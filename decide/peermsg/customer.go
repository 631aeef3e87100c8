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

	customerHeaderLen = 10
	sampleLen         = 4 // server of three digits; class and level of one
	levelUnsuccessful = 6 // level of a sight for no answer; 7 for an error, under it doublings of firstX
	minRelativeTime   = 0.35
	reportLen         = 5    // key of four digits; age and part of one
	shareStep         = 0.75 // doublings between two levels of a told part
)

func (s ServerSample) encode(b *strings.Builder) {
	level := min(levelUnsuccessful-1, max(0, math.Round(math.Log2(max(s.RelativeTime, minRelativeTime)/minRelativeTime))))
	if s.NotOverload {
		level = levelUnsuccessful + 1
	} else if s.Unsuccessful {
		level = levelUnsuccessful
	}
	encode(b, s.Server, 3)
	encode(b, uint64(s.Class&7<<3|int(level)), 1)
}

func parseSample(s string) (sample ServerSample, ok bool) {
	d, ok := decode(s)
	level := int(d & 7)
	return ServerSample{Server: d >> 6, Class: int(d >> 3 & 7), RelativeTime: minRelativeTime * math.Exp2(float64(min(level, levelUnsuccessful-1))),
		Unsuccessful: level >= levelUnsuccessful, NotOverload: level > levelUnsuccessful}, ok
}

func (r OverQuotaReport) encode(now time.Duration, b *strings.Builder) {
	level := min(7, max(0, math.Round(-math.Log2(max(r.AllowedShare, 1e-6))/shareStep)))
	encode(b, r.Key, 4)
	encode(b, uint64(min(MaxReportAgeSteps, (now-r.At)/ReportAgeStep))<<3|uint64(level), 1)
}

func parseReport(now time.Duration, s string) (report OverQuotaReport, ok bool) {
	d, ok := decode(s)
	return OverQuotaReport{Key: d >> 6, AllowedShare: math.Exp2(-shareStep * float64(d&7)),
		At: now - time.Duration(d>>3&7)*ReportAgeStep}, ok
}

// Encode is a word as it is sent: kind, key, plan and number, figures; behind a dot, sights; behind a comma, floods.
func (m CustomerMessage) Encode(now time.Duration) string {
	var b strings.Builder
	b.WriteByte(m.Kind)
	encode(&b, m.Key, 6)
	encode(&b, uint64(m.Plan), 1)
	encode(&b, m.RequestNo&4095, 2)
	for _, value := range m.Values[:m.NumValues] {
		encode(&b, uint64(min(4095, max(0, 2048+math.Round(value*StepsPerUnit)))), 2)
	}
	if m.NumSamples > 0 {
		b.WriteByte('.')
	}
	for _, sample := range m.Samples[:m.NumSamples] {
		sample.encode(&b)
	}
	if m.NumReports > 0 {
		b.WriteByte(',')
	}
	for _, report := range m.Reports[:m.NumReports] {
		report.encode(now, &b)
	}
	return b.String()
}

// Parse reads a word that came now; ok is false if it is malformed.
func Parse(now time.Duration, s string) (m CustomerMessage, ok bool) {
	s, reports, _ := strings.Cut(s, ",")
	s, samples, _ := strings.Cut(s, ".")
	if len(samples)%sampleLen != 0 || len(samples) > MaxSamples*sampleLen ||
		len(reports)%reportLen != 0 || len(reports) > MaxReports*reportLen {
		return m, false
	}
	if len(s) < customerHeaderLen || len(s)%2 != 0 || (len(s)-customerHeaderLen)/2 > len(m.Values) {
		return m, false
	}
	head, ok := decode(s[1:customerHeaderLen])
	m.Kind, m.Key, m.Plan, m.RequestNo = s[0], head>>18, int(head>>12&63), head&4095
	for s = s[customerHeaderLen:]; s != "" && ok; s = s[2:] {
		var x uint64
		x, ok = decode(s[:2])
		m.Values[m.NumValues] = (float64(x) - 2048) / StepsPerUnit
		m.NumValues++
	}
	for ; samples != "" && ok; samples = samples[sampleLen:] {
		m.Samples[m.NumSamples], ok = parseSample(samples[:sampleLen])
		m.NumSamples++
	}
	for ; reports != "" && ok; reports = reports[reportLen:] {
		m.Reports[m.NumReports], ok = parseReport(now, reports[:reportLen])
		m.NumReports++
	}
	return m, ok
}
