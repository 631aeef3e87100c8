// Package shape learns how the time of a class's answers goes with the units that its requests tell. Pure.
package latencymodel

// gain is the gain of what is known of a class's units and times: slow, as a site's units keep their meaning.
const gain = 0.01

// MinRelativeTime bounds what a request is thought to save by being small: an answer takes its way there and back.
const MinRelativeTime = 0.1

// Linear tells how the time of a class's answers goes with the units that its requests tell: a straight line through
// the means, by least squares over answers that fade. Units may be the work itself, the same for all
// of a class, or without bearing on it; where they are all the same, or where more of them take no longer, it is flat.
// Times are told as multiples of the class's usual one, so that a slow fleet does not change the shape.
type Linear struct {
	n                        float64 // answers seen
	units, time, spread, tie float64 // means of units and of times; variance of units; covariance of both
}

// Add takes an answer to a request of so many units that took so many times the usual time.
func (s *Linear) Add(units, time float64) {
	s.n++
	gain := max(gain, 1/s.n)
	du, dt := units-s.units, time-s.time
	s.units += gain * du
	s.time += gain * dt
	s.spread += gain * ((1-gain)*du*du - s.spread)
	s.tie += gain * ((1-gain)*du*dt - s.tie)
}

// RelativeTime is the time of a request of so many units, in multiples of the usual one. It is never under Least.
func (s *Linear) RelativeTime(units float64) float64 {
	if s.spread < 1e-6 || s.tie <= 0 || s.time <= 0 || s.units <= 0 {
		return 1
	}
	slope := min(s.tie/s.spread, s.time/s.units) // steeper would take less than no time at no units
	return max(MinRelativeTime, (s.time+slope*(units-s.units))/s.time)
}
