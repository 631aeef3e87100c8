package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"sloepick/internal/recovery"
	"sloepick/internal/snapshot"
)

const maxCustomersShown = 20 // those that have used the largest part of their burst

// powerCommand prints the state that a gateway has saved for its next start (power show FILE). It changes nothing, so that it can
// be used while the gateway runs.
func powerCommand(args []string, out, errs io.Writer) int {
	if len(args) != 2 || args[0] != "show" {
		fmt.Fprintln(errs, "usage: sloectl power show FILE")
		return exitError
	}
	snap, err := snapshot.Read(snapshot.OSFS{}, args[1])
	if err != nil {
		fmt.Fprintf(errs, "sloectl: %s: %v\n", args[1], err)
		return exitNegative
	}
	printSnapshot(out, snap)
	return exitOK
}

func printSnapshot(out io.Writer, snap *recovery.Snapshot) {
	fmt.Fprintf(out, "%s, snapshot %d of lineage %d, written %s, under boot %s\n", snap.Name, snap.Version.Sequence, snap.Version.Lineage,
		snap.TakenAt.Wall.UTC().Format("2006-01-02 15:04:05.000 UTC"), snap.TakenAt.BootID)
	fmt.Fprintf(out, "%d customers, %.1f units answered a second, %d other members known, one snapshot every %v\n", len(snap.Buckets), snap.ServedRate, len(snap.Peers), snap.Interval)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CUSTOMER\tPLAN\tUSED OF ITS BURST")
	for _, b := range recovery.Fullest(snap.Buckets, maxCustomersShown) {
		fmt.Fprintf(w, "%09x\t%s\t%.0f%%\n", b.Key, b.Plan, 100*b.Fill)
	}
	w.Flush()
}
