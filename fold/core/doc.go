// Package core schedules jobs made of steps on the hosts of one pool. It takes no locks, does no I/O and gets the time as an
// argument, so that tests can run it in virtual time.
//
// The driver passes in events with ApplyReport, ApplyStart, ApplyStop, ApplyAdvice, AddJob, Cancel and SetHosts. Decide
// plans runs. A planned start is ordered once the record of its job is durable: Snapshot returns the records to write, and
// SnapshotRecorded releases the orders that waited for them.
package core
