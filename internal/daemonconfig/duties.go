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
		Doc: "Tasks on behalf of the fleet, each done by one member at a time. The block must be the same in the files of all members. Without it there are no such tasks.",
		Keys: []operator.Key{
			{Name: "voters", Kind: operator.Count, Default: "5", Min: "1", Max: "9", Applied: operator.AtRestart,
				Doc: "Members that vote on owners, at first those in the lowest places. More than half of them must be reachable. Lost voters are replaced one at a time."},
			{Name: "lease", Kind: operator.Duration, Default: "6s", Min: "1s", Max: "10m", Applied: operator.AtRestart,
				Doc: "How long an owner keeps its task without renewing it. After this time another member can take over."},
		},
		Blocks: []*operator.Block{{
			Name: "report", Doc: "Report the status of the fleet to an external system, by POST, as JSON with the owner's number.",
			Keys: []operator.Key{
				{Name: "url", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "Where reports are sent, as \"http://host:port/path\". Required."},
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

// DutiesConfig configures the tasks that members do on behalf of the fleet.
type DutiesConfig struct {
	Election election.Config // without the names of the tasks
	Report   *ReportConfig   // nil: no reports
}

// ReportConfig is where and how often the status of the fleet is reported.
type ReportConfig struct {
	URL      string
	Interval time.Duration
}

// Divisors of the lease for an owner's renewal interval, the time-out for answers and the delay between candidates.
const (
	renewDivisor     = 4
	answerDivisor    = 12
	candidateDivisor = 6
)

// Duties returns the configuration of the block duties, or nil if there is none.
func Duties(c *operator.Config) *DutiesConfig {
	s := c.Section("duties")
	if !s.Present() {
		return nil
	}
	o := election.DefaultConfig()
	o.InitialVoters, o.Lease = s.Count("voters"), s.Duration("lease")
	o.RenewInterval, o.AnswerTimeout, o.CandidateDelay = o.Lease/renewDivisor, o.Lease/answerDivisor, o.Lease/candidateDivisor
	d := &DutiesConfig{Election: o}
	if r := s.Section("report"); r.Present() {
		d.Report = &ReportConfig{r.Text("url"), r.Duration("every")}
	}
	return d
}
