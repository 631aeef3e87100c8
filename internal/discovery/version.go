package discovery

import "fmt"

// Answer is what the Scheduler has to know of a valid answer.
type Answer struct {
	Version uint64
	Full    bool // a whole list; otherwise changes
	Servers int  // number of entries
}

// empty reports whether nothing has changed.
func (a Answer) empty() bool { return !a.Full && a.Servers == 0 }

// tellsSeveralChanges reports whether more than one server has changed since a version, as far as the answer shows it.
func (a Answer) tellsSeveralChanges(after uint64) bool {
	if a.Full {
		return a.Version > after+1
	}
	return a.Servers > 1
}

// UselessAnswerError says why a valid answer can't be used.
type UselessAnswerError struct {
	Answer      Answer
	Held        uint64 // version of the current list
	Unrequested bool   // changes, where the whole list was requested; otherwise the answer is older than the current list
}

func (e *UselessAnswerError) Error() string {
	switch {
	case e.Unrequested:
		return "received changes where the whole list was requested"
	case e.Answer.Full:
		return fmt.Sprintf("a whole list of version %d, older than version %d of the current list", e.Answer.Version, e.Held)
	}
	return fmt.Sprintf("changes of version %d, older than version %d of the current list", e.Answer.Version, e.Held)
}

// heldVersion is the version of the current list.
type heldVersion struct {
	version      uint64
	generation   int // 0: there is no list
	olderAnswers int // consecutive answers of an older version
}

// verdict says what an answer's version makes of it.
type verdict int

const (
	newer          verdict = iota // or the same version, to a call that knew it
	overtaken                     // a later answer has brought all of it
	olderVersion                  // discovery has answered with an older version than it was told that the gateway holds
	restartedCount                // the last one of several such answers: discovery has restarted its version count
	unusable                      // changes to a list that is not there
)

// judge decides whether an answer may be used, and if so, holds its version. An instance of discovery that lags behind could report
// a draining server as up, so older versions are rejected. Answers that are older only because a later call was answered first say
// nothing about discovery.
func (h *heldVersion) judge(c *callState, a Answer, maxOlderAnswers int) verdict {
	switch {
	case c.Whole && !a.Full:
		return unusable
	case c.generation > h.generation:
		*h = heldVersion{version: a.Version, generation: c.generation}
		return newer
	case a.Version > h.version || a.Version == h.version && c.known == h.version:
		h.version, h.olderAnswers = a.Version, 0
		return newer
	case a.Version >= c.known:
		return overtaken
	}
	h.olderAnswers++
	if h.olderAnswers < maxOlderAnswers {
		return olderVersion
	}
	return restartedCount
}
