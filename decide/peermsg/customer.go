package peermsg

import (
	"math"
	"strings"
	"time"
)

// The kinds of a CustomerMessage.
const (
	KindRequest    = 'a' // a gateway requests units from a coordinator: one value
	KindReply      = 'r' // the coordinator replies: granted or not, level in units, units per second requested by all, seconds to wait
	KindSettle     = 'd' // the gateway tells the coordinator how many units more the request used
	KindGrantTotal = 'g' // a coordinator tells the other one what it granted in total, modulo GrantTotalModulus
	KindHandover   = 'h' // a coordinator that stops tells the next one how full a bucket is, in bursts
)

// CustomerMessage is a message about one customer, between gateways and coordinators. Values are encoded in steps of
// 1/[StepsPerUnit].
type CustomerMessage struct {
	Kind            byte
	Key, RequestNo  uint64 // key of the customer, of 36 bits; number of the request for units, of 12 bits
	Plan, NumValues int
	Values          [4]float64 // of these, NumValues are set
	NumSamples      int
	Samples         [MaxSamples]ServerSample
	NumReports      int
	Reports         [MaxReports]OverQuotaReport
}

// ServerSample is the result of one request at a server. The request took RelativeTime times its class's usual time.
type ServerSample struct {
	Server                    uint64 // the server's key, masked by ServerKeyMask
	Class                     int
	RelativeTime              float64
	Unsuccessful, NotOverload bool // no successful answer; the cause is no sign of overload
}

// OverQuotaReport says that a customer requests more than its quota: AllowedShare of its requests fits in the quota, as a
// gateway measured it at the time At.
type OverQuotaReport struct {
	Key          uint64 // the customer's key, masked by CustomerKeyMask
	AllowedShare float64
	At           time.Duration
}

// Sizes and steps of a CustomerMessage.
const (
	StepsPerUnit      = 16        // resolution of a value
	GrantTotalModulus = 128       // units; totals of granted units wrap there
	MaxSamples        = 3         // in a message; with twice as many, the estimate of what the servers can take reacted to chance
	MaxReports        = 2         // in a message
	ServerKeyMask     = 1<<18 - 1 // bits of a server's key that a sample carries
	CustomerKeyMask   = 1<<24 - 1 // bits of a customer's key that a report carries
	MaxClass          = 7         // highest number of a class that a sample can carry
	ReportAgeStep     = time.Second
	MaxReportAgeSteps = 7 // in ReportAgeStep; a report of this age is no longer forwarded

	customerHeaderLen = 10
	sampleLen         = 4 // server of three digits; class and level of one digit
	levelUnsuccessful = 6 // unsuccessful; the next level: also no sign of overload; lower ones: doublings of minRelativeTime
	minRelativeTime   = 0.35
	reportLen         = 5    // key of four digits; age and share of one digit
	shareStep         = 0.75 // halvings between two levels of a share
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
	return ServerSample{Server: d >> 6, Class: int(d >> 3 & 7),
		RelativeTime: minRelativeTime * math.Exp2(float64(min(level, levelUnsuccessful-1))), Unsuccessful: level >= levelUnsuccessful,
		NotOverload: level > levelUnsuccessful}, ok
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

// Encode returns the text of the message at time now: kind, key, plan, request number and values; after a dot, samples;
// after a comma, reports.
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

// Parse decodes a message received at time now; ok is false if it is malformed.
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
