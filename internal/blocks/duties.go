package blocks

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
			{Name: "voters", Kind: operator.Count, Default: "5", Least: "1", Most: "9", Takes: operator.AtRestart,
				Doc: "Members that vote on owners, at first those in the lowest places. More than half of them have to be there; one that is gone is replaced, one after the other."},
			{Name: "lease", Kind: operator.Duration, Default: "6s", Least: "1s", Most: "10m", Takes: operator.AtRestart,
				Doc: "For how long an owner owns without being heard. Another one takes over after it."},
		},
		Blocks: []*operator.Block{{
			Name: "report", Doc: "Tell an outside system how the fleet stands, by POST, as JSON with the owner's number.",
			Keys: []operator.Key{
				{Name: "url", Kind: operator.Text, Optional: true, Takes: operator.AtRestart, Doc: "Where to, as \"http://host:port/path\". Required."},
				{Name: "every", Kind: operator.Duration, Default: "10s", Least: "100ms", Most: "1h", Takes: operator.AtRestart, Doc: "Time from one report to the next."},
			},
		}},
	}
}

func checkDuties(s *operator.Section) (out []operator.Problem) {
	r := s.One("report")
	if !r.Present() {
		return nil
	}
	u, err := url.Parse(r.Word("url"))
	if !r.Has("url") || err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return []operator.Problem{{Key: "report.url", Msg: "a report needs an address such as \"http://127.0.0.1:9000/fleet\""}}
	}
	return nil
}

// Duties are a fleet's work.
type Duties struct {
	Owner  election.Config // without duties' names
	Report *Report         // nil: none
}

// Report is where the fleet's standing is told.
type Report struct {
	URL   string
	Every time.Duration
}

// The times of a lease that an owner renews it in, waits for answers, and the next candidate waits.
const (
	renewPart  = 4
	answerPart = 12
	stepPart   = 6
)

// DutiesOf reads the block; nil: there is none.
func DutiesOf(c *operator.Config) *Duties {
	s := c.One("duties")
	if !s.Present() {
		return nil
	}
	o := election.DefaultConfig()
	o.InitialVoters, o.Lease = s.Count("voters"), s.Duration("lease")
	o.RenewInterval, o.AnswerTimeout, o.CandidateDelay = o.Lease/renewPart, o.Lease/answerPart, o.Lease/stepPart
	d := &Duties{Owner: o}
	if r := s.One("report"); r.Present() {
		d.Report = &Report{r.Word("url"), r.Duration("every")}
	}
	return d
}
