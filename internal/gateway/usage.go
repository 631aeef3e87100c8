package gateway

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// usage is what a node reports about a request in addition to its value. The zero value reports nothing.
type usage struct {
	metered int     // 1 + the customer's usage at all gateways in a past period, in percent of its rate; 0: not reported
	units   float64 // units actually consumed by the request; 0: not reported
}

const maxUsedPercent = 1 << 20 // ten thousand times the rate, beyond any realistic usage

// parseUsage parses the usage in a node's response, such as "used=86,units=3", which has the same format in all
// protocols. Each name may occur once; unknown names are ignored. Invalid usage is ignored as a whole and does
// not invalidate the value. Units are limited to the maximum of a request, so that a node cannot distort a
// bucket. Usage that the settings do not provide for is ignored.
func (c *Config) parseUsage(text []byte) (u usage) {
	set := &c.Settings.Decide
	if len(text) == 0 || !set.SettledLater && set.MeterPeriod == 0 {
		return usage{}
	}
	units := set.MaxUnits
	if units == 0 {
		units = defaultMaxUnits
	}
	for more := true; more; {
		var pair []byte
		pair, text, more = bytes.Cut(text, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		switch {
		case !ok:
			return usage{}
		case string(name) == "used":
			n, err := strconv.ParseUint(string(value), 10, 32)
			if err != nil || n == 0 || n > maxUsedPercent || u.metered > 0 {
				return usage{}
			}
			u.metered = int(n)
		case string(name) == "units":
			v, err := ParseNumber(string(value))
			if err != nil || v <= 0 || v > units || u.units > 0 {
				return usage{}
			}
			u.units = v
		}
	}
	if !set.SettledLater {
		u.units = 0
	}
	if set.MeterPeriod == 0 {
		u.metered = 0
	}
	return u
}

const maxNumber = 1 << 20 // beyond the range of all settings

var errNumber = errors.New("not a plain number, or out of range")

// ParseNumber parses decimal digits with an optional point. It accepts no sign, exponent or special value such
// as 'inf'.
func ParseNumber(s string) (float64, error) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, errNumber
	}
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && v > maxNumber {
		err = errNumber
	}
	return v, err
}
