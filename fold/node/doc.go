// Package node implements an entry on a platform whose store keeps all durable state. Every entry serves callers and calls
// the adviser; one entry at a time owns the pool of hosts.
package node
