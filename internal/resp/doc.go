// Package resp implements the client side (Frontend) and the node side (Backend) of RESP2 on the gateway's core. Each
// connection has one goroutine that reads from it; everything else runs in the core's loop.
package resp
