package settings

import (
	"strings"
	"testing"
	"time"

	"sloepick/internal/testbed"
)

// TestInvalidSettings checks that each invalid setting is rejected with the path of the field and its value.
func TestInvalidSettings(t *testing.T) {
	good := string(testbed.MinimalSettings(time.Second))
	if s, err := Parse([]byte(good)); err != nil || s.ValidateServing() != nil {
		t.Fatalf("unchanged settings: %v, %v", err, s.ValidateServing())
	}
	for edit, want := range map[string]string{
		`"AimNs":1000000000|"AimNs":-5`:                      "Classes[0].AimNs is -5",
		`"AimNs":1000000000|"AimNs":0`:                       "Classes[0].AimNs is 0",
		`"GiveUpNs":30000000000|"GiveUpNs":-1`:               "Classes[0].GiveUpNs is -1",
		`"WindowNs":30000000000|"WindowNs":-1`:               "Classes[1].WindowNs is -1",
		`"Name":"book"|"Name":"look"`:                        `Classes[1].Name is "look", the same as that of Classes[0]`,
		`"Name":"book"|"Name":""`:                            "Classes[1].Name is empty",
		`"Effect":"keyed"|"Effect":"odd"`:                    `Classes[1].Effect: unknown "odd"`,
		`"Classes":|"Others":`:                               "Classes is empty",
		`"TiersOfService":|"Others":`:                        "TiersOfService is empty",
		`"SendCap":|"SendCap":0,"Other":`:                    "Limits.SendCap is 0",
		`"ConnectTimeoutNs":|"ConnectTimeoutNs":0,"Other":`:  "Limits.ConnectTimeoutNs is 0",
		`"ConnectTimeoutNs":|"ConnectTimeoutNs":-7,"Other":`: "Limits.ConnectTimeoutNs is -7",
		`"ColdNs":|"ColdNs":-1,"Other":`:                     "Safety.ColdNs is -1",
		`"Refill":|"Refill":-2.5,"Other":`:                   "TiersOfService[0].Refill is -2.5",
		`"MostAtOnce":|"MostAtOnce":"many","Other":`:         `"TiersOfService.MostAtOnce": wrong type string`,
	} {
		from, to, _ := strings.Cut(edit, "|")
		if !strings.Contains(good, from) {
			t.Errorf("%s is not in the settings", from)
			continue
		}
		s, err := Parse([]byte(strings.Replace(good, from, to, 1)))
		if err == nil {
			err = s.ValidateServing()
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want %q", to, err, want)
		}
	}
}
