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

// configureDuties makes a member take part in electing the owners of the fleet's duties.
func configureDuties(f *gossip.Config, d *daemonconfig.DutiesConfig) error {
	if d == nil {
		return nil
	}
	f.Election = d.Election
	if d.Report != nil {
		f.Election.Duties = append(f.Election.Duties, fleetreport.DutyName)
	}
	if len(f.Election.Duties) == 0 {
		return errors.New("the block duties declares no duty")
	}
	return nil
}

// startDuties performs the fleet's duties whenever this member owns them, until the returned function is called.
func (r *reloader) startDuties() (end func()) {
	d := daemonconfig.Duties(r.current)
	if d == nil || d.Report == nil || r.member == nil {
		return func() {}
	}
	reporter := &fleetreport.Reporter{URL: d.Report.URL, Interval: d.Report.Interval, Timeout: d.Election.Lease / 3, Election: r.member, Log: r.log,
		Body: func() any { return r.member.Status() }, Client: &http.Client{}}
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { reporter.Run(ctx) })
	return func() {
		stop()
		done.Wait()
	}
}
