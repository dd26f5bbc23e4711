package audit

import "plantainfold.example/fold"

// checkAnswers finds answers that differ from the expected one or belong to another request.
func checkAnswers(r *report, h History) {
	for _, t := range h.Tries {
		switch {
		case t.AnswerID == "":
		case t.AnswerID != t.ID:
			r.addFinding("request %s received the answer of %s", t.ID, t.AnswerID)
		case t.Answer != t.Want:
			r.addFinding("request %s received a wrong answer of %d bytes, want %d bytes", t.ID, len(t.Answer), len(t.Want))
		}
	}
}

// checkRefusals finds requests and tasks that ran although every attempt or submission was refused as not run.
func checkRefusals(r *report, h History) {
	refused := make(map[string]bool)
	for _, t := range h.Tries {
		before, seen := refused[t.ID]
		refused[t.ID] = t.NotRun && (before || !seen)
	}
	for id, count := range servedCounts(h.Served) {
		if refused[id] && count > 0 {
			r.addFinding("request %s was refused as not run and ran %d times", id, count)
		}
	}
	jobs := make(map[string]bool, len(h.Jobs))
	for _, j := range h.Jobs {
		jobs[j.Job.ID] = !j.NotRun
	}
	for _, run := range h.Runs {
		if permitted, known := jobs[run.Task.Job]; known && !permitted {
			r.addFinding("task %s ran on %s although its job was refused as not run", run.Task, run.Worker)
		}
	}
}

// checkRepeatedRuns finds non-idempotent requests that ran more than once, and tasks of non-idempotent jobs that ran
// again although the earlier run had not failed.
func checkRepeatedRuns(r *report, h History) {
	nonIdempotent := make(map[string]bool)
	for _, t := range h.Tries {
		nonIdempotent[t.ID] = nonIdempotent[t.ID] || !t.Idempotent
	}
	for id, count := range servedCounts(h.Served) {
		if nonIdempotent[id] && count > 1 {
			r.addFinding("non-idempotent request %s ran %d times", id, count)
		}
	}
	jobs := make(map[string]bool)
	for _, j := range h.Jobs {
		jobs[j.Job.ID] = !j.Job.Idempotent && j.Job.Kind != fold.Service
	}
	ran := make(map[fold.TaskID]Run)
	for _, e := range boundaries(h.Runs) {
		if !e.begin || !jobs[e.run.Task.Job] {
			continue
		}
		if before, again := ran[e.run.Task]; again && before.State != fold.Failed {
			r.addFinding("task %s of a non-idempotent job ran again on %s at %d; it began on %s at %d and was %s at %d",
				e.run.Task, e.run.Worker, e.run.Begin, before.Worker, before.Begin, before.State, before.End)
		}
		ran[e.run.Task] = e.run
	}
}

func servedCounts(served []Served) map[string]int {
	counts := make(map[string]int)
	for _, s := range served {
		counts[s.ID] += s.Count
	}
	return counts
}
