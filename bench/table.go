package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"filberthold/model"
)

// WriteTable writes a table with one line for each run.
func WriteTable(out io.Writer, runs []Run) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "scenario\tpolicy\tread p50\tread p99\tsubmit p50\tsubmit p99\texport p50\theadroom\t"+
		"drain\textra load\tno slot\tserved\tdoubled\tlost\ttruncated\twrites/submit\t")
	for _, run := range runs {
		report := run.Report
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f%%\t%s\t%.1f%%\t%d\t%.2f%%\t%d\t%d\t%d\t%.2f\t\n",
			run.Scenario, run.Policy,
			quantile(report, model.Read, 50), quantile(report, model.Read, 99),
			quantile(report, model.Submit, 50), quantile(report, model.Submit, 99),
			quantile(report, model.Export, 50),
			100*run.Headroom, run.DrainTime.Round(10*time.Millisecond), 100*report.ExtraLoad(), report.Rejected(),
			100*report.ServedFraction(), report.Doubled(), report.Lost(), report.Truncated(), report.WritesPerSubmit())
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func quantile(report *Report, class model.Class, percent float64) time.Duration {
	return report.Class(class).Quantile(percent).Round(100 * time.Microsecond)
}
