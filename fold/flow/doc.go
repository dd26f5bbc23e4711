// Package flow describes jobs made of steps of equal tasks and the durable record of their progress.
package flow
