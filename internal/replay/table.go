package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteTable writes the result as a human-readable table.
func (r *Result) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, seed %d, %gx, %.0f s%s\n\n", r.Trace, r.Seed, r.Scale, r.Seconds, interruptedSuffix(r))
	fmt.Fprintln(w, "group\tsent\twithin\tgoodput\twhole\tbroken\trefused\twithin rate\tfailed\tfirst p50\tp95\tp99 ms\tbetween p95\tp99 ms\ttotal p95 ms\ttokens/s")
	writeGroup(w, "chats", &r.Chats)
	writeGroups(w, "class ", r.Classes)
	writeGroups(w, "", r.Workspaces)
	writeGroup(w, "calls", &r.Calls)
	writeGroups(w, "", r.Routes)
	fmt.Fprintf(w, "\nworst-served workspace\t%s\t%.4f\n", r.Worst.Workspace, r.Worst.Goodput)
	fmt.Fprintf(w, "client lag p99\t%.1f ms\n", r.ClientLag.P99)
	if f := r.Figures; f != nil {
		fmt.Fprintf(w, "role changes\t%d\nendpoint hours\t%.2f\nlate reports\t%d\nwrong reports\t%d\n",
			f.RoleChanges, f.EndpointSeconds/3600, f.LateReports, f.WrongReports)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Workspaces)) {
		if g := r.Workspaces[name]; g.OverRate {
			fmt.Fprintf(w, "over its rate: %s\tserved %.4f of its rate\n", name, g.RateServed)
		}
	}
	for _, code := range slices.Sorted(maps.Keys(r.Failures)) {
		fmt.Fprintf(w, "not whole: %s\t%d\n", code, r.Failures[code])
	}
	for _, message := range r.EventErrors {
		fmt.Fprintf(w, "fault\t%s\n", message)
	}
	writeChecks(w, r.Checks)
	return errors.Wrap(w.Flush(), "write table")
}

func interruptedSuffix(r *Result) string {
	if r.Interrupted {
		return ", INTERRUPTED"
	}
	return ""
}

func writeGroups(w io.Writer, prefix string, groups GroupByKey) {
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		writeGroup(w, prefix+name, groups[name])
	}
}

func writeGroup(w io.Writer, name string, g *Group) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\n",
		name, g.Sent, g.WithinRate, g.Goodput, g.Complete, g.Broken, g.Refused, g.RefusedWithin, g.Failed,
		g.FirstToken.P50, g.FirstToken.P95, g.FirstToken.P99, g.BetweenTokens.P95, g.BetweenTokens.P99, g.Total.P95, g.TokensPerSecond)
}

func writeChecks(w io.Writer, checks []Check) {
	if len(checks) == 0 {
		return
	}
	fmt.Fprintln(w, "\noutcome\tstated\tcame\t")
	for _, c := range checks {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Metric, formatBounds(c.Outcome), formatValue(c), formatStatus(c))
	}
}

func formatBounds(o Outcome) string {
	switch {
	case o.Max == nil:
		return fmt.Sprintf(">= %g", *o.Min)
	case o.Min == nil:
		return fmt.Sprintf("<= %g", *o.Max)
	default:
		return fmt.Sprintf("%g to %g", *o.Min, *o.Max)
	}
}

func formatValue(c Check) string {
	if !c.Found {
		return "no such figure"
	}
	return fmt.Sprintf("%.5g", c.Value)
}

func formatStatus(c Check) string {
	if c.Holds {
		return "holds"
	}
	return "DOES NOT HOLD"
}
