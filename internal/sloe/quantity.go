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

func whole(n int64) *big.Rat { return big.NewRat(n, 1) }

// The units, the smallest first.
var (
	timeUnits = []unit{{"ns", whole(1)}, {"us", whole(1e3)}, {"ms", whole(1e6)}, {"s", whole(1e9)}, {"m", whole(60e9)},
		{"h", whole(3600e9)}, {"d", whole(86400e9)}}
	sizeUnits = []unit{{"B", whole(1)}, {"KiB", whole(1 << 10)}, {"MiB", whole(1 << 20)}, {"GiB", whole(1 << 30)}}
	perUnits  = []unit{{"s", whole(1)}, {"m", big.NewRat(1, 60)}, {"h", big.NewRat(1, 3600)}}
	// RateItems are the things of which rates tell how many there are a second, a minute or an hour.
	RateItems = []string{"units", "msgs", "reqs", "bytes"}
)

// usual are spellings of units that people bring from elsewhere.
var usual = map[string]string{"sec": "s", "secs": "s", "second": "s", "seconds": "s", "msec": "ms", "millis": "ms", "min": "m",
	"mins": "m", "minute": "m", "minutes": "m", "hour": "h", "hours": "h", "hr": "h", "day": "d", "days": "d", "µs": "us",
	"kb": "KiB", "k": "KiB", "kib": "KiB", "mb": "MiB", "mib": "MiB", "gb": "GiB", "g": "GiB", "gib": "GiB", "b": "B",
	"percent": "%", "unit/s": "units/s", "rps": "reqs/s", "qps": "reqs/s", "req/s": "reqs/s", "msg/s": "msgs/s",
	"messages/s": "msgs/s", "requests/s": "reqs/s", "S": "s", "MS": "ms"}

const digitsMost = 18 // before and behind the point together, which every value that can be meant fits

var numberShape = regexp.MustCompile(`^([-+]?)([0-9]+(?:\.[0-9]+)?)(.*)$`)

// ParseQuantity reads a number with its unit, such as 250ms, 8units/s, 64KiB, 15% or 3.
func ParseQuantity(text string) (Quantity, error) {
	m := numberShape.FindStringSubmatch(text)
	if m == nil {
		return Quantity{}, fmt.Errorf("%q is no number", clip(text))
	}
	sign, digits, name := m[1], m[2], m[3]
	switch {
	case sign == "-":
		return Quantity{}, fmt.Errorf("%s is below zero, which no setting can be", clip(text))
	case sign == "+":
		return Quantity{}, fmt.Errorf("write %s without the sign", clip(text))
	case len(digits) > digitsMost:
		return Quantity{}, fmt.Errorf("%s has more than %d digits", clip(text), digitsMost)
	case len(digits) > 1 && digits[0] == '0' && digits[1] != '.':
		return Quantity{}, fmt.Errorf("%s begins with a zero", clip(text))
	}
	v, ok := new(big.Rat).SetString(digits)
	if !ok {
		return Quantity{}, fmt.Errorf("%q is no number", clip(text))
	}
	return withUnit(v, name, text)
}

func withUnit(v *big.Rat, name, text string) (Quantity, error) {
	if name == "" {
		return Quantity{Count, "", v}, nil
	}
	if name == "%" {
		return Quantity{Share, "", v.Quo(v, whole(100))}, nil
	}
	if u := find(timeUnits, name); u != nil {
		return Quantity{Time, "", v.Mul(v, u)}, nil
	}
	if u := find(sizeUnits, name); u != nil {
		return Quantity{Size, "", v.Mul(v, u)}, nil
	}
	if of, per, ok := strings.Cut(name, "/"); ok && slices.Contains(RateItems, of) {
		if u := find(perUnits, per); u != nil {
			return Quantity{Rate, of, v.Mul(v, u)}, nil
		}
	}
	if strings.ContainsAny(name, "0123456789") {
		return Quantity{}, fmt.Errorf("%q is no number with one unit (90s, not 1m30s)", clip(text))
	}
	meant := usual[name]
	if meant == "" {
		meant = usual[strings.ToLower(name)]
	}
	if meant != "" {
		return Quantity{}, fmt.Errorf("%q is no unit here; did you mean %q?", clip(name), meant)
	}
	return Quantity{}, fmt.Errorf("%q is no unit: times are in ns, us, ms, s, m, h or d, sizes in B, KiB, MiB or GiB, shares in %%, rates in %s a s, m or h (8units/s)",
		clip(name), strings.Join(RateItems, ", "))
}

func find(units []unit, name string) *big.Rat {
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
		return inUnits(q.Value, timeUnits, "")
	case Size:
		return inUnits(q.Value, sizeUnits, "")
	case Share:
		return decimal(new(big.Rat).Mul(q.Value, whole(100))) + "%"
	case Rate:
		return inUnits(q.Value, perUnits, q.RateItem+"/")
	}
	return decimal(q.Value)
}

func inUnits(v *big.Rat, units []unit, prefix string) string {
	if v.Sign() == 0 {
		return "0" + prefix + units[0].name
	}
	best := ""
	for _, u := range units {
		n := new(big.Rat).Quo(v, u.factor)
		if _, exact := n.FloatPrec(); !exact || best != "" && !n.IsInt() {
			continue
		}
		best = decimal(n) + prefix + u.name
		if prefix != "" {
			break // rates: a second is what people think in
		}
	}
	return best
}

// decimal writes a number that has a finite decimal form.
func decimal(v *big.Rat) string {
	n, _ := v.FloatPrec()
	return v.FloatString(n)
}
