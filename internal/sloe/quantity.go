package sloe

import (
	"fmt"
	"math/big"
	"regexp"
	"slices"
	"strings"
)

// Dimension is what a quantity measures.
type Dimension int

// The dimensions. A count is a number without a unit.
const (
	Count Dimension = iota
	Time
	Size
	Share
	Rate
)

// Quantity is a number with its unit, exactly.
type Quantity struct {
	Dimension Dimension
	RateItem  string   // for Rate: what is counted, such as units
	Value     *big.Rat // in nanoseconds, bytes, parts of 1, pieces a second or pieces
}

type unit struct {
	name   string
	factor *big.Rat
}

func integer(n int64) *big.Rat { return big.NewRat(n, 1) }

// The units, the smallest first.
var (
	timeUnits = []unit{{"ns", integer(1)}, {"us", integer(1e3)}, {"ms", integer(1e6)}, {"s", integer(1e9)}, {"m", integer(60e9)},
		{"h", integer(3600e9)}, {"d", integer(86400e9)}}
	sizeUnits = []unit{{"B", integer(1)}, {"KiB", integer(1 << 10)}, {"MiB", integer(1 << 20)}, {"GiB", integer(1 << 30)}}
	perUnits  = []unit{{"s", integer(1)}, {"m", big.NewRat(1, 60)}, {"h", big.NewRat(1, 3600)}}
	// RateItems are the things of which rates tell how many there are a second, a minute or an hour.
	RateItems = []string{"units", "msgs", "reqs", "bytes"}
)

// unitAliases are spellings of units that people bring from elsewhere.
var unitAliases = map[string]string{"sec": "s", "secs": "s", "second": "s", "seconds": "s", "msec": "ms", "millis": "ms", "min": "m",
	"mins": "m", "minute": "m", "minutes": "m", "hour": "h", "hours": "h", "hr": "h", "day": "d", "days": "d", "µs": "us",
	"kb": "KiB", "k": "KiB", "kib": "KiB", "mb": "MiB", "mib": "MiB", "gb": "GiB", "g": "GiB", "gib": "GiB", "b": "B",
	"percent": "%", "unit/s": "units/s", "rps": "reqs/s", "qps": "reqs/s", "req/s": "reqs/s", "msg/s": "msgs/s",
	"messages/s": "msgs/s", "requests/s": "reqs/s", "S": "s", "MS": "ms"}

const maxDigits = 18 // before and behind the point together, which every value that can be meant fits

var numberPattern = regexp.MustCompile(`^([-+]?)([0-9]+(?:\.[0-9]+)?)(.*)$`)

// ParseQuantity reads a number with its unit, such as 250ms, 8units/s, 64KiB, 15% or 3.
func ParseQuantity(text string) (Quantity, error) {
	m := numberPattern.FindStringSubmatch(text)
	if m == nil {
		return Quantity{}, fmt.Errorf("%q is no number", truncate(text))
	}
	sign, digits, name := m[1], m[2], m[3]
	switch {
	case sign == "-":
		return Quantity{}, fmt.Errorf("%s is below zero, which no setting can be", truncate(text))
	case sign == "+":
		return Quantity{}, fmt.Errorf("write %s without the sign", truncate(text))
	case len(digits) > maxDigits:
		return Quantity{}, fmt.Errorf("%s has more than %d digits", truncate(text), maxDigits)
	case len(digits) > 1 && digits[0] == '0' && digits[1] != '.':
		return Quantity{}, fmt.Errorf("%s begins with a zero", truncate(text))
	}
	v, ok := new(big.Rat).SetString(digits)
	if !ok {
		return Quantity{}, fmt.Errorf("%q is no number", truncate(text))
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
		return Quantity{}, fmt.Errorf("%q is no number with one unit (90s, not 1m30s)", truncate(text))
	}
	meant := unitAliases[name]
	if meant == "" {
		meant = unitAliases[strings.ToLower(name)]
	}
	if meant != "" {
		return Quantity{}, fmt.Errorf("%q is no unit here; did you mean %q?", truncate(name), meant)
	}
	return Quantity{}, fmt.Errorf("%q is no unit: times are in ns, us, ms, s, m, h or d, sizes in B, KiB, MiB or GiB, shares in %%, rates in %s a s, m or h (8units/s)",
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

// String is the quantity in the largest unit that needs no point, or else in the smallest that is exact. Two
// quantities that mean the same are spelled the same.
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
			break // rates: a second is what people think in
		}
	}
	return best
}

// formatDecimal writes a number that has a finite formatDecimal form.
func formatDecimal(v *big.Rat) string {
	n, _ := v.FloatPrec()
	return v.FloatString(n)
}
