package quota

import (
	"time"

	"sloepick/decide/peermsg"
)

// Which customers ask for far more than their rate is known to their homes. Each word between gateways carries a few of
// them on, so that every gateway knows most of them some seconds later and can do without the homes where it must: a
// gateway that sees a customer's request now and then can't tell a flood from the only request of the day.
const (
	floodFrom  = 0.75             // of its requests or less had room in its quota of late: a customer that is told of ...
	floodGain  = 0.15             // ... by a mean over some seven of them: fewer are chance
	floodKept  = 10 * time.Second // a flood is believed in for so long after a home saw it: floods last some seconds or longer
	floodsMost = 1024             // are kept: the longest known goes where there are more
)

// OverQuotaReports are those that are known.
type OverQuotaReports struct {
	by   map[uint64]peermsg.OverQuotaReport
	ring []uint64 // their keys, in the order in which they are told
	next int
}

// Add takes a home's sight of one, here or told.
func (f *OverQuotaReports) Add(v peermsg.OverQuotaReport) {
	old, known := f.by[v.Key]
	if known && old.At >= v.At {
		return
	}
	if f.by == nil {
		f.by = map[uint64]peermsg.OverQuotaReport{}
	}
	if !known {
		if len(f.ring) >= floodsMost {
			delete(f.by, f.ring[0])
			f.ring = f.ring[1:]
		}
		f.ring = append(f.ring, v.Key)
	}
	f.by[v.Key] = v
}

// tell is what the next word carries: first what is known of the customer that it is about. Those that are too old to be
// believed are forgotten on the way.
func (f *OverQuotaReports) tell(now time.Duration, about uint64) (out [peermsg.MaxReports]peermsg.OverQuotaReport, n int) {
	if v, ok := f.by[about&peermsg.CustomerKeyMask]; ok && now-v.At < peermsg.MaxReportAgeSteps*peermsg.ReportAgeStep {
		out[0], n = v, 1
	}
	for range min(len(f.ring), 4*peermsg.MaxReports) {
		if n == peermsg.MaxReports {
			break
		}
		f.next %= len(f.ring)
		v := f.by[f.ring[f.next]]
		switch age := now - v.At; {
		case age > floodKept:
			delete(f.by, v.Key)
			f.ring = append(f.ring[:f.next], f.ring[f.next+1:]...)
			if len(f.ring) == 0 {
				return out, n
			}
			continue
		case age < peermsg.MaxReportAgeSteps*peermsg.ReportAgeStep:
			out[n] = v
			n++
		}
		f.next++
	}
	return out, n
}

// AllowedShare is the part of what a customer asks that its quota bears, as far as is known here; 1 where nothing is. A home
// sees too much of it where gateways refuse many requests unasked, as they see themselves.
func (b *Tracker) AllowedShare(c *Customer) float64 {
	part := 1.0
	if f, ok := b.OverQuota.by[c.Key&peermsg.CustomerKeyMask]; ok && b.Now-f.At < floodKept {
		part = f.AllowedShare
	}
	if here := 1 - c.OverShare; here < floodFrom {
		part = min(part, here)
	}
	return part
}

// RecordDecision keeps what part of a customer's requests its quota bears: as its home of those that it is asked about, elsewhere
// of those that came here.
func (b *Tracker) RecordDecision(c *Customer, within bool) {
	missed := 1.0
	if within {
		missed = 0
	}
	if c.OverShare += floodGain * (missed - c.OverShare); 1-c.OverShare < floodFrom {
		b.OverQuota.Add(peermsg.OverQuotaReport{Key: c.Key & peermsg.CustomerKeyMask, AllowedShare: 1 - c.OverShare, At: b.Now})
	}
}
