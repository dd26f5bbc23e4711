// Package app implements a soak test with separate processes: entries on loopback, a simulated platform behind proxies,
// simulated callers, and a random schedule of faults. Package model checks what callers and hosts see.
package app
