package testbed

import (
	"runtime"
	"strings"
)

const maxStacks = 1 << 20 // bytes of all goroutines' stacks that are looked at

// SomeGoroutineIsIn reports whether the stack of a goroutine of this process contains a call, such as "(*Type).Method(". Tests wait
// by it for a goroutine to block in a place that tells nothing else.
func SomeGoroutineIsIn(call string) bool {
	stacks := make([]byte, maxStacks)
	return strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), call)
}
