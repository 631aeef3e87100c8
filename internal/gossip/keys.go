package gossip

import (
	"encoding/base64"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/hashicorp/memberlist"

	"sloepick/internal/fleet"
)

// This file loads and rotates the fleet's encryption keys.

// readKeys reads keys of 16, 24 or 32 bytes in base64, one per line.
func readKeys(file string) (keys [][]byte, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("the fleet's keys: %w", err)
	}
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
		if err == nil {
			err = memberlist.ValidateKey(key)
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: not a key of 16, 24 or 32 bytes in base64: %w", file, i+1, err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// Reload applies the keys that are in the key file now, and a new generation of the configuration with its expected
// number of members. To rotate a key, add the new one as the last line on all members, then make it the first line,
// then remove the old one.
func (e *Engine) Reload(generation uint64, expect int) error {
	if e.keyring != nil {
		keys, err := readKeys(e.cfg.KeyFile)
		if err != nil {
			return err
		}
		for _, k := range keys {
			if err := e.keyring.AddKey(k); err != nil {
				return fmt.Errorf("the fleet's keys: %w", err)
			}
		}
		if err := e.keyring.UseKey(keys[0]); err != nil {
			return fmt.Errorf("the fleet's keys: %w", err)
		}
		for _, k := range e.keyring.GetKeys() {
			if !slices.ContainsFunc(keys, func(o []byte) bool { return string(o) == string(k) }) {
				if err := e.keyring.RemoveKey(k); err != nil {
					return fmt.Errorf("the fleet's keys: %w", err)
				}
			}
		}
	}
	e.events <- fleet.ConfigChange{Generation: generation, ExpectedMembers: expect}
	return nil
}
