// Package lease counts the leases of hosts, which are granted by the clock of each host and end by it.
package lease
