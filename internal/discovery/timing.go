package discovery

import "time"

// Timing holds the durations and bounds that a Scheduler follows.
type Timing struct {
	Wait            time.Duration // how long a watch asks discovery to wait for a change
	ShortWait       time.Duration // the wait of a watch that has to show whether discovery answers within ShortWait + Grace
	Grace           time.Duration // an answer is in time if it takes at most this much longer than discovery was asked to wait
	ProbeTimeout    time.Duration // a poll that has taken longer is overdue: it is kept or canceled, and another one may begin
	ProbeInterval   time.Duration // between the starts of polls while discovery is silent
	PollInterval    time.Duration // between the starts of polls while discovery answers late, and at least between those that are kept
	RetryDelay      time.Duration // before the next call if one failed at once or brought nothing at once
	SettleTime      time.Duration // polls go on for this long after the last sign that discovery answers late
	CrowdedDelay    time.Duration // an answer that takes longer shows that more calls don't help, and may be what delays it
	SequentialTime  time.Duration // after that, polls follow each other for this long, and as long as answers take half of CrowdedDelay at most
	RecurrenceTime  time.Duration // a second overdue watch within it is a sign that discovery answers late
	GiveUpTime      time.Duration // a call is given up this long after its wait is over
	MaxCalls        int           // calls in progress at once
	MaxOlderAnswers int           // consecutive answers of an older version after which discovery has restarted its version count
}

// DefaultTiming returns the timing for a platform on which a change counts as told six seconds after discovery had it. Polls that
// are kept begin every PollInterval, so the gateway hears of a change within PollInterval plus the time of an answer, which leaves
// 5.4 s for the answer.
func DefaultTiming() Timing {
	return Timing{
		Wait:            4 * time.Second,
		ShortWait:       2500 * time.Millisecond,
		Grace:           500 * time.Millisecond,
		ProbeTimeout:    250 * time.Millisecond,
		ProbeInterval:   300 * time.Millisecond,
		PollInterval:    600 * time.Millisecond,
		RetryDelay:      50 * time.Millisecond,
		SettleTime:      6 * time.Second,
		CrowdedDelay:    6 * time.Second,
		SequentialTime:  2 * time.Minute,
		RecurrenceTime:  30 * time.Second,
		GiveUpTime:      30 * time.Second,
		MaxCalls:        12,
		MaxOlderAnswers: 3,
	}
}
