package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"sloepick/internal/fleet"
	"sloepick/internal/gossip"
	"sloepick/internal/overshoot"
)

// fleetCommand prints a daemon's view of its fleet (fleet status SOCKET) or of the fleet's duties (fleet duties SOCKET).
func fleetCommand(args []string, out, errs io.Writer) int {
	if len(args) != 2 || args[0] != "status" && args[0] != "duties" {
		fmt.Fprintln(errs, "usage: sloectl fleet status|duties SOCKET")
		return exitError
	}
	r, err := gossip.ReadStatus(context.Background(), args[1])
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return exitError
	}
	if args[0] == "duties" {
		printDuties(out, r)
	} else {
		printFleet(out, r)
	}
	return exitOK
}

// printDuties prints a table of the fleet's duties and their owners, as far as this member knows them.
func printDuties(out io.Writer, r *gossip.Status) {
	if len(r.Duties) == 0 {
		fmt.Fprintf(out, "%s has no duties\n", r.Name)
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tOWNER\tLEASE LEFT\tHIGHEST NUMBER")
	for _, d := range r.Duties {
		owner, leaseLeft := "not known here", "-"
		if d.Owner != "" {
			owner, leaseLeft = d.Owner, d.LeaseLeft.Round(time.Second/10).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", d.Duty, owner, leaseLeft, d.Number)
	}
	w.Flush()
	fmt.Fprintf(out, "\nvotes, in epoch %d:", r.Electorate.Epoch)
	for _, p := range r.Electorate.Voters {
		name := "nobody"
		if p < len(r.Assignment.Holders) && r.Assignment.Holders[p].Name != "" {
			name = r.Assignment.Holders[p].Name
		}
		fmt.Fprintf(out, " %s (%d)", name, p)
	}
	fmt.Fprintln(out)
}

// printFleet prints a table of the members, and a summary of the one that was asked.
func printFleet(out io.Writer, r *gossip.Status) {
	generation := uint64(0)
	for _, row := range r.Members {
		if row.Self {
			generation = row.Generation
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tSTATE\tPLACE\tTERM\tLIFE\tCONFIGURATION\tTOLD\tNEWS\tDROPPED\tADDRESS")
	peerInfoAge := map[string]string{}
	for _, row := range r.PeerInfo {
		peerInfoAge[row.Name] = row.Age.Round(time.Second/10).String() + " old"
	}
	for _, row := range r.Members {
		place, term := "-", "-"
		if row.Claim.Slot >= 0 {
			place, term = fmt.Sprint(row.Claim.Slot), fmt.Sprint(row.Claim.Term)
			if row.Claim.Slot >= len(r.Assignment.Holders) || r.Assignment.Holders[row.Claim.Slot].Name != row.Name {
				place += " (not held)"
			}
		}
		state, lastContact, conf := row.State.String(), (r.Now-row.LastContact).Round(time.Second/10).String()+" ago", fmt.Sprintf("%016x", row.Generation)
		if row.Self {
			state, lastContact = state+", this one", "-"
		} else if row.State != fleet.Alive {
			state += fmt.Sprintf(" for %v", (r.Now - row.Since).Round(time.Second))
		}
		if row.Generation != generation {
			conf += " (other)"
		}
		dropped := "-"
		if n, ok := r.PeerDrops[row.Name]; ok {
			dropped = fmt.Sprint(n)
		} else if row.Self {
			dropped = fmt.Sprint(r.DroppedMessages)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", row.Name, state, place, term, row.Incarnation, conf, lastContact, cmp.Or(peerInfoAge[row.Name], "-"), dropped, row.Addr)
	}
	w.Flush()
	summary := fmt.Sprintf("%s is in place %d", r.Name, r.Assignment.Slot)
	if r.Assignment.Slot < 0 {
		summary = r.Name + " has no place and admits no requests"
	}
	if r.Assignment.Isolated {
		summary += ", cut off: limited to its even share of each quota"
	}
	if r.RecoveryPhase != "" {
		summary += ", power " + r.RecoveryPhase
	}
	fmt.Fprintln(out, summary)
	printStaleness(out, r)
}

// describeQuietWindow describes a region's current or next maintenance window, in the region's local time.
func describeQuietWindow(row gossip.RegionStatus) string {
	const clock = "Mon 2 Jan 15:04 MST"
	switch {
	case row.Remaining > 0:
		return fmt.Sprintf("quiet for %v more, to %s", row.Remaining.Round(time.Minute), row.WindowEnd.Format(clock))
	case row.WindowStart.IsZero():
		return "not quiet for a week"
	}
	return fmt.Sprintf("quiet next from %s to %s", row.WindowStart.Format(clock), row.WindowEnd.Format(clock))
}

// describeClock describes how well the members' clocks agree.
func describeClock(c *gossip.FleetClock) string {
	switch {
	case !c.OK:
		return fmt.Sprintf("clock: only %d of %d members agree: there is no fleet clock, and no region counts as quiet", c.AgreeingMembers, c.TotalMembers)
	case c.LocalClockOff:
		return fmt.Sprintf("clock: %d of %d members agree; this one is off by %v", c.AgreeingMembers, c.TotalMembers, -c.Offset.Round(time.Second/10))
	}
	return fmt.Sprintf("clock: %d of %d members agree, known up to %v", c.AgreeingMembers, c.TotalMembers, c.Uncertainty.Round(time.Millisecond))
}

const limitWindow = time.Minute // period over which the status states how far customers may exceed their limits

// printStaleness prints, by region, how stale this member's information about its peers is, and how far customers may exceed
// their limits because of it.
func printStaleness(out io.Writer, r *gossip.Status) {
	type region struct {
		members int
		minAge  time.Duration // age of the region's most recent information
	}
	regions, oldest := map[string]region{}, gossip.PeerInfoRow{Age: -1}
	for _, row := range r.PeerInfo {
		if row.Name == r.Name {
			continue
		}
		reg, known := regions[row.Zone]
		if reg.members++; !known || row.Age < reg.minAge {
			reg.minAge = row.Age
		}
		regions[row.Zone] = reg
		if row.Age > oldest.Age {
			oldest = row
		}
	}
	if oldest.Age < 0 {
		return
	}
	calendar := map[string]gossip.RegionStatus{}
	for _, row := range r.Regions {
		calendar[row.Name] = row
		if _, known := regions[row.Name]; !known {
			regions[row.Name] = region{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		line := fmt.Sprintf("region %s: %d other members", cmp.Or(name, "without a name"), regions[name].members)
		if regions[name].members > 0 {
			line += fmt.Sprintf(", last contact %v ago", regions[name].minAge.Round(time.Second/10))
		}
		if row, known := calendar[name]; known {
			line += "; " + describeQuietWindow(row)
		}
		fmt.Fprintln(out, line)
	}
	fmt.Fprintln(out, describeClock(&r.Clock))
	fmt.Fprintf(out, "limits: customers that %s coordinates may be %.0f %% over their rate in a minute, and a fifth of a burst, if it has been silent since its last message (%v ago)\n",
		oldest.Name, 100*overshoot.MaxExcessRatio(oldest.Age, limitWindow), oldest.Age.Round(time.Second/10))
}
