//go:build race

package testbed

// RaceDetector reports that this program, and so each process that it starts of itself, runs under the race detector, which
// takes several times the memory.
const RaceDetector = true
