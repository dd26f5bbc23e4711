// Package health distinguishes workers on which all jobs fail from jobs that fail on all workers.
package health
