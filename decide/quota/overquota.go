package quota

import (
	"time"

	"sloepick/decide/peermsg"
)

// Which customers ask for far more than their rate is known to their homes. Each word between gateways carries a few of
// them on, so that every gateway knows most of them some seconds later and can do without the homes where it must: a
// gateway that sees a customer's request now and then can't tell a flood from the only request of the day.
const (
	overQuotaThreshold = 0.75             // of its requests or less had room in its quota of late: a customer that is told of ...
	overShareGain      = 0.15             // ... by a mean over some seven of them: fewer are chance
	reportTTL          = 10 * time.Second // a flood is believed in for so long after a home saw it: floods last some seconds or longer
	maxStoredReports   = 1024             // are kept: the longest known goes where there are more
)

// OverQuotaReports are those that are known.
type OverQuotaReports struct {
	byKey     map[uint64]peermsg.OverQuotaReport
	order     []uint64 // their keys, in the order in which they are told
	nextIndex int
}

// Add takes a home's sight of one, here or told.
func (r *OverQuotaReports) Add(report peermsg.OverQuotaReport) {
	old, known := r.byKey[report.Key]
	if known && old.At >= report.At {
		return
	}
	if r.byKey == nil {
		r.byKey = map[uint64]peermsg.OverQuotaReport{}
	}
	if !known {
		if len(r.order) >= maxStoredReports {
			delete(r.byKey, r.order[0])
			r.order = r.order[1:]
		}
		r.order = append(r.order, report.Key)
	}
	r.byKey[report.Key] = report
}

// take is what the next word carries: first what is known of the customer that it is about. Those that are too old to be
// believed are forgotten on the way.
func (r *OverQuotaReports) take(now time.Duration, aboutKey uint64) (reports [peermsg.MaxReports]peermsg.OverQuotaReport, n int) {
	if report, ok := r.byKey[aboutKey&peermsg.CustomerKeyMask]; ok && now-report.At < peermsg.MaxReportAgeSteps*peermsg.ReportAgeStep {
		reports[0], n = report, 1
	}
	for range min(len(r.order), 4*peermsg.MaxReports) {
		if n == peermsg.MaxReports {
			break
		}
		r.nextIndex %= len(r.order)
		report := r.byKey[r.order[r.nextIndex]]
		switch age := now - report.At; {
		case age > reportTTL:
			delete(r.byKey, report.Key)
			r.order = append(r.order[:r.nextIndex], r.order[r.nextIndex+1:]...)
			if len(r.order) == 0 {
				return reports, n
			}
			continue
		case age < peermsg.MaxReportAgeSteps*peermsg.ReportAgeStep:
			reports[n] = report
			n++
		}
		r.nextIndex++
	}
	return reports, n
}

// AllowedShare is the part of what a customer asks that its quota bears, as far as is known here; 1 where nothing is. A home
// sees too much of it where gateways refuse many requests unasked, as they see themselves.
func (t *Tracker) AllowedShare(c *Customer) float64 {
	share := 1.0
	if report, ok := t.OverQuota.byKey[c.Key&peermsg.CustomerKeyMask]; ok && t.Now-report.At < reportTTL {
		share = report.AllowedShare
	}
	if local := 1 - c.OverShare; local < overQuotaThreshold {
		share = min(share, local)
	}
	return share
}

// RecordDecision keeps what part of a customer's requests its quota bears: as its home of those that it is asked about, elsewhere
// of those that came here.
func (t *Tracker) RecordDecision(c *Customer, withinQuota bool) {
	over := 1.0
	if withinQuota {
		over = 0
	}
	if c.OverShare += overShareGain * (over - c.OverShare); 1-c.OverShare < overQuotaThreshold {
		t.OverQuota.Add(peermsg.OverQuotaReport{Key: c.Key & peermsg.CustomerKeyMask, AllowedShare: 1 - c.OverShare, At: t.Now})
	}
}
