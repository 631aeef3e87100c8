package main

import (
	"fmt"
	"io"
	"time"

	"sloepick/internal/daemonconfig"
	"sloepick/internal/route"
)

// routeCommand explains which route a request gets (route explain). Classes, plans and limits come from the platform's file.
func routeCommand(args []string, out, errs io.Writer) int {
	if len(args) == 0 || args[0] != "explain" {
		fmt.Fprintln(errs, "sloectl route: the only verb is explain")
		return exitError
	}
	fs := newFlags("route explain")
	platform := fs.String("platform", "", "the platform's file; required")
	var req route.Request
	fs.StringVar(&req.Class, "class", "", "the request's class; default: the platform's first")
	fs.StringVar(&req.Plan, "plan", "", "its customer's plan; default: the platform's first")
	fs.StringVar(&req.Customer, "customer", "0000000000000000", "its customer, 16 hex digits")
	fs.DurationVar(&req.ClientTimeout, "patience", 0, "how long its client waits; default: the class's deadline")
	if !parseFlags(fs, args[1:], errs, 1, 1) {
		return exitError
	}
	if *platform == "" {
		fmt.Fprintln(errs, "sloectl route explain: --platform is missing: it declares the classes and plans")
		return exitError
	}
	cfg, err := loadPlatform(*platform)
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return exitError
	}
	c, diags, err := daemonconfig.Load(fs.Arg(0), cfg)
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return exitError
	}
	io.WriteString(errs, diags.Error())
	if c == nil {
		return exitError
	}
	settings := &cfg.Settings.Decide
	known := false
	for _, k := range settings.Classes {
		if req.Class == "" {
			req.Class = k.Name
		}
		if k.Name == req.Class {
			known = true
			if req.ClientTimeout == 0 {
				req.ClientTimeout = k.Deadline
			}
		}
	}
	if req.Plan == "" && len(settings.Plans) > 0 {
		req.Plan = settings.Plans[0].Name
	}
	if !known || req.ClientTimeout < 0 {
		fmt.Fprintf(errs, "sloectl route explain: the platform has no class %q\n", req.Class)
		return exitError
	}
	fmt.Fprintf(out, "class %s, plan %s, customer %s, patience %v\n", req.Class, req.Plan, req.Customer, req.ClientTimeout.Round(time.Millisecond))
	io.WriteString(out, route.NewTable(route.FromConfig(c), settings).Explain(req))
	return exitOK
}
