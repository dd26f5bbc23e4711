// Package sched decides what a pool starts, stops and refuses: events go in, decisions come out, without I/O.
package sched
