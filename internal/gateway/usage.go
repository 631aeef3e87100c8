package gateway

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// usage is what a node tells of a request beside its value. The zero value tells nothing.
type usage struct {
	metered int     // 1 + the customer's use by all gateways, in percent of its rate, over a period that is past; 0: not told
	units   float64 // that the request really took; 0: not told
}

const maxUsedPercent = 1 << 20 // of a metered use: ten thousand times the rate, beyond all that happens

// parseUsage reads figures on use as both protocols transport them, such as "used=86,units=3": each name once, names that are not
// known left unread. Figures that can't be read tell nothing and do the value no harm: a node must not bend a bucket by them,
// so units are held to the most that a request may count for. What the settings do not provide for is not read at all.
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

const maxNumber = 1 << 20 // of any number of a request's or a node's: larger ones are beyond all settings

var errNumber = errors.New("not a plain number, or out of range")

// ParseNumber reads plain digits, with a point at most: no sign, exponent or word such as 'inf'.
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
