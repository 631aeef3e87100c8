// Package words writes and reads what gateways tell each other: a word about one customer, or totals about many. A
// message is at most [MaxSize] bytes of digits of 6 bits each, so that it passes wherever text does. The package is pure;
// what is told, when and to whom is decided elsewhere. What can't be read is reported as such, whole, and never guessed at.
package peermsg

import "strings"

// MaxSize is how many bytes a message has at most.
const MaxSize = 256

const alphabet = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

func encode(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(alphabet[v>>(6*i)&63])
	}
}

// decode reads digits; ok is false if there are others.
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

// Key names a customer or a server in messages: 36 bits of an FNV-1a hash.
func Key(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return (h ^ h>>36) & (1<<36 - 1)
}
