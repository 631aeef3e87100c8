// Command sloepick is an API gateway: it enforces customers' quotas together with its peers, chooses servers and forwards
// requests to them. Package decide makes its decisions; package gateway does its network I/O.
package main

import (
	"os"

	"sloepick/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Getenv, os.Stderr)) }
