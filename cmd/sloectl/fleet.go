package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sloepick/internal/fleet"
	"sloepick/internal/gossip"
)

// fleetVerb shows how a daemon sees its fleet, fleet status SOCKET, or the work that is done on its behalf, fleet duties SOCKET.
func fleetVerb(args []string, out, errs io.Writer) int {
	if len(args) != 2 || args[0] != "status" && args[0] != "duties" {
		fmt.Fprintln(errs, "usage: sloectl fleet status|duties SOCKET")
		return exitTrouble
	}
	r, err := gossip.ReadStatus(context.Background(), args[1])
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return exitTrouble
	}
	if args[0] == "duties" {
		printDuties(out, r)
	} else {
		printFleet(out, r)
	}
	return exitOK
}

// printDuties is a table of the fleet's work, as far as this member knows of it.
func printDuties(out io.Writer, r *gossip.Report) {
	if len(r.Duties) == 0 {
		fmt.Fprintf(out, "%s has no duties\n", r.Name)
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tOWNER\tLEASE LEFT\tHIGHEST NUMBER")
	for _, d := range r.Duties {
		who, left := "not known here", "-"
		if d.Owner != "" {
			who, left = d.Owner, d.Left.Round(time.Second/10).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", d.Duty, who, left, d.Number)
	}
	w.Flush()
	fmt.Fprintf(out, "\nvotes, in epoch %d:", r.Voters.Epoch)
	for _, p := range r.Voters.Seats {
		name := "nobody"
		if p < len(r.Standing.Holders) && r.Standing.Holders[p].Name != "" {
			name = r.Standing.Holders[p].Name
		}
		fmt.Fprintf(out, " %s (%d)", name, p)
	}
	fmt.Fprintln(out)
}

// printFleet is a table of the members, and a line on this one.
func printFleet(out io.Writer, r *gossip.Report) {
	generation := uint64(0)
	for _, row := range r.Rows {
		if row.Self {
			generation = row.Generation
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tSTATE\tPLACE\tTERM\tLIFE\tCONFIGURATION\tTOLD\tDROPPED\tADDRESS")
	for _, row := range r.Rows {
		place, term := "-", "-"
		if row.Claim.Place >= 0 {
			place, term = fmt.Sprint(row.Claim.Place), fmt.Sprint(row.Claim.Term)
			if row.Claim.Place >= len(r.Standing.Holders) || r.Standing.Holders[row.Claim.Place].Name != row.Name {
				place += " (not held)"
			}
		}
		state, told, conf := row.State.String(), (r.Now-row.Heard).Round(time.Second/10).String()+" ago", fmt.Sprintf("%016x", row.Generation)
		if row.Self {
			state, told = state+", this one", "-"
		} else if row.State != fleet.Alive {
			state += fmt.Sprintf(" for %v", (r.Now - row.Since).Round(time.Second))
		}
		if row.Generation != generation {
			conf += " (other)"
		}
		dropped := "-"
		if n, ok := r.Drops[row.Name]; ok {
			dropped = fmt.Sprint(n)
		} else if row.Self {
			dropped = fmt.Sprint(r.Lost)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", row.Name, state, place, term, row.Life, conf, told, dropped, row.Addr)
	}
	w.Flush()
	stands := fmt.Sprintf("%s is in place %d", r.Name, r.Standing.Place)
	if r.Standing.Place < 0 {
		stands = r.Name + " has no place and lets nothing in"
	}
	if r.Standing.Alone {
		stands += ", cut off: it keeps to its even part"
	}
	if r.Phase != "" {
		stands += ", power " + r.Phase
	}
	fmt.Fprintln(out, stands)
}
