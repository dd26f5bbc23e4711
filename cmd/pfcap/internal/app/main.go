package app

import (
	"fmt"
	"io"
	"text/tabwriter"

	"plantainfold.example/fold/launch"
)

// options holds the command-line options.
type options struct {
	Quick bool `long:"quick" description:"measure a tenth of the sizes, to see that the program works"`
}

// Main runs the program and returns the exit code. It fails if a cost exceeds its bound.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	if code, ok := launch.ParseOptions(&opts, args, stdout, stderr); !ok {
		return code
	}
	divisor := 1
	if opts.Quick {
		divisor = 10
	}
	measurements, err := measureAll(divisor)
	if err != nil {
		return launch.ReportError("pfcap", err, stderr)
	}
	printMeasurements(stdout, measurements)
	if !printCosts(stdout, computeCosts(measurements)) {
		return launch.Failed
	}
	return launch.OK
}

func printMeasurements(out io.Writer, measurements map[string]measurement) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "slope\tunit\tsizes and values\tbase\tfor each")
	for _, name := range measurementNames {
		m := measurements[name]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.0f\t%.3g\n", name, m.unit, m.pointList(), m.line.intercept, m.line.slope)
	}
	_ = table.Flush()
}

// printCosts prints the costs and reports whether all are within their bounds.
func printCosts(out io.Writer, costs []cost) bool {
	allWithin := true
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nrole\tfigure at the two-year size\tvalue\tbound\tunit\tverdict")
	for _, c := range costs {
		verdict := "within"
		switch {
		case c.bound == noBound:
			verdict = "no bound"
		case c.value > c.bound:
			verdict = "EXCEEDED"
			allWithin = false
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.3g\t%.3g\t%s\t%s\n", c.role, c.figure, c.value, c.bound, c.unit, verdict)
	}
	_ = table.Flush()
	return allWithin
}
