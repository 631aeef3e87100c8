// Package blocks lists the blocks of the operators' file that the daemon knows, for the daemon and sloectl alike.
package blocks

import (
	"log/slog"

	"sloepick/internal/operator"
	"sloepick/internal/tuning"
)

// Schema is made of every subsystem's blocks.
func Schema() *operator.Schema {
	s, err := operator.NewSchema(tuning.Block(), logBlock())
	if err != nil {
		panic(err) // a slip in a declaration, which the test of this package finds
	}
	return s
}

func logBlock() *operator.Block {
	return &operator.Block{
		Name: "log", Doc: "The daemon's log, on standard error.",
		Keys: []operator.Key{{Name: "level", Kind: operator.Word, Words: []string{"debug", "info", "warn", "error"}, Default: "info",
			Doc: "The least that is logged."}},
	}
}

// Level is the log's level.
func Level(c *operator.Config) slog.Level {
	return map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn,
		"error": slog.LevelError}[c.One("log").Word("level")]
}
