package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"sloepick/internal/daemonconfig"
	"sloepick/internal/fleetreport"
	"sloepick/internal/gossip"
)

// withDuties has a member take part in the fleet's work.
func withDuties(f *gossip.Config, d *daemonconfig.DutiesConfig) error {
	if d == nil {
		return nil
	}
	f.Election = d.Election
	if d.Report != nil {
		f.Election.Duties = append(f.Election.Duties, fleetreport.DutyName)
	}
	if len(f.Election.Duties) == 0 {
		return errors.New("the block duties has no duty")
	}
	return nil
}

// serveDuties does the fleet's work while this member owns it, until the function that it returns is called.
func (r *reloader) serveDuties() (end func()) {
	d := daemonconfig.Duties(r.now)
	if d == nil || d.Report == nil || r.member == nil {
		return func() {}
	}
	report := &fleetreport.Reporter{URL: d.Report.URL, Interval: d.Report.Interval, Timeout: d.Election.Lease / 3, Election: r.member, Log: r.log,
		Body: func() any { return r.member.Status() }, Client: &http.Client{}}
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { report.Run(ctx) })
	return func() {
		stop()
		done.Wait()
	}
}
