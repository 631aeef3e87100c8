package main

import (
	"fmt"
	"io"
	"time"

	"sloepick/internal/daemonconfig"
	"sloepick/internal/route"
)

// routeVerb explains which route a request gets: route explain. The platform's file tells classes, plans and figures.
func routeVerb(args []string, out, errs io.Writer) int {
	if len(args) == 0 || args[0] != "explain" {
		fmt.Fprintln(errs, "sloectl route: the only verb is explain")
		return exitTrouble
	}
	fs := newFlags("route explain")
	platform := fs.String("platform", "", "the platform's file; required")
	var a route.Request
	fs.StringVar(&a.Class, "class", "", "the request's class; left out: the platform's first")
	fs.StringVar(&a.Plan, "plan", "", "its customer's plan; left out: the platform's first")
	fs.StringVar(&a.Customer, "customer", "0000000000000000", "its customer, 16 hex digits")
	fs.DurationVar(&a.ClientTimeout, "patience", 0, "how long its client waits; left out: the class's whole time")
	if !flags(fs, args[1:], errs, 1, 1) {
		return exitTrouble
	}
	if *platform == "" {
		fmt.Fprintln(errs, "sloectl route explain: --platform is missing: it tells the classes and plans")
		return exitTrouble
	}
	cfg, err := platformOf(*platform)
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return exitTrouble
	}
	c, diags, err := daemonconfig.Load(fs.Arg(0), cfg)
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return exitTrouble
	}
	io.WriteString(errs, diags.Error())
	if c == nil {
		return exitTrouble
	}
	set := &cfg.Settings.Decide
	known := false
	for _, k := range set.Classes {
		if a.Class == "" {
			a.Class = k.Name
		}
		if k.Name == a.Class {
			known = true
			if a.ClientTimeout == 0 {
				a.ClientTimeout = k.Deadline
			}
		}
	}
	if a.Plan == "" && len(set.Plans) > 0 {
		a.Plan = set.Plans[0].Name
	}
	if !known || a.ClientTimeout < 0 {
		fmt.Fprintf(errs, "sloectl route explain: the platform has no class %q\n", a.Class)
		return exitTrouble
	}
	fmt.Fprintf(out, "class %s, plan %s, customer %s, patience %v\n", a.Class, a.Plan, a.Customer, a.ClientTimeout.Round(time.Millisecond))
	io.WriteString(out, route.NewTable(route.FromConfig(c), set).Explain(a))
	return exitOK
}
