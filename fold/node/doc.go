// Package node is an entry on a platform whose store holds everything that lasts: every entry serves callers and calls
// the adviser, and one of them owns the pool of hosts.
package node
