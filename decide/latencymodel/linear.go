// Package shape learns how the time of a class's answers goes with the units that its requests tell. Pure.
package latencymodel

// minGain is the minGain of what is known of a class's units and times: slow, as a site's units keep their meaning.
const minGain = 0.01

// MinRelativeTime bounds what a request is thought to save by being small: an answer takes its way there and back.
const MinRelativeTime = 0.1

// Linear tells how the time of a class's answers goes with the units that its requests tell: a straight line through
// the means, by least squares over answers that fade. Units may be the work itself, the same for all
// of a class, or without bearing on it; where they are all the same, or where more of them take no longer, it is flat.
// Times are told as multiples of the class's usual one, so that a slow fleet does not change the shape.
type Linear struct {
	answers                                        float64 // answers seen
	meanUnits, meanTime, unitsVariance, covariance float64 // means of units and of times; variance of units; covariance of both
}

// Add takes an answer to a request of so many units that took so many times the usual time.
func (m *Linear) Add(units, time float64) {
	m.answers++
	gain := max(minGain, 1/m.answers)
	du, dt := units-m.meanUnits, time-m.meanTime
	m.meanUnits += gain * du
	m.meanTime += gain * dt
	m.unitsVariance += gain * ((1-gain)*du*du - m.unitsVariance)
	m.covariance += gain * ((1-gain)*du*dt - m.covariance)
}

// RelativeTime is the time of a request of so many units, in multiples of the usual one. It is never under Least.
func (m *Linear) RelativeTime(units float64) float64 {
	if m.unitsVariance < 1e-6 || m.covariance <= 0 || m.meanTime <= 0 || m.meanUnits <= 0 {
		return 1
	}
	slope := min(m.covariance/m.unitsVariance, m.meanTime/m.meanUnits) // steeper would take less than no time at no units
	return max(MinRelativeTime, (m.meanTime+slope*(units-m.meanUnits))/m.meanTime)
}
