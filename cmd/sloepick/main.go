// Command sloepick is an API gateway: it keeps customers' quotas together with its peers, chooses servers and
// passes requests on to them over RESP2. Package decide makes its decisions; package gateway is its sockets.
package main

import (
	"os"

	"sloepick/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Getenv, os.Stderr)) }
