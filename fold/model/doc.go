// Package model simulates days of work on a pool in virtual time, without a network: jobs drawn from classes, hosts
// with leases, fences, failures and their own clocks, an owner that can fail at any moment, a table that can be slow or
// unavailable, and an adviser with a response time. It drives the scheduler of package core as the driver does, checks
// every start against the rules of the hosts and the guarantees to callers, and adds up the value of the jobs. Tests use
// it for random schedules of faults; pfload uses it to compare policies.
package model
