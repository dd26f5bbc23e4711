package audit

import "plantainfold.example/fold"

// checkAnswers finds answers that are not whole or belong to another request.
func checkAnswers(r *report, h History) {
	for _, t := range h.Tries {
		switch {
		case t.AnswerID == "":
		case t.AnswerID != t.ID:
			r.add("request %s received the answer of %s", t.ID, t.AnswerID)
		case t.Answer != t.Want:
			r.add("request %s received %d bytes, want %d, or other ones", t.ID, len(t.Answer), len(t.Want))
		}
	}
}

// checkRefusals finds work that ran although every try of it was refused as not run, and runs of no known job.
func checkRefusals(r *report, h History) {
	refused := make(map[string]bool)
	for _, t := range h.Tries {
		before, seen := refused[t.ID]
		refused[t.ID] = t.NotRun && (before || !seen)
	}
	for id, count := range servedCounts(h.Served) {
		if refused[id] && count > 0 {
			r.add("request %s was refused as not run and ran %d times", id, count)
		}
	}
	jobs := make(map[string]bool, len(h.Jobs))
	for _, j := range h.Jobs {
		jobs[j.Job.ID] = !j.NotRun
	}
	for _, run := range h.Runs {
		if may, known := jobs[run.Task.Job]; known && !may {
			r.add("task %s ran on %s although its job was refused as not run", run.Task, run.Worker)
		}
	}
}

// checkOnce finds non-idempotent requests that ran more than once and tasks of non-idempotent jobs that ran again
// although the earlier run had not failed.
func checkOnce(r *report, h History) {
	strict := make(map[string]bool)
	for _, t := range h.Tries {
		strict[t.ID] = strict[t.ID] || !t.Idempotent
	}
	for id, count := range servedCounts(h.Served) {
		if strict[id] && count > 1 {
			r.add("non-idempotent request %s ran %d times", id, count)
		}
	}
	jobs := make(map[string]bool)
	for _, j := range h.Jobs {
		jobs[j.Job.ID] = !j.Job.Idempotent && j.Job.Kind != fold.Service
	}
	ran := make(map[fold.TaskID]Run)
	for _, e := range edges(h.Runs) {
		if !e.begin || !jobs[e.run.Task.Job] {
			continue
		}
		if before, again := ran[e.run.Task]; again && before.State != fold.Failed {
			r.add("task %s of a non-idempotent job ran again on %s at %d; it began on %s at %d and was %s at %d",
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
