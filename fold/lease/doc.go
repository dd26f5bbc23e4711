// Package lease computes the ends of leases that hosts grant. A host measures its leases by its own clock.
package lease
