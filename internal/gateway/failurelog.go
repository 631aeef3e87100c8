package gateway

import (
	"log/slog"
	"time"
)

const (
	sameFailureInterval = 30 * time.Second
	failureInterval     = time.Second
)

// failureLog limits the rate of warnings: a different failure is logged again after failureInterval, the same
// failure after sameFailureInterval.
type failureLog struct {
	log        *slog.Logger
	last       string
	at         time.Time
	suppressed int // number of failures since the last one logged
}

func (f *failureLog) warn(what string, err error) {
	since, text := time.Since(f.at), err.Error()
	if !f.at.IsZero() && (since < failureInterval || since < sameFailureInterval && text == f.last) {
		f.suppressed++
		return
	}
	f.log.Warn(what, "err", text, "untold", f.suppressed)
	f.last, f.at, f.suppressed = text, time.Now(), 0
}
