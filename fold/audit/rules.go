package audit

import "plantainfold.example/fold"

// checkKeys finds work that was accepted for a team other than the key's, or with a key withdrawn more than MaxSpreadTime
// before.
func checkKeys(r *report, h History) {
	ends := make(map[string]fold.Instant, len(h.Withdrawals))
	for _, w := range h.Withdrawals {
		ends[w.Key] = w.At.Add(MaxSpreadTime)
	}
	for _, j := range h.Jobs {
		if !j.Accepted {
			continue
		}
		if !j.Open && j.Job.Team != j.KeyTeam {
			r.addFinding("job %s of team %q was accepted with a key of team %q", j.Job.ID, j.Job.Team, j.KeyTeam)
		}
		if end, withdrawn := ends[j.Key]; withdrawn && j.At > end {
			r.addFinding("job %s was accepted with key %s, %s after the key should have stopped working", j.Job.ID, j.Key, j.At.Sub(end))
		}
	}
	for _, t := range h.Tries {
		// The request was admitted between Begin and End, so only a late Begin proves a violation.
		if end, withdrawn := ends[t.Key]; withdrawn && t.AnswerID != "" && t.Begin > end {
			r.addFinding("request %s was accepted with key %s, %s after the key should have stopped working", t.ID, t.Key, t.Begin.Sub(end))
		}
	}
}

// checkLeaving finds requests that an endpoint began more than LeaveTime after it began to leave.
func checkLeaving(r *report, h History) {
	ends := make(map[string]fold.Instant, len(h.Leaves))
	for _, l := range h.Leaves {
		ends[l.Endpoint] = l.At.Add(LeaveTime)
	}
	for _, s := range h.Served {
		if end, leaving := ends[s.Endpoint]; leaving && s.Begin > end {
			r.addFinding("endpoint %s began request %s %s after it should have received no more", s.Endpoint, s.ID, s.Begin.Sub(end))
		}
	}
}

// checkPlannedStops finds requests whose connection ended during a planned stop of their entry.
func checkPlannedStops(r *report, h History) {
	for _, t := range h.Tries {
		for _, s := range h.Stops {
			if t.Cut && t.Entry == s.Entry && t.Begin <= s.End && t.End >= s.Begin {
				r.addFinding("the planned stop of entry %s cut request %s", s.Entry, t.ID)
			}
		}
	}
}

// checkRevisions finds entries whose revision decreases, or that accept work under a revision that was replaced more
// than MaxSpreadTime before.
func checkRevisions(r *report, h History) {
	highest := make(map[string]int64)
	for _, s := range h.Seen {
		if s.Revision < highest[s.Entry] {
			r.addFinding("entry %s went back from revision %d to %d", s.Entry, highest[s.Entry], s.Revision)
		}
		highest[s.Entry] = max(highest[s.Entry], s.Revision)
		for _, a := range h.Accepted {
			if a.Revision > s.Revision && s.At > a.At.Add(MaxSpreadTime) {
				r.addFinding("entry %s is at revision %d, %s after %d was accepted", s.Entry, s.Revision, s.At.Sub(a.At), a.Revision)
			}
		}
	}
}
