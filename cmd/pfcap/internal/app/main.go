package app

import (
	"fmt"
	"io"
	"text/tabwriter"

	"plantainfold.example/fold/launch"
)

// options are the flags of the program.
type options struct {
	Quick bool `long:"quick" description:"measure a tenth of the sizes, to see that the program works"`
}

// Main measures, prints the tables and returns the exit code. It fails when a figure exceeds its bound.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	if code, ok := launch.ParseOptions(&opts, args, stdout, stderr); !ok {
		return code
	}
	scale := 1
	if opts.Quick {
		scale = 10
	}
	slopes, err := takeSlopes(scale)
	if err != nil {
		return launch.ReportError("pfcap", err, stderr)
	}
	printSlopes(stdout, slopes)
	if !printCosts(stdout, costsOf(slopes)) {
		return launch.Failed
	}
	return launch.OK
}

func printSlopes(out io.Writer, slopes map[string]slope) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "slope\tunit\tsizes and values\tbase\tfor each")
	for _, name := range slopeNames {
		s := slopes[name]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.0f\t%.3g\n", name, s.unit, s.text(), s.line.base, s.line.slope)
	}
	_ = table.Flush()
}

// printCosts prints the figures at the two-year size and reports whether all are within their bounds.
func printCosts(out io.Writer, costs []cost) bool {
	within := true
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nrole\tfigure at the two-year size\tvalue\tbound\tunit\tverdict")
	for _, c := range costs {
		verdict := "within"
		switch {
		case c.bound == noBound:
			verdict = "no bound"
		case c.value > c.bound:
			verdict = "EXCEEDED"
			within = false
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.3g\t%.3g\t%s\t%s\n", c.role, c.figure, c.value, c.bound, c.unit, verdict)
	}
	_ = table.Flush()
	return within
}
