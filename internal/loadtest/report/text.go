package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// tabPadding is the space between the columns of a table.
const tabPadding = 2

func table(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0) }

// WriteText writes the result as tables.
func (r *Result) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "scenario %s, seed %d, started %s\n", r.Scenario.Name, r.Scenario.Seed, r.Started.Format(time.RFC3339))
	fmt.Fprintf(w, "command  %s\n", strings.Join(r.Command, " "))
	fmt.Fprintf(w, "machine  %s/%s, %d CPUs, %s, %s, version %s\n", r.Machine.OS, r.Machine.Arch, r.Machine.CPUs, r.Machine.CPU, r.Machine.Go, r.Version)
	for i := range r.Phases {
		if err := r.Phases[i].writeText(w); err != nil {
			return err
		}
	}
	if len(r.Slowdown) > 0 {
		if err := r.writeSlowdown(w); err != nil {
			return err
		}
	}
	r.writeDisturbed(w)
	fmt.Fprintf(w, "\nchecked: %s\nviolations: %d\n", strings.Join(r.Checked, ", "), r.ViolationCount)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
	return nil
}

func (p *Phase) writeText(w io.Writer) error {
	fmt.Fprintf(w, "\nphase %s: load %g, %gs, offered %.2f/s, in time %.2f/s, %.0f tokens/s, send delay p99 %.1f ms\n",
		p.Name, p.Load, p.Seconds, p.Offered, p.Goodput, p.TokensPerSecond, p.SendDelay.P99)
	t := table(w)
	fmt.Fprintln(t, "group\tsent\tcomplete\tin time\tfirst token p50\tp95\tp99 ms\tgap p50\tp95\tp99 ms\ttotal p50\tp95\tp99 ms")
	for _, g := range p.Groups {
		if g.Sent == 0 {
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%s\n", g.Name, g.Sent, g.Complete, g.InTime, g.FirstToken.columns(), g.TokenGap.columns(), g.Total.columns())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	writeCounts(w, "refused", p.Refusals)
	writeCounts(w, "failed", p.Failures)
	if p.NotSent > 0 {
		fmt.Fprintf(w, "not sent: %d\n", p.NotSent)
	}
	return nil
}

// columns returns the quantiles for three columns of a table.
func (q Quantiles) columns() string {
	if q.Count == 0 {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%.1f\t%.1f\t%.1f", q.P50, q.P95, q.P99)
}

func writeCounts(w io.Writer, title string, list []Count) {
	for _, c := range list {
		fmt.Fprintf(w, "%s: %d x %s\n", title, c.Count, c.Name)
	}
}

func (r *Result) writeSlowdown(w io.Writer) error {
	fmt.Fprintln(w, "\nslowdown of short requests, with long ones to without")
	t := table(w)
	fmt.Fprintln(t, "group\tload\tfirst token p50\tp95\ttotal p50\tp95")
	for _, s := range r.Slowdown {
		fmt.Fprintf(t, "%s\t%g\t%.3f\t%.3f\t%.3f\t%.3f\n", s.Group, s.Load, s.FirstTokenP50, s.FirstTokenP95, s.TotalP50, s.TotalP95)
	}
	return t.Flush()
}

// Compare writes two results side by side. Phases and groups are matched by
// their names.
func Compare(w io.Writer, a, b *Result) error {
	fmt.Fprintf(w, "A: %s, seed %d, version %s, %s\n", a.Scenario.Name, a.Scenario.Seed, a.Version, a.Started.Format(time.RFC3339))
	fmt.Fprintf(w, "B: %s, seed %d, version %s, %s\n\n", b.Scenario.Name, b.Scenario.Seed, b.Version, b.Started.Format(time.RFC3339))
	t := table(w)
	fmt.Fprintln(t, "phase\tgroup\tmeasure\tA\tB\tB/A")
	for i := range a.Phases {
		pa := &a.Phases[i]
		for j := range b.Phases {
			if b.Phases[j].Name == pa.Name {
				comparePhase(t, pa, &b.Phases[j])
			}
		}
	}
	compareSlowdown(t, a, b)
	row(t, "all", "all", "violations", float64(a.ViolationCount), float64(b.ViolationCount))
	return t.Flush()
}

func row(w io.Writer, phase, group, measure string, a, b float64) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.3f\n", phase, group, measure, a, b, ratio(b, a))
}

func comparePhase(w io.Writer, a, b *Phase) {
	row(w, a.Name, "all", "in time per s", a.Goodput, b.Goodput)
	for i := range a.Groups {
		ga, gb := &a.Groups[i], b.group(a.Groups[i].Name)
		if gb == nil || ga.Sent+gb.Sent == 0 {
			continue
		}
		row(w, a.Name, ga.Name, "in time", float64(ga.InTime), float64(gb.InTime))
		if ga.FirstToken.Count > 0 {
			row(w, a.Name, ga.Name, "first token p50 ms", ga.FirstToken.P50, gb.FirstToken.P50)
			row(w, a.Name, ga.Name, "first token p95 ms", ga.FirstToken.P95, gb.FirstToken.P95)
			row(w, a.Name, ga.Name, "first token p99 ms", ga.FirstToken.P99, gb.FirstToken.P99)
			row(w, a.Name, ga.Name, "token gap p95 ms", ga.TokenGap.P95, gb.TokenGap.P95)
		}
		row(w, a.Name, ga.Name, "total p95 ms", ga.Total.P95, gb.Total.P95)
	}
}

func compareSlowdown(w io.Writer, a, b *Result) {
	for _, sa := range a.Slowdown {
		for _, sb := range b.Slowdown {
			if sa.Group == sb.Group && sa.Load == sb.Load {
				row(w, sa.With, sa.Group, "slowdown first token p95", sa.FirstTokenP95, sb.FirstTokenP95)
				row(w, sa.With, sa.Group, "slowdown total p95", sa.TotalP95, sb.TotalP95)
			}
		}
	}
}
