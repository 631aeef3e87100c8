package daemonconfig

import (
	"net/url"
	"time"

	"sloepick/internal/election"
	"sloepick/internal/operator"
)

// dutiesBlock declares the block duties.
func dutiesBlock() *operator.Block {
	return &operator.Block{
		Name: "duties", Check: checkDuties,
		Doc: "Work on behalf of the fleet, each by one member at a time. The same in the files of all members. Without the block there is none.",
		Keys: []operator.Key{
			{Name: "voters", Kind: operator.Count, Default: "5", Min: "1", Max: "9", Applied: operator.AtRestart,
				Doc: "Members that vote on owners, at first those in the lowest places. More than half of them have to be there; one that is gone is replaced, one after the other."},
			{Name: "lease", Kind: operator.Duration, Default: "6s", Min: "1s", Max: "10m", Applied: operator.AtRestart,
				Doc: "For how long an owner owns without being heard. Another one takes over after it."},
		},
		Blocks: []*operator.Block{{
			Name: "report", Doc: "Tell an outside system how the fleet stands, by POST, as JSON with the owner's number.",
			Keys: []operator.Key{
				{Name: "url", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "Where to, as \"http://host:port/path\". Required."},
				{Name: "every", Kind: operator.Duration, Default: "10s", Min: "100ms", Max: "1h", Applied: operator.AtRestart, Doc: "Time from one report to the next."},
			},
		}},
	}
}

func checkDuties(s *operator.Section) (out []operator.Problem) {
	r := s.Section("report")
	if !r.Present() {
		return nil
	}
	u, err := url.Parse(r.Text("url"))
	if !r.IsSet("url") || err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return []operator.Problem{{Key: "report.url", Msg: "a report needs an address such as \"http://127.0.0.1:9000/fleet\""}}
	}
	return nil
}

// DutiesConfig are a fleet's work.
type DutiesConfig struct {
	Election election.Config // without duties' names
	Report   *ReportConfig   // nil: none
}

// ReportConfig is where the fleet's standing is told.
type ReportConfig struct {
	URL      string
	Interval time.Duration
}

// The times of a lease that an owner renews it in, waits for answers, and the next candidate waits.
const (
	renewPart  = 4
	answerPart = 12
	stepPart   = 6
)

// Duties reads the block; nil: there is none.
func Duties(c *operator.Config) *DutiesConfig {
	s := c.Section("duties")
	if !s.Present() {
		return nil
	}
	o := election.DefaultConfig()
	o.InitialVoters, o.Lease = s.Count("voters"), s.Duration("lease")
	o.RenewInterval, o.AnswerTimeout, o.CandidateDelay = o.Lease/renewPart, o.Lease/answerPart, o.Lease/stepPart
	d := &DutiesConfig{Election: o}
	if r := s.Section("report"); r.Present() {
		d.Report = &ReportConfig{r.Text("url"), r.Duration("every")}
	}
	return d
}
