// Package flow describes jobs, which consist of steps of equal tasks, and the durable record of their progress.
package flow
