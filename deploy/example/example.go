// Package example carries the shipped example of an operators' file, for the demonstration and for tests.
package example

import "embed"

// Files are the example, with its includes.
//
//go:embed *.sloe gateway.d/*.sloe
var Files embed.FS

// Root is the name of the file to begin with.
const Root = "sloepick.sloe"
