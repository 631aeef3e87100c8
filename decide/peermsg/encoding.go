// Package peermsg encodes and decodes the messages between gateways: [CustomerMessage] about one customer, and [Totals] of
// many. A message is text of at most [MaxSize] bytes, mostly digits of 6 bits each, so that it passes wherever text does. The
// package does no I/O; what is sent, when and to whom is decided elsewhere. A malformed message is rejected as a whole.
package peermsg

import "strings"

// MaxSize is the maximum size of a message in bytes.
const MaxSize = 256

const alphabet = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

// encode appends the lowest n digits of v.
func encode(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(alphabet[v>>(6*i)&63])
	}
}

// decode reads digits; ok is false if s holds any other character.
func decode(s string) (v uint64, ok bool) {
	for i := 0; i < len(s); i++ {
		d := strings.IndexByte(alphabet, s[i])
		if d < 0 {
			return 0, false
		}
		v = v<<6 | uint64(d)
	}
	return v, true
}

// Key returns the key of a customer or a server in messages: 36 bits of an FNV-1a hash.
func Key(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return (h ^ h>>36) & (1<<36 - 1)
}
