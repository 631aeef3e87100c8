// Package latencymodel learns how the time of a class's answers depends on the units of its requests. It does no I/O.
package latencymodel

// minGain is the least weight of a new answer in the averages: slow, as a site's units keep their meaning.
const minGain = 0.01

// MinRelativeTime bounds what a request is expected to save by being small: every answer takes a network round trip.
const MinRelativeTime = 0.1

// Linear models the time of a class's answers as a linear function of the units of its requests: a line through the means,
// fitted by least squares with weights that decay. Units may be proportional to the work, the same for all requests of a
// class, or unrelated to the work; where they are all the same, or more of them take no longer, the line is flat. Times are
// multiples of the class's usual time, so that a slow fleet does not change the model.
type Linear struct {
	answers                                        float64 // number of answers
	meanUnits, meanTime, unitsVariance, covariance float64 // covariance of units and times
}

// Add adds an answer to a request of the given units; time is a multiple of the usual time.
func (m *Linear) Add(units, time float64) {
	m.answers++
	gain := max(minGain, 1/m.answers)
	du, dt := units-m.meanUnits, time-m.meanTime
	m.meanUnits += gain * du
	m.meanTime += gain * dt
	m.unitsVariance += gain * ((1-gain)*du*du - m.unitsVariance)
	m.covariance += gain * ((1-gain)*du*dt - m.covariance)
}

// RelativeTime returns the expected time of a request of the given units, as a multiple of the usual time. It is at least
// MinRelativeTime.
func (m *Linear) RelativeTime(units float64) float64 {
	if m.unitsVariance < 1e-6 || m.covariance <= 0 || m.meanTime <= 0 || m.meanUnits <= 0 {
		return 1
	}
	slope := min(m.covariance/m.unitsVariance, m.meanTime/m.meanUnits) // a steeper line would give a negative time for no units
	return max(MinRelativeTime, (m.meanTime+slope*(units-m.meanUnits))/m.meanTime)
}
