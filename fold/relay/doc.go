// Package relay looks after hosts for the owner of the pool: it renews their leases, reads their reports and sends them
// the owner's orders. The owner runs a relay of its own; in a large pool other entries run relays for a share of the
// hosts each, so that the owner's processor and link carry decisions only.
//
// A relay decides nothing. What it may do rests on two permissions of the owner, both of which run out by the clock of
// the relay's own entry: leases are renewed and runs started only while May reports true, and orders that took too long
// to arrive are refused unsent.
package relay
