// Package sched decides which tasks of a pool start, stop or are refused. It receives events and returns decisions, and
// does no I/O.
package sched
