package testbed

import (
	"encoding/json"
	"fmt"
	"time"
)

// minimalSettings has one class of each kind that tests use most, look (safe) and book (keyed), and a plan, p,
// whose quota no test exhausts.
const minimalSettings = `{"Classes":[
 {"Name":"look","Effect":"safe","AimNs":%[1]d,"GiveUpNs":30000000000,"Importance":1},
 {"Name":"book","Effect":"keyed","Group":"cell","WindowNs":30000000000,"AimNs":%[1]d,"GiveUpNs":30000000000,"Importance":3}],
"Extra":{"PeerIntake":40,"UnitsTop":8},"Instances":2,"Rank":0,"Zone":"a",
"Limits":{"SendCap":5,"MayCancel":true,"ParallelTries":true,"Peers":true,"RetryAfter":true,"MaxRetryAfterNs":1000000000,
 "ConnectTimeoutNs":2000000000,"ConnIdleNs":60000000000,"OpenCap":1000},
"Safety":{"ColdNs":5000000000,"FallNs":1000000000,"FallMultiple":4,"ColdFrom":0.2},
"TiersOfService":[{"Name":"p","Refill":1000,"MostAtOnce":3000,"Pays":1}]}`

// MinimalSettings returns the settings of a small platform. aim is the latency target of its classes, from which
// gateways derive their first estimate of the latency.
func MinimalSettings(aim time.Duration) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(minimalSettings, aim.Nanoseconds()))
}
