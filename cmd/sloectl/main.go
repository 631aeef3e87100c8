// Command sloectl is the operators' tool: it checks, formats, compares and explains their files, shows the state of running
// gateways, and runs a demonstration of the whole gateway on one machine.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"sloepick/internal/daemon"
)

// The exit codes. 1 is a negative result (an error in a file, a difference, a broken rule); 2 means that the command itself failed.
const (
	exitOK       = 0
	exitNegative = 1
	exitError    = 2
)

// subcommand is an entry of the command table and of the usage text.
type subcommand struct {
	name, args, doc string
	run             func(args []string, out, errs io.Writer) int
}

func subcommands() []subcommand {
	return []subcommand{
		{"check", "[--json] [--platform FILE] FILE", "report all problems of a file and its includes", check},
		{"fmt", "[-l] [-w] FILE...", "print files in the standard format; -w writes them, -l lists those that would change", format},
		{"diff", "[--json] OLD NEW", "print what changes in meaning; exit 0 if nothing does, 1 if something does, 2 on an error", diff},
		{"show", "FILE", "print all values in effect, each with its origin", show},
		{"route", "explain --platform FILE [--class C] [--plan P] [--customer HEX] [--patience 5s] FILE", "explain which route a request gets, and why no other", routeCommand},
		{"fleet", "status|duties SOCKET", "show a daemon's view of its fleet: members, places, terms, configurations; or who owns its duties", fleetCommand},
		{"power", "show FILE", "show what a gateway has saved for its next start", powerCommand},
		{"doc", "", "print the reference page of all blocks and keys", doc},
		{"demo", "[--seconds N] [--seed N] [--plain] [--keep] [--fleet N] [--operator FILE]", "run a demonstration with gateways, nodes and clients on loopback", demo},
		{"daemon", "[-operator FILE]", "run the gateway in this process, as sloepick does", runDaemon},
	}
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	commands := subcommands()
	if len(args) > 0 {
		if i := slices.IndexFunc(commands, func(v subcommand) bool { return v.name == args[0] }); i >= 0 {
			return commands[i].run(args[1:], out, errs)
		}
	}
	usageOut, code := errs, exitError
	if len(args) == 1 && slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		usageOut, code = out, exitOK
	} else if len(args) > 0 {
		fmt.Fprintf(errs, "sloectl: unknown verb %q\n", args[0])
	}
	fmt.Fprintln(usageOut, "usage: sloectl VERB ...")
	for _, v := range commands {
		fmt.Fprintf(usageOut, "  %-7s %s\n          %s\n", v.name, v.args, v.doc)
	}
	return code
}

func runDaemon(args []string, _, errs io.Writer) int { return daemon.Main(args, os.Getenv, errs) }
