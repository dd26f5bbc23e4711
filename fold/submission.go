package fold

// Submission is the request body of a job submission.
type Submission struct {
	ID         string    `json:"id"`
	Queue      string    `json:"queue"`
	Kind       Kind      `json:"kind"`
	Count      int       `json:"count"`
	Resources  Resources `json:"resources"`
	Duration   int64     `json:"duration"`
	Deadline   int64     `json:"deadline"`
	Priority   int       `json:"priority"`
	Retries    int       `json:"retries"`
	Idempotent bool      `json:"idempotent"`
}

// SubmissionOf returns the request body for the job.
func SubmissionOf(j Job) Submission {
	return Submission{
		ID:         j.ID,
		Queue:      j.Queue,
		Kind:       j.Kind,
		Count:      j.Count,
		Resources:  j.Resources,
		Duration:   j.Duration,
		Deadline:   j.Deadline,
		Priority:   j.Priority,
		Retries:    j.Retries,
		Idempotent: j.Idempotent,
	}
}

// Job returns the submitted job.
func (s Submission) Job() Job {
	return Job{
		ID:         s.ID,
		Queue:      s.Queue,
		Kind:       s.Kind,
		Count:      s.Count,
		Resources:  s.Resources,
		Duration:   s.Duration,
		Deadline:   s.Deadline,
		Priority:   s.Priority,
		Retries:    s.Retries,
		Idempotent: s.Idempotent,
	}
}
