// Package model simulates days of work on a pool: jobs drawn from classes, hosts with leases, fences, failures and their own
// clocks, and an adviser with a response time. It checks every start against the rules of the hosts and the guarantees to
// callers, and adds up the value of the jobs.
//
// Play runs a day in virtual time, without a network. It drives the scheduler of package core as the driver does, with an
// owner that can fail at any moment and a table that can be slow or unavailable. With Day.Entries, several entries compete for
// the ownership like package node, and the links between entries, hosts and the table can be cut in one or both directions.
// Live simulates the hosts and the adviser only, for entries and drivers that are not simulated. Tests use both for random
// schedules of faults; pfsoak uses Live.
package model
