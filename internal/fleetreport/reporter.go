// Package fleetreport sends reports on the state of the fleet to an outside system, from one member at a time: the
// owner of the duty "report". Each report carries the owner's fencing number, and the lease is checked before and
// after each report is sent.
package fleetreport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"sloepick/internal/election"
)

// Election tells whether this member owns a duty, and is notified if a receiver knows a higher number.
type Election interface {
	MayAct(duty string) (election.Ownership, bool)
	ReportRejection(duty string, number uint64) error
}

// DutyName is the name of the duty of reporting the fleet's state to an outside system.
const DutyName = "report"

const maxResponseBytes = 4 << 10 // of a receiver's answer that are read

// Payload is a report as the receiver gets it, as JSON in a POST request. The receiver must accept it only if it has
// accepted none with a higher number, and none with the same number from another owner. Otherwise it must answer 409
// with the highest number, as {"Above": 7}.
type Payload struct {
	Duty     string
	Number   uint64
	Owner    string `json:"Who"`  // name and incarnation of the owner
	Sequence uint64 `json:"Step"` // sequence number of this owner's reports
	At       time.Time
	Body     any
}

// Reporter sends reports to an outside system while this member owns the duty.
type Reporter struct {
	URL      string
	Interval time.Duration
	Timeout  time.Duration // of one request; well below the lease
	Body     func() any    // returns the content of a report
	Election Election
	Log      *slog.Logger
	Client   *http.Client

	Accepted, Unknown, Rejected, Failed atomic.Uint64 // counts of reports by outcome
}

// Run sends a report once per interval until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	t := time.NewTicker(r.Interval)
	defer t.Stop()
	for n := uint64(1); ; {
		if ownership, ok := r.Election.MayAct(DutyName); ok {
			r.send(ctx, ownership, n)
			n++
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

var errRejected = errors.New("rejected by the receiver")

// send sends one report. Its outcome is known only if the lease was held throughout.
func (r *Reporter) send(ctx context.Context, ownership election.Ownership, n uint64) {
	err := r.post(ctx, Payload{Duty: DutyName, Number: ownership.Number, Owner: ownership.Owner, Sequence: n, At: time.Now(), Body: r.Body()})
	after, still := r.Election.MayAct(DutyName)
	switch {
	case errors.Is(err, errRejected):
		r.Rejected.Add(1)
		r.Log.Warn("duty: report rejected", "duty", DutyName, "number", ownership.Number, "err", err)
	case !still || after != ownership:
		r.Unknown.Add(1)
		r.Log.Warn("duty: lease lost while sending a report; outcome unknown", "duty", DutyName, "number", ownership.Number, "err", err)
	case err != nil:
		r.Failed.Add(1)
		r.Log.Warn("duty: sending a report failed", "duty", DutyName, "number", ownership.Number, "err", err)
	default:
		r.Accepted.Add(1)
	}
}

func (r *Reporter) post(ctx context.Context, s Payload) error {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	b, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encoding the report: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("creating the request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if _, ok := r.Election.MayAct(s.Duty); !ok { // the lease may have expired during encoding
		return errors.New("lease expired before the report was sent")
	}
	resp, err := r.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var answer struct{ Above uint64 }
	b, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode == http.StatusConflict {
		if json.Unmarshal(b, &answer) == nil && answer.Above > 0 {
			err = r.Election.ReportRejection(s.Duty, answer.Above)
		}
		return errors.Join(fmt.Errorf("%w: its highest number is %d", errRejected, answer.Above), err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("unexpected HTTP status %s", resp.Status)
	}
	return err
}
