// Package blocks lists the blocks of the operators' file that the daemon knows, for the daemon and sloectl alike.
package daemonconfig

import (
	"log/slog"

	"sloepick/internal/gateway"
	"sloepick/internal/operator"
	"sloepick/internal/route"
	"sloepick/internal/sloe"
	"sloepick/internal/tuning"
)

// Schema is made of every subsystem's blocks.
func Schema() *operator.Schema {
	s, err := operator.NewSchema(tuning.Block(), route.Block(), listenerBlock(), backBlock(), fleetBlock(), commonsBlock(), regionBlock(), dutiesBlock(), powerBlock(), logBlock())
	if err != nil {
		panic(err) // a slip in a declaration, which the test of this package finds
	}
	return s
}

// Load reads an operators' file, checks it, and holds it to the settings of a platform, if one is given.
func Load(file string, platform *gateway.Config) (*operator.Config, sloe.Diags, error) {
	c, diags, err := Schema().Load(file)
	if c == nil || platform == nil {
		return c, diags, err
	}
	if more := platform.ValidateRoutes(route.FromConfig(c)); len(more) > 0 {
		diags = append(diags, more...)
		diags.Sort(c.Sources)
		return nil, diags, nil
	}
	return c, diags, nil
}

func logBlock() *operator.Block {
	return &operator.Block{
		Name: "log", Doc: "The daemon's log, on standard error.",
		Keys: []operator.Key{{Name: "level", Kind: operator.Word, AllowedWords: []string{"debug", "info", "warn", "error"}, Default: "info",
			Doc: "The least that is logged."}},
	}
}

// LogLevel is the log's level.
func LogLevel(c *operator.Config) slog.Level {
	return map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn,
		"error": slog.LevelError}[c.Section("log").Text("level")]
}
