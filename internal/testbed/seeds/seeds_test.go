package seeds

import (
	"slices"
	"testing"
)

// TestChoose checks that a plain run takes exactly the list, and that a drawn seed differs each time.
func TestChoose(t *testing.T) {
	list := []uint64{3, 5}
	for _, c := range []struct {
		named  string
		rounds int
		want   []uint64 // nil: a drawn seed
	}{{"", 0, list}, {"7", 0, []uint64{7}}, {"7", 100, []uint64{7}}, {"18446744073709551615", 0, []uint64{1<<64 - 1}}, {"0", 0, nil}, {"", 100, nil}} {
		got, err := chooseSeeds(list, c.named, c.rounds)
		again, _ := chooseSeeds(list, c.named, c.rounds)
		switch {
		case err != nil:
			t.Errorf("%+v: %v", c, err)
		case c.want != nil && !slices.Equal(got, c.want):
			t.Errorf("%+v: got %v", c, got)
		case c.want == nil && (len(got) != 1 || got[0] == 0 || got[0] == again[0]):
			t.Errorf("%+v: drawn %v, then %v", c, got, again)
		}
	}
	for _, bad := range []string{"x", "-1", "1.5", "18446744073709551616"} {
		if _, err := chooseSeeds(list, bad, 0); err == nil {
			t.Errorf("-seed %s is accepted", bad)
		}
	}
}
