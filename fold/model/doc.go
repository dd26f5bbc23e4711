// Package model plays days of work on a pool in virtual time, without network: jobs drawn from classes, hosts with
// leases, fences, failures and clocks of their own, an owner that may die at any moment, a table that may be slow or
// away, and an adviser that takes its time. It drives the scheduler of package core as the driver does, judges every
// start by the rules of the hosts and the promises to callers, and adds up what the jobs are worth. Tests use it for
// random schedules of faults, pfload to compare policies.
package model
