// Command sloectl is the operators' tool: it checks, formats, compares and explains their files, and plays a
// demonstration of the whole gateway on one machine.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"sloepick/internal/daemon"
)

// The exit codes. 1 is an answer (an error in a file, a difference, a broken rule), 2 is trouble with the call itself.
const (
	exitOK       = 0
	exitNegative = 1
	exitError    = 2
)

// subcommand is a subcommand.
type subcommand struct {
	name, args, doc string
	run             func(args []string, out, errs io.Writer) int
}

func subcommands() []subcommand {
	return []subcommand{
		{"check", "[--json] [--platform FILE] FILE", "report all that is wrong with a file and its includes", check},
		{"fmt", "[-l] [-w] FILE...", "print files in the one usual form; -w writes them, -l lists those that would change", format},
		{"diff", "[--json] OLD NEW", "tell what changes in meaning; exit 0 the same, 1 different, 2 trouble", diff},
		{"show", "FILE", "print all values that hold, each with where it came from", show},
		{"route", "explain --platform FILE [--class C] [--plan P] [--customer HEX] [--patience 5s] FILE", "tell which route a request gets, and why no other", routeCommand},
		{"fleet", "status|duties SOCKET", "show how a daemon sees its fleet: members, places, terms, configurations; or who does its work", fleetCommand},
		{"power", "show FILE", "show what a gateway kept for its next start", powerCommand},
		{"doc", "", "print the reference page of all blocks and keys", doc},
		{"demo", "[--seconds N] [--seed N] [--plain] [--keep] [--fleet N] [--operator FILE]", "play a day with three gateways, nodes and clients on loopback", demo},
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
