// Package duty does pieces of work on behalf of the fleet, each by the member that owns it. Every step carries the owner's number, and the
// lease is looked at before and after each step that can't be taken back.
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

// Election tells whether this member may act for a duty, and takes that a receiver knows a higher number.
type Election interface {
	MayAct(duty string) (election.Ownership, bool)
	ReportRejection(duty string, number uint64) error
}

// DutyName is the duty of telling an outside system how the fleet stands.
const DutyName = "report"

const maxResponseBytes = 4 << 10 // bytes of a receiver's answer that are read

// Payload is a step of a duty as a receiver outside the fleet gets it: as JSON, by POST. It must take a step only if it has taken none of a
// higher number, nor one of the same number by another; else it answers 409 with the number that stands above, as {"Above": 7}.
type Payload struct {
	Duty     string
	Number   uint64
	Owner    string `json:"Who"`  // name and life of the owner
	Sequence uint64 `json:"Step"` // counts this owner's steps
	At       time.Time
	Body     any
}

// Reporter tells an outside system how the fleet stands, as long as this member owns that duty.
type Reporter struct {
	URL      string
	Interval time.Duration
	Timeout  time.Duration // of one step; well under the lease
	Body     func() any
	Election Election
	Log      *slog.Logger
	Client   *http.Client

	Accepted, Unknown, Rejected, Failed atomic.Uint64 // steps, for operators
}

// Run makes a step as often as was said, until the context ends.
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

var errRejected = errors.New("turned away")

// send makes one send. Its outcome is known only if the lease held all along.
func (r *Reporter) send(ctx context.Context, ownership election.Ownership, n uint64) {
	err := r.post(ctx, Payload{Duty: DutyName, Number: ownership.Number, Owner: ownership.Owner, Sequence: n, At: time.Now(), Body: r.Body()})
	after, still := r.Election.MayAct(DutyName)
	switch {
	case errors.Is(err, errRejected):
		r.Rejected.Add(1)
		r.Log.Warn("duty: a step was turned away", "duty", DutyName, "number", ownership.Number, "err", err)
	case !still || after != ownership:
		r.Unknown.Add(1)
		r.Log.Warn("duty: the lease ran out during a step: its outcome is unknown", "duty", DutyName, "number", ownership.Number, "err", err)
	case err != nil:
		r.Failed.Add(1)
		r.Log.Warn("duty: a step failed", "duty", DutyName, "number", ownership.Number, "err", err)
	default:
		r.Accepted.Add(1)
	}
}

func (r *Reporter) post(ctx context.Context, s Payload) error {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	b, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encoding a step: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("a step's address: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if _, ok := r.Election.MayAct(s.Duty); !ok { // encoding may have taken its time
		return errors.New("the lease ran out before the step")
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
		return errors.Join(fmt.Errorf("%w below %d", errRejected, answer.Above), err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("answered %s", resp.Status)
	}
	return err
}
