package audit

import "fmt"

// LostTasks is the invariant number of findings about accepted tasks that were lost. It is not one of the ten invariants.
const LostTasks = 0

// maxFindings limits the findings of each check.
const maxFindings = 50

// Finding is one violation of an invariant, numbered as in section 1.2 of the design, or LostTasks.
type Finding struct {
	Invariant int
	Text      string
}

// String formats the finding for logs.
func (f Finding) String() string {
	return fmt.Sprintf("invariant %d: %s", f.Invariant, f.Text)
}

// report collects the findings of one check.
type report struct {
	invariant int
	findings  []Finding
}

func (r *report) addFinding(format string, args ...any) {
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, Finding{Invariant: r.invariant, Text: fmt.Sprintf(format, args...)})
	}
}

// Check returns the violations that the history shows.
func Check(h History) []Finding {
	h.Runs = withBaseIDs(h.Runs)
	checks := []func(*report, History){
		checkLostTasks, checkCapacity, checkDuplicateRuns, checkKeys, checkLimits, checkAnswers,
		checkRefusals, checkRepeatedRuns, checkLeaving, checkPlannedStops, checkRevisions,
	}
	var all []Finding
	for invariant, check := range checks {
		r := &report{invariant: invariant}
		check(r, h)
		all = append(all, r.findings...)
	}
	return all
}
