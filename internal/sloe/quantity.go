package sloe

import (
	"fmt"
	"math/big"
	"regexp"
	"slices"
	"strings"
)

// Dimension is the kind of a quantity.
type Dimension int

// The dimensions. A count is a number without a unit.
const (
	Count Dimension = iota
	Time
	Size
	Share
	Rate
)

// Quantity is an exact number with a unit.
type Quantity struct {
	Dimension Dimension
	RateItem  string   // for a Rate: what is counted, such as units
	Value     *big.Rat // in nanoseconds, bytes, fractions of 1, items per second or items
}

type unit struct {
	name   string
	factor *big.Rat
}

func integer(n int64) *big.Rat { return big.NewRat(n, 1) }

// The units, in ascending order of size, except for rates: per second comes first.
var (
	timeUnits = []unit{{"ns", integer(1)}, {"us", integer(1e3)}, {"ms", integer(1e6)}, {"s", integer(1e9)}, {"m", integer(60e9)},
		{"h", integer(3600e9)}, {"d", integer(86400e9)}}
	sizeUnits = []unit{{"B", integer(1)}, {"KiB", integer(1 << 10)}, {"MiB", integer(1 << 20)}, {"GiB", integer(1 << 30)}}
	perUnits  = []unit{{"s", integer(1)}, {"m", big.NewRat(1, 60)}, {"h", big.NewRat(1, 3600)}}
	// RateItems are what a rate can count, per second, minute or hour.
	RateItems = []string{"units", "msgs", "reqs", "bytes"}
)

// unitAliases maps common spellings that the language does not accept to the unit suggested instead.
var unitAliases = map[string]string{"sec": "s", "secs": "s", "second": "s", "seconds": "s", "msec": "ms", "millis": "ms", "min": "m",
	"mins": "m", "minute": "m", "minutes": "m", "hour": "h", "hours": "h", "hr": "h", "day": "d", "days": "d", "µs": "us",
	"kb": "KiB", "k": "KiB", "kib": "KiB", "mb": "MiB", "mib": "MiB", "gb": "GiB", "g": "GiB", "gib": "GiB", "b": "B",
	"percent": "%", "unit/s": "units/s", "rps": "reqs/s", "qps": "reqs/s", "req/s": "reqs/s", "msg/s": "msgs/s",
	"messages/s": "msgs/s", "requests/s": "reqs/s", "S": "s", "MS": "ms"}

const maxDigits = 18 // characters of a number with its point; every meaningful value fits

var numberPattern = regexp.MustCompile(`^([-+]?)([0-9]+(?:\.[0-9]+)?)(.*)$`)

// ParseQuantity parses a number with its unit, such as 250ms, 8units/s, 64KiB, 15% or 3.
func ParseQuantity(text string) (Quantity, error) {
	m := numberPattern.FindStringSubmatch(text)
	if m == nil {
		return Quantity{}, fmt.Errorf("%q is not a number", truncate(text))
	}
	sign, digits, name := m[1], m[2], m[3]
	switch {
	case sign == "-":
		return Quantity{}, fmt.Errorf("%s is negative, which no setting allows", truncate(text))
	case sign == "+":
		return Quantity{}, fmt.Errorf("write %s without the sign", truncate(text))
	case len(digits) > maxDigits:
		return Quantity{}, fmt.Errorf("%s has more than %d digits", truncate(text), maxDigits)
	case len(digits) > 1 && digits[0] == '0' && digits[1] != '.':
		return Quantity{}, fmt.Errorf("%s begins with a zero", truncate(text))
	}
	v, ok := new(big.Rat).SetString(digits)
	if !ok {
		return Quantity{}, fmt.Errorf("%q is not a number", truncate(text))
	}
	return withUnit(v, name, text)
}

func withUnit(v *big.Rat, name, text string) (Quantity, error) {
	if name == "" {
		return Quantity{Count, "", v}, nil
	}
	if name == "%" {
		return Quantity{Share, "", v.Quo(v, integer(100))}, nil
	}
	if u := unitFactor(timeUnits, name); u != nil {
		return Quantity{Time, "", v.Mul(v, u)}, nil
	}
	if u := unitFactor(sizeUnits, name); u != nil {
		return Quantity{Size, "", v.Mul(v, u)}, nil
	}
	if of, per, ok := strings.Cut(name, "/"); ok && slices.Contains(RateItems, of) {
		if u := unitFactor(perUnits, per); u != nil {
			return Quantity{Rate, of, v.Mul(v, u)}, nil
		}
	}
	if strings.ContainsAny(name, "0123456789") {
		return Quantity{}, fmt.Errorf("%q is not a number with one unit (90s, not 1m30s)", truncate(text))
	}
	meant := unitAliases[name]
	if meant == "" {
		meant = unitAliases[strings.ToLower(name)]
	}
	if meant != "" {
		return Quantity{}, fmt.Errorf("%q is not a unit here; did you mean %q?", truncate(name), meant)
	}
	return Quantity{}, fmt.Errorf("%q is not a unit: times are in ns, us, ms, s, m, h or d, sizes in B, KiB, MiB or GiB, shares in %%, rates in %s per s, m or h (8units/s)",
		truncate(name), strings.Join(RateItems, ", "))
}

func unitFactor(units []unit, name string) *big.Rat {
	for _, u := range units {
		if u.name == name {
			return u.factor
		}
	}
	return nil
}

// String returns the quantity in the largest unit in which it is an integer, or else in the smallest in which it has
// an exact decimal form. A rate is given per second where that is exact. Equal quantities have the same string.
func (q Quantity) String() string {
	switch q.Dimension {
	case Time:
		return formatInUnits(q.Value, timeUnits, "")
	case Size:
		return formatInUnits(q.Value, sizeUnits, "")
	case Share:
		return formatDecimal(new(big.Rat).Mul(q.Value, integer(100))) + "%"
	case Rate:
		return formatInUnits(q.Value, perUnits, q.RateItem+"/")
	}
	return formatDecimal(q.Value)
}

func formatInUnits(v *big.Rat, units []unit, prefix string) string {
	if v.Sign() == 0 {
		return "0" + prefix + units[0].name
	}
	best := ""
	for _, u := range units {
		n := new(big.Rat).Quo(v, u.factor)
		if _, exact := n.FloatPrec(); !exact || best != "" && !n.IsInt() {
			continue
		}
		best = formatDecimal(n) + prefix + u.name
		if prefix != "" {
			break // rates: per second is preferred
		}
	}
	return best
}

// formatDecimal returns a number that has a finite decimal form.
func formatDecimal(v *big.Rat) string {
	n, _ := v.FloatPrec()
	return v.FloatString(n)
}
