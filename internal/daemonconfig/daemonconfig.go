// Package daemonconfig declares the schema of the operators' file, for the daemon and sloectl, and converts the blocks
// of a checked file into the configuration types of other packages.
package daemonconfig

import (
	"log/slog"

	"sloepick/internal/gateway"
	"sloepick/internal/operator"
	"sloepick/internal/route"
	"sloepick/internal/sloe"
	"sloepick/internal/tuning"
)

// Schema returns the schema with the blocks of all subsystems.
func Schema() *operator.Schema {
	s, err := operator.NewSchema(tuning.Block(), route.Block(), listenerBlock(), backendBlock(), fleetBlock(), peerInfoBlock(), regionBlock(), dutiesBlock(), powerBlock(), logBlock())
	if err != nil {
		panic(err) // a faulty declaration; the tests of this package find it
	}
	return s
}

// Load reads and checks an operators' file, and validates its routes against a platform's settings, if given.
func Load(file string, platform *gateway.Config) (*operator.Config, sloe.Diags, error) {
	c, diags, err := Schema().Load(file)
	if c == nil || platform == nil {
		return c, diags, err
	}
	if routeDiags := platform.ValidateRoutes(route.FromConfig(c)); len(routeDiags) > 0 {
		diags = append(diags, routeDiags...)
		diags.Sort(c.Sources)
		return nil, diags, nil
	}
	return c, diags, nil
}

func logBlock() *operator.Block {
	return &operator.Block{
		Name: "log", Doc: "The daemon's log, on standard error.",
		Keys: []operator.Key{{Name: "level", Kind: operator.Word, AllowedWords: []string{"debug", "info", "warn", "error"}, Default: "info",
			Doc: "The lowest level that is logged."}},
	}
}

// LogLevel returns the minimum level of the log.
func LogLevel(c *operator.Config) slog.Level {
	return map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn,
		"error": slog.LevelError}[c.Section("log").Text("level")]
}
