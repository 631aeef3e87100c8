package daemonconfig

import (
	"time"
	_ "time/tzdata" // zones by name, also where the machine has none

	"sloepick/internal/maintenance"
	"sloepick/internal/operator"
)

// regionBlock declares the block region.
func regionBlock() *operator.Block {
	return &operator.Block{
		Name: "region", Labeled: true, Check: checkRegion,
		Doc: "A region, by the zone that the platform's settings name, and its quiet hours, by its own clock. The same in the files of all members.",
		Keys: []operator.Key{
			{Name: "clock", Kind: operator.Text, Default: "\"UTC\"", Doc: "The time zone of its clock, as \"Asia/Seoul\" (IANA)."},
			{Name: "quiet", Kind: operator.Text, List: true, Optional: true, Doc: "Spans such as \"mon-fri 22:00-05:00\", \"sat sun 20:00-24:00\" or \"daily 01:00-05:00\"; one that ends at or before its begin goes on over midnight. Left out: it has none."},
			{Name: "none", Kind: operator.Text, List: true, Optional: true, Doc: "Days without any, as \"2026-09-24\": no minute of them is quiet, and no span begins on them."},
			{Name: "also", Kind: operator.Text, List: true, Optional: true, Doc: "Spans of single days, as \"2026-12-25 00:00-24:00\"."},
		},
	}
}

func checkRegion(s *operator.Section) (out []operator.Problem) {
	_, problems := hoursOf(s)
	return problems
}

// hoursOf reads a region's calendar, and what is wrong with it.
func hoursOf(s *operator.Section) (h *maintenance.Calendar, out []operator.Problem) {
	h = &maintenance.Calendar{Excluded: map[maintenance.Date]bool{}, Extra: map[maintenance.Date][]maintenance.Span{}}
	var err error
	if h.Zone, err = time.LoadLocation(s.Text("clock")); err != nil || s.Text("clock") == "Local" {
		out = append(out, operator.Problem{Key: "clock", Msg: "there is no such time zone; want a name such as \"Asia/Seoul\""})
		h.Zone = time.UTC
	}
	each := func(key string, take func(text string) error) {
		if !s.IsSet(key) {
			return
		}
		for _, text := range s.Texts(key) {
			if err := take(text); err != nil {
				out = append(out, operator.Problem{Key: key, Msg: err.Error()})
			}
		}
	}
	each("quiet", func(text string) error {
		span, err := maintenance.ParseSpan(text)
		h.Weekly = append(h.Weekly, span)
		return err
	})
	each("none", func(text string) error {
		day, err := maintenance.ParseDate(text)
		h.Excluded[day] = true
		return err
	})
	each("also", func(text string) error {
		day, span, err := maintenance.ParseDatedSpan(text)
		h.Extra[day] = append(h.Extra[day], span)
		return err
	})
	return h, out
}

// Regions are the calendars of the regions that have one, by their names.
func Regions(c *operator.Config) map[string]*maintenance.Calendar {
	all := map[string]*maintenance.Calendar{}
	for _, s := range c.Sections("region") {
		all[s.Label], _ = hoursOf(s)
	}
	return all
}
