package quota

import (
	"time"

	"sloepick/decide/peermsg"
)

// Only coordinators see which customers request far more than their rate. Each message between gateways forwards reports on
// a few of them, so that every gateway knows most of them some seconds later, and can decide without coordinators where it
// must: a gateway that gets a customer's request now and then can't tell whether it is one of a great many or the only one
// of the day.
const (
	overQuotaThreshold = 0.75             // a customer is reported if less than this share of its requests fits in its quota ...
	overShareGain      = 0.15             // ... by a moving average over about seven requests: fewer would be chance
	reportTTL          = 10 * time.Second // for which a report counts: customers stay over their quota for some seconds or longer
	maxStoredReports   = 1024             // customers; with more, the one known longest is dropped
)

// OverQuotaReports holds the reports that a gateway knows. The zero value is empty.
type OverQuotaReports struct {
	byKey     map[uint64]peermsg.OverQuotaReport
	order     []uint64 // customers' keys, in the order in which their reports are forwarded
	nextIndex int
}

// Add stores a report, made here or received, unless one as new is stored.
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

// take returns the reports that the next message carries, first that on the customer that it is about. Expired reports are
// removed on the way.
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

// AllowedShare returns the share of a customer's requests that fits in its quota, as far as known here; 1 if nothing is. A
// coordinator overestimates it where gateways refuse many requests without asking, so this gateway's own average counts too.
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

// RecordDecision updates the average share of a customer's requests that fits in its quota: a coordinator counts the requests
// that it is asked about, another gateway those that arrive there.
func (t *Tracker) RecordDecision(c *Customer, withinQuota bool) {
	over := 1.0
	if withinQuota {
		over = 0
	}
	if c.OverShare += overShareGain * (over - c.OverShare); 1-c.OverShare < overQuotaThreshold {
		t.OverQuota.Add(peermsg.OverQuotaReport{Key: c.Key & peermsg.CustomerKeyMask, AllowedShare: 1 - c.OverShare, At: t.Now})
	}
}
