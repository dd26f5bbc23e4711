// Package core decides what runs where: it is the scheduler of one pool of hosts for jobs made of steps. It holds no
// lock, does no I/O and takes the time as an argument, so that a harness can drive it in virtual time.
//
// Facts go in as Report, Started, Stopped, Advised, AddJob, Cancel and SetHosts. Decide turns them into plans. A plan
// becomes an order only once the record of its job is durable: Snapshot returns the records to write and Recorded
// returns the orders that the write releases.
package core
